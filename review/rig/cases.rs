//! The cases.

use std::path::Path;

use crate::fleet::{MachineType, WorkerTimes};
use crate::json::{Json, map, text};
use crate::{Rig, Site};

type Outcome = Result<(Rig, Option<String>), String>;

pub fn play(case: &str, record: &Path, command: &str, trouble: bool) -> Outcome {
    let start = |site: Site| Rig::start(site, record, command, trouble);
    match case {
        "guarantee" => guarantee(start(maapoue())?),
        "kept" => kept(start(selatferi())?),
        "apart" => apart(start(selatferi())?),
        _ => Err(format!("no such case: {case}")),
    }
}

/// The settings from `[params]` on; `rest`: objectives and times.
fn params(
    zones: &[&str],
    teams: &[(&str, [f64; 4])],
    objectives: &[(&str, &str, &str)],
    rest: &str,
) -> String {
    let mut text = format!("[params]\nnodes = 3\nzones = {zones:?}\nclock_off_ms = 1000.0\n");
    for (name, [cpus, cpus_max, gpus, gpus_max]) in teams {
        text += &format!(
            "[[params.teams]]\nname = \"{name}\"\ncpus = {cpus:?}\ncpus_max = {cpus_max:?}\ngpus = {gpus:?}\n\
             gpus_max = {gpus_max:?}\n"
        );
    }
    for (kind, class, rest) in objectives {
        text += &format!("[[params.objectives]]\nkind = \"{kind}\"\nclass = \"{class}\"\n{rest}\n");
    }
    text + rest
}

/// The deployment of `kit/sites/selatferi-hq.toml`, with all that its cloud has to give.
fn selatferi() -> Site {
    let kind =
        |name, cpus, memory_gb, gpus, prices: (f64, f64), startup_s, cache_gb, fetch_gb_per_s, n, spot| {
            let capacity = vec![("klang", n, spot)];
            let (price, spot_price) = prices;
            MachineType {
                name,
                cpus,
                gpus,
                memory_gb,
                price,
                spot_price,
                startup_s,
                cache_gb,
                fetch_gb_per_s,
                capacity,
            }
        };
    let types = vec![
        kind("jetty16", 16.0, 32.0, 0.0, (0.82, 0.33), 40.0, 60.0, 0.8, 3, 1),
        kind("deck32", 32.0, 128.0, 0.0, (1.68, 0.65), 30.0, 80.0, 1.0, 2, 0),
        kind("hull64", 64.0, 512.0, 0.0, (3.95, 1.51), 35.0, 30.0, 0.2, 3, 0),
        kind("lens12", 12.0, 72.0, 2.0, (4.92, 1.66), 50.0, 60.0, 0.3, 59, 10),
    ];
    let objectives = [
        ("wait", "seatlock", "within_s = 4.0\nshare = 0.78"),
        ("finished", "seatlock", "within_s = 80.0\nshare = 0.8"),
        ("finished", "facecheck", "within_s = 150.0\nshare = 0.95"),
        ("finished", "facecheck", "within_s = 250.0\nshare = 0.95"),
        ("deadline", "farerecon", "share = 0.9\ntimes = 1.0"),
    ];
    let rest = "[params.workers]\nreport_s = 2.5\nlease_s = 14.0\ngang_wait_s = 45.0\ngang_peer_s = 4.0\n\
         cancel_s = 34.0\n[params.state]\nrps = 120.0\nwrite_rps = 25.0\nvalue_kb = 32.0\ntxn_ops = 20\n\
         [params.cloud]\nrps = 5.0\nlist_lag_s = 10.0\n\
         [params.machine_limits]\ncpu = 0.096\nram_mb = 72.0\nsockets = 1500\n";
    Site {
        params: params(&["klang"], &[("opsdesk", [0.0; 4])], &objectives, rest),
        zones: vec!["klang"],
        types,
        times: WorkerTimes { report_s: 2.5, lease_s: 14.0, gang_wait_s: 45.0 },
        boot_s: 1.5,
        list_lag_s: 10.0,
    }
}

/// The deployment of `kit/sites/maapoue-cores.toml`, with all that its cloud has to give.
fn maapoue() -> Site {
    let zones = vec!["tallinn", "tartu", "rakvere"];
    let types = vec![
        MachineType {
            name: "puur32",
            cpus: 32.0,
            gpus: 0.0,
            memory_gb: 256.0,
            price: 2.82,
            spot_price: 1.29,
            startup_s: 20.0,
            cache_gb: 25.0,
            fetch_gb_per_s: 0.3,
            capacity: vec![("tallinn", 13, 2), ("tartu", 10, 1), ("rakvere", 13, 1)],
        },
        MachineType {
            name: "kivi48",
            cpus: 48.0,
            gpus: 8.0,
            memory_gb: 288.0,
            price: 28.95,
            spot_price: 12.98,
            startup_s: 40.0,
            cache_gb: 100.0,
            fetch_gb_per_s: 0.3,
            capacity: vec![("tallinn", 2, 1), ("tartu", 1, 1), ("rakvere", 2, 1)],
        },
    ];
    let teams = [("lithology", [648.0, 1512.0, 24.0, 112.0]), ("hydrogeo", [648.0, 1944.0, 24.0, 72.0])];
    let objectives = [
        ("wait", "stratamodel", "within_s = 10.0\nshare = 0.85"),
        ("wait", "stratamodel", "within_s = 25.0\nshare = 0.96"),
        ("finished", "stratamodel", "within_s = 300.0\nshare = 0.94"),
        ("finished", "coreview", "within_s = 180.0\nshare = 0.9"),
    ];
    let rest = "[[params.objectives]]\nkind = \"guarantee\"\nwithin_s = 10.0\nshare = 0.92\n\
         [params.workers]\nreport_s = 3.0\nlease_s = 27.0\ngang_wait_s = 40.0\ngang_peer_s = 8.0\n\
         cancel_s = 57.0\n[params.state]\nrps = 120.0\nwrite_rps = 20.0\nvalue_kb = 8.0\ntxn_ops = 12\n\
         [params.cloud]\nrps = 5.0\nlist_lag_s = 3.0\n\
         [params.machine_limits]\ncpu = 0.04\nram_mb = 56.0\nsockets = 700\n";
    Site {
        params: params(&zones, &teams, &objectives, rest),
        zones,
        types,
        times: WorkerTimes { report_s: 3.0, lease_s: 27.0, gang_wait_s: 40.0 },
        boot_s: 1.5,
        list_lag_s: 3.0,
    }
}

/// A submission of the team `opsdesk`.
fn job(id: &str, class: &str, shape: &str, rank: &str, pieces: u64, need: [f64; 3], runtime_s: f64) -> Json {
    map(&[
        ("Uid", text(id)),
        ("Jobclass", text(class)),
        ("Crew", text("opsdesk")),
        ("Shape", text(shape)),
        ("Rank", text(rank)),
        ("Pieces", Json::Int(pieces)),
        ("Cpus", Json::Num(need[0])),
        ("Cards", Json::Num(need[1])),
        ("MemoryGb", Json::Num(need[2])),
        ("Kit", text(format!("img-{class}"))),
        ("SizeGb", Json::Num(1.2)),
        ("Hulls", Json::Null),
        ("Berth", Json::Null),
        ("OneZone", Json::Bool(false)),
        ("Apart", Json::Bool(false)),
        ("Standby", Json::Bool(false)),
        ("RuntimeS", Json::Num(runtime_s)),
        ("MarkS", Json::Num(0.0)),
        ("StowS", Json::Num(0.0)),
        ("DueS", Json::Null),
    ])
}

/// Polls a job every 5 s until it is done. `Some`: it was left waiting for more than 90 s without a break, with no task
/// on a machine, while at every look (five a second) machines that it allows had room for what it starts with.
fn neglect(rig: &mut Rig, id: &str, seconds: f64) -> Result<Option<String>, String> {
    let end = rig.now() + seconds;
    let mut since = None::<f64>;
    let mut next_poll = 0.0;
    while rig.now() < end {
        let (placed, room, now) = {
            let world = rig.world.lock().unwrap();
            (world.placed(id), world.machines_with_room(id), world.now())
        };
        if placed == 0 && !room.is_empty() {
            let from = *since.get_or_insert(now);
            if now - from > 90.0 {
                let state = rig.state_of(id);
                return Ok(Some(format!(
                    "{id} has waited {:.0} s with no task on a machine, beside {} machines with room for it, {} for \
                     one; its user is told \"{state}\"",
                    now - from,
                    room.len(),
                    room[0]
                )));
            }
        } else {
            since = None;
        }
        if now >= next_poll {
            next_poll = now + 5.0;
            if rig.state_of(id) == "done" {
                return Ok(None);
            }
        }
        rig.sleep(0.2);
    }
    Err(format!("{id} is not done in time"))
}

fn expect(status: Option<u16>) -> Result<(), String> {
    if matches!(status, Some(200 | 201)) {
        Ok(())
    } else {
        Err(format!("a submission was answered with {status:?}"))
    }
}

/// Work of a team within its guarantee, beside a gang of another team for which the cloud has too few machines.
fn guarantee(mut rig: Rig) -> Outcome {
    if rig.trouble {
        let mut gang = job("j-000101", "logfit", "ensemble", "normal", 50, [30.0, 0.0, 200.0], 60.0);
        gang.set("Crew", text("lithology"));
        expect(rig.submit(gang, 60.0))?;
        rig.sleep(5.0);
    }
    let mut model = job("j-000102", "stratamodel", "ensemble", "normal", 1, [30.0, 0.0, 200.0], 10.0);
    model.set("Crew", text("hydrogeo"));
    model.set("OneZone", Json::Bool(true));
    model.set("MarkS", Json::Num(45.0));
    model.set("StowS", Json::Num(5.0));
    expect(rig.submit(model, 10.0))?;
    let broken = neglect(&mut rig, "j-000102", 100.0)?;
    Ok((rig, broken))
}

/// Room that is kept for a class, and a job of another class that may use only such machines.
fn kept(mut rig: Rig) -> Outcome {
    if rig.trouble {
        let mut first = job("j-000101", "seatlock", "ensemble", "urgent", 1, [30.0, 0.0, 128.0], 35.0);
        first.set("OneZone", Json::Bool(true));
        expect(rig.submit(first, 1.0))?;
        if !rig.wait_for("j-000101", "done", 20.0) {
            return Err("the first job is not done".into());
        }
    }
    let mut small = job("j-000102", "farerecon", "sweep", "normal", 8, [2.0, 0.0, 2.8], 20.0);
    small.set("Hulls", Json::List(vec![text("deck32")]));
    expect(rig.submit(small, 3.0))?;
    let broken = neglect(&mut rig, "j-000102", 97.0)?;
    Ok((rig, broken))
}

/// A gang whose tasks must not all be in one zone, where there is only one.
fn apart(mut rig: Rig) -> Outcome {
    let mut pair = job("j-000101", "farerecon", "ensemble", "normal", 2, [2.0, 0.0, 2.8], 20.0);
    pair.set("Apart", Json::Bool(rig.trouble));
    match rig.submit(pair, 3.0) {
        Some(200 | 201) => {}
        Some(422) => return Ok((rig, None)),
        other => return Err(format!("the submission was answered with {other:?}")),
    }
    if rig.wait_for("j-000101", "done", 100.0) {
        return Ok((rig, None));
    }
    let state = rig.state_of("j-000101");
    let starts = rig.world.lock().unwrap().starts.len();
    let broken = format!(
        "j-000101 was accepted though it can't run; after 100 s its user is told \"{state}\", and {starts} tasks have \
         been on machines"
    );
    Ok((rig, Some(broken)))
}
