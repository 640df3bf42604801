//! Random mixes of jobs with one short trouble, and then a calm spell. No case by itself.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cases::Outcome;
use crate::cluster::{Cluster, job, kind, selatferi, spec};
use crate::record::Recorder;

pub fn calm(record: Arc<Recorder>, scratch: &Path, program: &[String], _trouble: bool) -> Outcome {
    let seed: u64 = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let gangs = std::env::var("GANGS").is_ok();
    let ranks = std::env::var("RANKS").is_ok();
    let mut state = seed;
    let mut r = move |n: u64| {
        state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % n
    };
    let mut k = vec![
        kind("hull64", 64.0, 0.0, 512.0, 2_000, 1 + r(2) as usize),
        kind("jetty16", 16.0, 0.0, 32.0, 2_000, 1 + r(3) as usize),
        kind("lens12", 12.0, 2.0, 72.0, 2_000, 1 + r(3) as usize),
    ];
    k.iter_mut().for_each(|k| k.spot_capacity = r(3) as usize);
    let mut site = selatferi(k);
    if r(2) == 0 {
        site.zones = vec!["klang", "port"];
    }
    if r(2) == 0 {
        site.wait_aims.clear();
    }
    site.teams = vec![("opsdesk", 0.0, 0.0), ("red", 30.0 + r(40) as f64, r(5) as f64)];
    let c = Cluster::start(site, record.clone(), scratch, program);
    if !c.wait_healthy(20_000) {
        return Err("the controllers are not healthy".to_owned());
    }
    let mut ids = Vec::new();
    for n in 0..(8 + r(25)) {
        let shape = if gangs && r(4) == 0 {
            "ensemble"
        } else if r(12) == 0 {
            "standing"
        } else {
            "sweep"
        };
        let team = ["opsdesk", "red"][r(2) as usize];
        let rank = if ranks { ["idle", "normal", "urgent"][r(3) as usize] } else { "normal" };
        let pieces = if shape == "sweep" { 1 + r(20) } else { 1 + r(3) } as u32;
        let run = [3_000, 10_000, 60_000, 150_000][r(4) as usize] + r(3_000);
        let cpus = [0.5, 1.0, 2.0, 5.0, 10.0, 30.0][r(6) as usize];
        let id = format!("j-{n:06}");
        let mut s = spec(
            &id,
            team,
            shape,
            rank,
            pieces,
            cpus,
            1.0 + r(20) as f64,
            run as f64 / 1e3 * (0.5 + r(10) as f64 / 10.0),
        );
        s["Jobclass"] = ["farerecon", "facecheck", "seatlock"][r(3) as usize].into();
        if r(3) == 0 && cpus <= 5.0 {
            s["Cards"] = 1.0.into();
        }
        if r(5) == 0 {
            s["OneZone"] = true.into();
        } else if r(6) == 0 && shape == "sweep" {
            s["Apart"] = true.into();
        }
        s["Standby"] = (r(2) == 0).into();
        if r(3) == 0 {
            s["DueS"] = (run as f64 / 1e3 * 2.5).into();
        }
        let mut j = job(&s, if shape == "standing" { 1 << 40 } else { run });
        j.fetch_ms = 500 + r(3_000);
        c.upload(j);
        let a = c.submit(r(3) as usize, &s);
        if a.status == 201 {
            ids.push(id);
        }
        thread::sleep(Duration::from_millis(r(500)));
    }
    match r(4) {
        0 => {
            let l = c.leader();
            c.kill_node(l);
            c.start_node(l);
        }
        1 => {
            (0..3).for_each(|n| c.kill_node(n));
            (0..3).for_each(|n| c.start_node(n));
        }
        2 => {
            let name = c
                .fleet
                .with(|w, _| w.machines.values().find(|m| m.gone_at.is_none()).map(|m| m.name.clone()));
            if let Some(name) = name {
                c.fleet.with(|w, now| w.kill_machine(&name, now, &c.record, true));
            }
        }
        _ => {}
    }
    c.troubles_over();
    let mut at = 0;
    while record.now() < 113_000 {
        thread::sleep(Duration::from_millis(400));
        c.observe_waiting();
        at += 1;
        if at % 10 == 0 {
            ids.retain(|id| !matches!(c.poll((at / 10) % 3, id).state.as_str(), "done"));
        }
    }
    let mut broken = c.violations();
    broken.extend(c.left_waiting(90_000));
    println!("seed {seed}: {} unfinished", ids.len());
    Ok(broken)
}
