//! Runs one case of the review: `rig CASE FOLDER`, with the deploy file's run command in `RUN`.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod calm;
mod cases;
mod chaos;
mod cluster;
mod fleet;
mod http;
mod record;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: rig CASE FOLDER");
        return ExitCode::from(2);
    };
    let program: Vec<String> =
        std::env::var("RUN").unwrap_or_default().split_whitespace().map(str::to_owned).collect();
    if program.is_empty() {
        eprintln!("RUN is not set");
        return ExitCode::from(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let folder = PathBuf::from(folder);
    let record = Arc::new(record::Recorder::new(&folder.join("record.txt")));
    let scratch = std::env::temp_dir().join(format!("review-{}-{}", case, std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder");
    // The case ends in time, whatever happens.
    let late = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(std::time::Duration::from_secs(116));
        cluster::kill_started();
        late.note("could not run: out of time");
        std::process::exit(2);
    });
    let outcome = cases::run(case, record.clone(), &scratch, &program, trouble);
    cluster::kill_started();
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    }
    let (code, text) = match outcome {
        Ok(broken) if broken.is_empty() => (0, "the rule held".to_owned()),
        Ok(broken) => (1, format!("broken: {}", broken.join("\n  "))),
        Err(why) => (2, format!("could not run: {why}")),
    };
    record.note(&text);
    println!("{text}");
    ExitCode::from(code)
}
