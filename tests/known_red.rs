//! Tests of `.ci/known-red`, which parses the list of known faults and rejects malformed lists.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Runs `.ci/known-red` on a list with the given text.
fn run_on_text(mode: &str, name: &str, text: &str) -> Output {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join(name);
    std::fs::write(&file, text).unwrap();
    run_script(mode, &file)
}

fn run_script(mode: &str, file: &Path) -> Output {
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
    Command::new("bash").arg(script).arg(mode).arg(file).output().unwrap()
}

fn successful_output(output: &Output) -> String {
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// The error message for a malformed list, without the file name.
fn rejection_message(name: &str, text: &str) -> String {
    let output = run_on_text("entries", name, text);
    assert_eq!(output.status.code(), Some(2), "{text}");
    let message = String::from_utf8(output.stderr).unwrap();
    assert_eq!(message.lines().count(), 1, "{message}");
    message.rsplit_once(&format!("{name}:")).unwrap().1.trim().to_owned()
}

const VALID_LIST: &str = "\
# Faults that stand.

test: a::module::test_name
seed: 1, 2
seen: a job waits
  and waits
issue: 52

run: cargo test --test soak -- --from 40
seed: 40
seen: two jobs wait
issue: 7
";

#[test]
fn entries_are_read_with_their_fields() {
    let entries = successful_output(&run_on_text("entries", "sound.txt", VALID_LIST));
    let expected = "test\ta::module::test_name\t1, 2\ta job waits and waits\t52\n\
                    run\tcargo test --test soak -- --from 40\t40\ttwo jobs wait\t7\n";
    assert_eq!(entries, expected);
    assert_eq!(successful_output(&run_on_text("tests", "sound.txt", VALID_LIST)), "a::module::test_name\n");
}

#[test]
fn an_empty_or_missing_list_has_no_entries() {
    assert_eq!(successful_output(&run_on_text("entries", "empty.txt", "# none\n\n")), "");
    assert_eq!(successful_output(&run_script("tests", Path::new("no-such-list.txt"))), "");
}

#[test]
fn the_last_entry_needs_no_line_end() {
    let text = VALID_LIST.trim_end();
    assert_eq!(successful_output(&run_on_text("entries", "no-line-end.txt", text)).lines().count(), 2);
}

#[test]
fn malformed_lists_are_refused_with_the_line() {
    let entry = "seed: 1\nseen: x\nissue: 52\n";
    let cases = [
        ("a::test: the former form\n".to_owned(), "1: neither test, run, seed, seen nor issue"),
        (format!("# c\n\n{entry}"), "3: the entry has neither test nor run"),
        (format!("test: a\nrun: b\n{entry}"), "1: an entry has either test or run, not both"),
        (format!("test: a\n{entry}seed: 2\n"), "5: the entry has two fields seed"),
        ("test: a\nseen: x\nissue: 52\n".to_owned(), "1: the entry has no seed"),
        ("test: a\nseed: 1\nissue: 52\n".to_owned(), "1: the entry has no seen"),
        ("test: a\nseed: 1\nseen: x\n".to_owned(), "1: the entry has no issue"),
        ("test: a\nseed: 1\nseen: x\nissue: soon\n".to_owned(), "1: issue is a number, not \"soon\""),
        (format!("test: a b\n{entry}"), "1: test is the full path of a test, not \"a b\""),
        ("test:\n".to_owned(), "1: test has no text"),
        (
            "  a line that goes on with nothing\n".to_owned(),
            "1: there is no field that this line could go on with",
        ),
        ("what is this\n".to_owned(), "1: neither test, run, seed, seen nor issue"),
    ];
    for (n, (text, expected)) in cases.iter().enumerate() {
        let message = rejection_message(&format!("bad-{n}.txt"), text);
        assert!(message.starts_with(expected), "{text}: {message}");
    }
}

/// The list in this repository is well-formed.
#[test]
fn the_list_of_this_repository_is_read() {
    successful_output(&run_script("entries", &Path::new(env!("CARGO_MANIFEST_DIR")).join("KNOWN-RED.txt")));
}
