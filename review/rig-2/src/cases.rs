//! The cases. Each plays a small deployment, with its disruption or without it, and returns the broken rules.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::Value;

use crate::cluster::{Cluster, job, kind, selatcargo, selatferi, spec};
use crate::record::Recorder;

pub type Outcome = Result<Vec<String>, String>;

/// The rule's bound on a wait in calm.
const LONGEST_WAIT_MS: u64 = 90_000;

pub fn run(case: &str, record: Arc<Recorder>, scratch: &Path, program: &[String], trouble: bool) -> Outcome {
    match case {
        "service" => service(record, scratch, program, trouble),
        "sick" => sick(record, scratch, program, trouble),
        "guarantee" => guarantee(record, scratch, program, trouble),
        "guest" => guest(record, scratch, program, trouble),
        "tiny" => tiny(record, scratch, program, trouble),
        "chaos" => crate::chaos::chaos(record, scratch, program, trouble),
        "calm" => crate::calm::calm(record, scratch, program, trouble),
        _ => Err(format!("no case {case}")),
    }
}

fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A deployment with machines of 64 processors only, of which the cloud has so many.
fn start(
    record: &Arc<Recorder>,
    scratch: &Path,
    program: &[String],
    machines: usize,
) -> Result<Arc<Cluster>, String> {
    let site = selatferi(vec![kind("hull64", 64.0, 0.0, 512.0, 2_000, machines)]);
    let c = Cluster::start(site, record.clone(), scratch, program);
    if c.wait_healthy(20_000) { Ok(c) } else { Err("the controllers do not become healthy".to_owned()) }
}

/// Uploads a job's description and submits it until it is accepted.
fn submit(c: &Cluster, node: usize, spec: &Value, run_ms: u64) -> Result<(), String> {
    c.upload(job(spec, run_ms));
    c.submit_until_accepted(node, spec).map(drop).ok_or(format!("{} was not accepted", spec["Uid"]))
}

/// Polls jobs about every 5 s, as their users do, until all are done or the time is over. Returns the broken rules,
/// and the jobs that were left waiting.
fn watch(c: &Cluster, ids: &[&str], for_ms: u64) -> Vec<String> {
    let end = c.record.now() + for_ms;
    let (mut open, mut n) = (ids.to_vec(), 0);
    while c.record.now() < end && !open.is_empty() {
        sleep(250);
        c.watch_processes();
        c.observe_waiting();
        n += 1;
        if n % 20 == 0 {
            open.retain(|id| c.poll((n / 20) % 3, id).state != "done");
        }
    }
    let mut broken = c.violations();
    broken.extend(c.left_waiting(LONGEST_WAIT_MS));
    broken
}

/// Production services come three times as often for a moment. The last of them fits nowhere; small jobs do.
fn service(record: Arc<Recorder>, scratch: &Path, program: &[String], trouble: bool) -> Outcome {
    let c = start(&record, scratch, program, 2)?;
    let services = ["j-000001", "j-000002", "j-000003"];
    for (n, id) in services.iter().take(if trouble { 3 } else { 1 }).enumerate() {
        let mut s = spec(id, "opsdesk", "standing", "prod", 3, 20.0, 29.0, 0.0);
        s["Jobclass"] = "sealwatch".into();
        submit(&c, n, &s, u64::MAX)?;
        // The first one is there before the others come.
        while n == 0 && c.poll(0, id).state != "running" {
            if record.now() > 15_000 {
                return Err("the first service does not run".to_owned());
            }
            sleep(300);
        }
    }
    sleep(500);
    c.troubles_over();
    let ids = ["j-000011", "j-000012", "j-000013", "j-000014", "j-000015"];
    for (n, id) in ids.iter().enumerate() {
        submit(&c, n % 3, &spec(id, "opsdesk", "sweep", "normal", 2, 2.0, 2.8, 5.0), 5_000)?;
    }
    Ok(watch(&c, &ids, 96_000))
}

/// Jobs of many small tasks come three times as often.
fn tiny(record: Arc<Recorder>, scratch: &Path, program: &[String], trouble: bool) -> Outcome {
    let c = start(&record, scratch, program, 1)?;
    let ids = ["j-000001", "j-000002", "j-000003"];
    let ids = &ids[..if trouble { 3 } else { 1 }];
    for (n, id) in ids.iter().enumerate() {
        submit(&c, n, &spec(id, "opsdesk", "sweep", "normal", 1_000, 0.05, 0.1, 30.0), 30_000)?;
    }
    c.troubles_over();
    let mut broken = watch(&c, ids, 106_000);
    c.fleet.with(|w, _| {
        for id in ids {
            let done = w.done.get(*id).map_or(0, |d| d.len());
            record.note(&format!("{id}: {done} of 1000 tasks done"));
        }
        let done: usize = w.done.values().map(|d| d.len()).sum();
        let (reports, expiries) =
            w.machines.values().fold((0, 0), |(r, e), m| (r + m.oversize_reports, e + m.expiries));
        record.note(&format!("{reports} reports over 64 KiB, {expiries} leases over"));
        // The machine runs 1,280 of the tasks at a time, so that all 3,000 take 90 s.
        if expiries > 0 && done < 1_280 {
            broken.push(format!(
                "{done} of {} tasks done in 106 s: the worker's lease ran out {expiries} times, as {reports} reports \
                 were too long to be taken",
                ids.len() * 1_000
            ));
        }
    });
    Ok(broken)
}

/// A machine fails every task that it starts, and the cloud has others to give.
fn sick(record: Arc<Recorder>, scratch: &Path, program: &[String], trouble: bool) -> Outcome {
    let c = start(&record, scratch, program, 4)?;
    let ids = ["j-000001", "j-000002"];
    for (n, id) in ids.iter().enumerate() {
        submit(&c, n, &spec(id, "opsdesk", "sweep", "normal", 4, 2.0, 2.8, 5.0), 5_000)?;
    }
    // The first machine that the cloud gives is the faulty one.
    while trouble {
        let found = c.fleet.with(|w, now| {
            let first = w.machines.values_mut().next();
            first.map(|m| m.sick_until = now + 125_000).is_some()
        });
        if found {
            break;
        }
        if record.now() > 15_000 {
            return Err("no machine was rented".to_owned());
        }
        sleep(20);
    }
    let mut broken = watch(&c, &ids, 100_000);
    c.fleet.with(|w, now| {
        let mut machines: Vec<&str> = w.runs.iter().map(|r| r.machine.as_str()).collect();
        machines.sort();
        machines.dedup();
        record.note(&format!("tasks were started on {machines:?}"));
        for id in &ids {
            let done = w.done.get(*id).map_or(0, |d| d.len());
            let runs = w.runs.iter().filter(|r| r.job == *id).count();
            let good = w.runs.iter().filter(|r| r.job == *id && r.why != "error").count();
            let text = format!(
                "{id}: {done} of 4 tasks done after {} s; {runs} starts, {good} of them on a sound machine",
                now / 1_000
            );
            record.note(&text);
            if done < 4 {
                broken.push(text);
            }
        }
    });
    Ok(broken)
}

/// One team's services come twice as often and take more than its guarantee; then another team's service comes, within
/// its own.
fn guarantee(record: Arc<Recorder>, scratch: &Path, program: &[String], trouble: bool) -> Outcome {
    // Three machines in each of two zones: as many accelerators as the two teams are guaranteed.
    let site = selatcargo(vec![kind("rampbay96", 96.0, 8.0, 384.0, 2_000, 3)]);
    let c = Cluster::start(site, record.clone(), scratch, program);
    if !c.wait_healthy(20_000) {
        return Err("the controllers do not become healthy".to_owned());
    }
    let sealwatch = |id: &str, team: &str, replicas: u32| {
        let mut s = spec(id, team, "standing", "prod", replicas, 8.0, 29.0, 0.0);
        s["Jobclass"] = "sealwatch".into();
        s["Cards"] = 1.0.into();
        s
    };
    let borrowing = ["j-000001", "j-000002", "j-000003", "j-000004"];
    let borrowing = &borrowing[..if trouble { 4 } else { 2 }];
    for (n, id) in borrowing.iter().enumerate() {
        submit(&c, n % 3, &sealwatch(id, "haulierdesk-0", 12), u64::MAX)?;
    }
    let running = |team: &str| {
        c.fleet.with(|w, _| {
            let of_team = |job: &str| w.jobs.get(job).is_some_and(|j| j.spec["Crew"] == team);
            w.runs.iter().filter(|r| r.to.is_none() && of_team(&r.job)).count()
        })
    };
    while running("haulierdesk-0") < 12 * borrowing.len() {
        if record.now() > 19_000 {
            return Err("the first team's services do not run".to_owned());
        }
        sleep(200);
    }
    c.troubles_over();
    let id = "j-000011";
    submit(&c, 1, &sealwatch(id, "haulierdesk-1", 8), u64::MAX)?;
    let accepted = record.now();
    while running("haulierdesk-1") == 0 && record.now() < accepted + 92_000 {
        sleep(1_000);
        c.watch_processes();
        if (record.now() / 1_000).is_multiple_of(5) {
            c.poll((record.now() / 5_000 % 3) as usize, id);
        }
    }
    let waited = (record.now() - accepted) as f64 / 1e3;
    let (borrowed, own) = (running("haulierdesk-0"), running("haulierdesk-1"));
    record.note(&format!(
        "after {waited:.1} s haulierdesk-0 uses {borrowed} of its guarantee of 24, haulierdesk-1 {own} of 24"
    ));
    let mut broken = c.violations();
    if own == 0 && borrowed > 24 {
        broken.push(format!(
            "{id} of 8 accelerators, all that haulierdesk-1 asks of its 24, waits for {waited:.1} s; haulierdesk-0 uses \
             {borrowed}, guaranteed 24"
        ));
    }
    Ok(broken)
}

/// A guest team's service of the lowest rank fills the machines; then the operator's own urgent gangs come.
fn guest(record: Arc<Recorder>, scratch: &Path, program: &[String], trouble: bool) -> Outcome {
    let mut site = selatferi(vec![kind("hull64", 64.0, 0.0, 512.0, 2_000, 2)]);
    site.teams = vec![("opsdesk", 0.0, 0.0), ("routeplan", 0.0, 0.0)];
    let c = Cluster::start(site, record.clone(), scratch, program);
    if !c.wait_healthy(20_000) {
        return Err("the controllers do not become healthy".to_owned());
    }
    if trouble {
        let mut s = spec("j-000001", "routeplan", "standing", "idle", 4, 30.0, 100.0, 0.0);
        s["Jobclass"] = "wakesim".into();
        submit(&c, 0, &s, u64::MAX)?;
        while c.poll(0, "j-000001").state != "running" {
            if record.now() > 17_000 {
                return Err("the guest's job does not run".to_owned());
            }
            sleep(300);
        }
        sleep(1_000);
    }
    let ids = ["j-000011", "j-000012"];
    for (n, id) in ids.iter().enumerate() {
        let mut s = spec(id, "opsdesk", "ensemble", "urgent", 1, 30.0, 128.0, 5.0);
        s["Jobclass"] = "seatlock".into();
        s["OneZone"] = true.into();
        submit(&c, n, &s, 5_000)?;
    }
    let accepted = record.now();
    let mut broken = watch(&c, &ids, 93_000);
    let waited = (record.now() - accepted) as f64 / 1e3;
    c.fleet.with(|w, _| {
        let guests = w.runs.iter().filter(|r| r.job == "j-000001" && r.to.is_none()).count();
        for id in ids {
            if !w.runs.iter().any(|r| r.job == id) {
                broken.push(format!(
                    "{id}, urgent, waits for {waited:.1} s, while {guests} tasks of a guest run at rank idle"
                ));
            }
        }
    });
    Ok(broken)
}
