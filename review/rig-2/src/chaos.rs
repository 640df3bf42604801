//! Random troubles, to look for faults. No case by itself.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::cases::Outcome;
use crate::cluster::{Cluster, LinkState, job, kind, selatferi, spec};
use crate::record::Recorder;

struct Rng(u64);
impl Rng {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
    fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }
    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

pub fn chaos(record: Arc<Recorder>, scratch: &Path, program: &[String], _trouble: bool) -> Outcome {
    let seed: u64 = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let mut r = Rng(seed);
    let mut k = vec![kind("hull64", 64.0, 0.0, 512.0, 2_000, 4), kind("lens12", 12.0, 2.0, 72.0, 1_000, 6)];
    k.iter_mut().for_each(|k| k.spot_capacity = 4);
    let mut site = selatferi(k);
    site.zones = vec!["klang", "port"];
    site.teams = vec![("opsdesk", 0.0, 0.0), ("red", 60.0, 4.0), ("blue", 40.0, 3.0)];
    site.list_lag_s = 3.0;
    if r.chance(50) {
        site.state_rps = 300.0;
        site.write_rps = 60.0;
    }
    let c = Cluster::start(site, record.clone(), scratch, program);
    if !c.wait_healthy(20_000) {
        return Err("the controllers are not healthy".to_owned());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let faults_end = 65_000u64;
    let run_end = 112_000u64;
    // Users.
    let (cu, su) = (c.clone(), stop.clone());
    let ids = Arc::new(AtomicU64::new(0));
    let unfinished: Arc<std::sync::Mutex<Vec<String>>> = Arc::default();
    let (iu, uu) = (ids.clone(), unfinished.clone());
    let users = thread::spawn(move || {
        let mut rng = Rng(seed ^ 77);
        let mut all = Vec::new();
        while cu.record.now() < faults_end - 4_000 && !su.load(Ordering::Relaxed) {
            let n = iu.fetch_add(1, Ordering::Relaxed);
            let id = format!("j-{n:06}");
            let shape =
                ["sweep", "sweep", "sweep", "ensemble", "ensemble", "standing"][rng.below(6) as usize];
            let team = ["opsdesk", "red", "blue", "red", "blue"][rng.below(5) as usize];
            let rank = ["idle", "normal", "normal", "urgent"][rng.below(4) as usize];
            let pieces = if shape == "sweep" { 1 + rng.below(14) } else { 1 + rng.below(3) } as u32;
            let run = 1_000 + rng.below(9_000);
            let cpus = (1 + rng.below(4)) as f64;
            let mut s = spec(&id, team, shape, rank, pieces, cpus, 1.0, run as f64 / 1e3);
            if rng.chance(35) {
                s["Cards"] = 1.0.into();
            }
            if rng.chance(20) {
                s["OneZone"] = true.into();
            } else if rng.chance(15) {
                s["Apart"] = true.into();
            }
            s["Standby"] = rng.chance(50).into();
            if rng.chance(50) {
                s["MarkS"] = 1.0.into();
                s["StowS"] = 1.0.into();
            }
            let mut j = job(&s, if shape == "standing" { 1 << 40 } else { run });
            j.broken = rng.chance(5);
            let broken = j.broken;
            cu.upload(j);
            let (c, unfinished, seed2) = (cu.clone(), uu.clone(), rng.next());
            all.push(thread::spawn(move || {
                let mut rng = Rng(seed2);
                if c.submit_until_accepted(rng.below(3) as usize, &s).is_none() {
                    return;
                }
                if rng.chance(30) {
                    for node in 0..3 {
                        c.poll(node, &id);
                        c.submit(node, &s);
                    }
                }
                let accepted = c.record.now();
                let cancels = rng.chance(35) || broken || shape == "standing";
                let after = if shape == "standing" { 20_000 } else { rng.below(12_000) };
                loop {
                    thread::sleep(Duration::from_millis(800 + rng.below(2_500)));
                    if c.record.now() > 109_000 {
                        unfinished.lock().unwrap().push(id.clone());
                        return;
                    }
                    let a = c.poll(rng.below(3) as usize, &id);
                    if a.state == "done" || a.state == "withdrawn" {
                        break;
                    }
                    if cancels && c.record.now() > accepted + after {
                        if c.withdraw_until_confirmed(rng.below(3) as usize, &id).is_none() {
                            unfinished.lock().unwrap().push(id.clone());
                            return;
                        }
                        break;
                    }
                }
                for node in 0..3 {
                    c.poll(node, &id);
                    c.submit(node, &s);
                }
                thread::sleep(Duration::from_millis(rng.below(20_000)));
                if c.record.now() < 109_000 {
                    c.poll(rng.below(3) as usize, &id);
                    c.submit(rng.below(3) as usize, &s);
                }
            }));
            thread::sleep(Duration::from_millis(if n < 12 { 100 } else { 400 + rng.below(1_600) }));
        }
        all.into_iter().for_each(|t| drop(t.join()));
    });
    let mut faults = Vec::new();
    thread::sleep(Duration::from_millis(8_000));
    let mut at = record.now();
    while at < faults_end {
        let (c, which, node) = (c.clone(), r.below(20), r.below(3) as usize);
        let (x, y, z) = (r.next(), r.next(), r.next());
        faults.push(thread::spawn(move || {
            let note = |t: String| c.record.note(&format!("trouble: {t}"));
            let ms = |n: u64| thread::sleep(Duration::from_millis(n));
            let for_ms = (1_000 + x % 20_000).min(faults_end.saturating_sub(c.record.now()) + 3_000);
            let leader = if y.is_multiple_of(2) { c.leader() } else { node };
            let patterns = [
                "c/live",
                "c/done",
                "final/",
                "c/blocks",
                "c/helm",
                "c/view",
                "c/node",
                "c/uninformed",
                "c/quota",
                "/renew",
                "/leases",
                "c/rental",
                "c/leader",
            ];
            let pattern = patterns[(z % 13) as usize];
            match which {
                0 | 1 => {
                    c.kill_node(leader);
                    ms(if z.is_multiple_of(2) { z % 400 } else { z % 8_000 });
                    c.start_node(leader);
                }
                2 => {
                    (0..3).for_each(|n| c.kill_node(n));
                    ms(z % 6_000);
                    (0..3).for_each(|n| c.start_node(n));
                }
                3 | 4 => {
                    c.stop_node(leader);
                    ms(for_ms);
                    c.continue_node(leader);
                }
                5 => {
                    note(format!("state out {for_ms}"));
                    (0..3).for_each(|n| c.store.treat(n, |t| t.refuses = true));
                    ms(for_ms);
                    c.store.end_outage();
                    note("state back".into());
                }
                6 | 7 => {
                    note(format!("state refuses {leader} for {for_ms}"));
                    c.store.treat(leader, |t| t.refuses = true);
                    ms(for_ms);
                    c.store.treat(leader, |t| t.refuses = false);
                    note(format!("state serves {leader}"));
                }
                8 | 9 => {
                    note(format!("answers with {pattern} lost for {leader} {for_ms}"));
                    c.store.treat(leader, |t| t.loses_answer = Some(pattern.into()));
                    ms(for_ms / 2);
                    c.store.treat(leader, |t| t.loses_answer = None);
                }
                10 => {
                    note(format!("transactions with {pattern} late for {leader} {for_ms}"));
                    c.store.treat(leader, |t| {
                        t.late = Some((pattern.into(), Duration::from_millis(500 + z % 9_000)))
                    });
                    ms(for_ms / 2);
                    c.store.treat(leader, |t| t.late = None);
                }
                11 => {
                    note(format!("state slow {for_ms}"));
                    (0..3).for_each(|n| c.store.treat(n, |t| t.delay = Duration::from_millis(60 + z % 300)));
                    ms(for_ms);
                    (0..3).for_each(|n| c.store.treat(n, |t| t.delay = Duration::ZERO));
                }
                12 | 13 => {
                    let to = (leader + 1 + (z % 2) as usize) % 3;
                    let state = if z % 4 < 2 { LinkState::Held } else { LinkState::Reset };
                    if z % 3 == 0 {
                        c.link_all_of(leader, state)
                    } else {
                        c.link(leader, to, state)
                    };
                    ms(for_ms);
                    if z % 3 == 0 {
                        c.link_all_of(leader, LinkState::Open)
                    } else {
                        c.link(leader, to, LinkState::Open)
                    };
                }
                14 => {
                    note(format!("workers do not reach {leader} for {for_ms}"));
                    c.fleet.with(|w, _| w.unreachable_nodes.insert(leader));
                    ms(for_ms);
                    c.fleet.with(|w, _| w.unreachable_nodes.remove(&leader));
                }
                15 | 16 => c.fleet.with(|w, now| {
                    let names: Vec<String> =
                        w.machines.values().filter(|m| m.gone_at.is_none()).map(|m| m.name.clone()).collect();
                    for (n, name) in names.iter().enumerate() {
                        if (z >> (n % 60)) % 2 == 0 {
                            continue;
                        }
                        let m = w.machines.get_mut(name).unwrap();
                        match y % 4 {
                            0 => m.hung_until = now + for_ms,
                            1 => m.cut_until = now + for_ms,
                            2 => m.mute_until = now + for_ms,
                            _ => m.deaf_until = now + for_ms,
                        }
                        c.record.note(&format!("trouble: machine {name} {} for {for_ms}", y % 4));
                    }
                }),
                17 => {
                    let names: Vec<String> = c.fleet.with(|w, _| {
                        w.machines.values().filter(|m| m.gone_at.is_none()).map(|m| m.name.clone()).collect()
                    });
                    for name in names.iter().take(2) {
                        c.fleet.with(|w, now| w.kill_machine(name, now, &c.record, z.is_multiple_of(2)));
                    }
                }
                18 => {
                    let names: Vec<String> = c.fleet.with(|w, now| {
                        let spots = w.machines.values_mut().filter(|m| m.gone_at.is_none() && m.spot).take(3);
                        spots
                            .map(|m| {
                                m.notice_until = Some(now + 12_000);
                                m.name.clone()
                            })
                            .collect()
                    });
                    note(format!("notice {names:?}"));
                    ms(12_000);
                    for name in names {
                        c.fleet.with(|w, now| w.kill_machine(&name, now, &c.record, false));
                    }
                }
                _ => {
                    c.fleet.with(|w, _| w.cloud_out = true);
                    note("cloud out".into());
                    ms(for_ms);
                    c.fleet.with(|w, _| w.cloud_out = false);
                }
            }
        }));
        let pause = 700 + r.below(3_500);
        let end = record.now() + pause;
        while record.now() < end {
            thread::sleep(Duration::from_millis(100));
            // Processes that a trouble has killed are started by it.
        }
        at = record.now();
    }
    faults.into_iter().for_each(|t| drop(t.join()));
    c.store.end_outage();
    record.note("troubles over");
    while record.now() < run_end && !users.is_finished() {
        thread::sleep(Duration::from_millis(500));
        c.watch_processes();
    }
    stop.store(true, Ordering::Relaxed);
    let mut broken = c.violations();
    let ended = c.ended.lock().unwrap().clone();
    broken.extend(ended);
    let list = unfinished.lock().unwrap().clone();
    let w: Vec<String> = (0..3).map(|n| format!("{:.0} MB", c.memory_mb(n))).collect();
    record.note(&format!("memory {w:?}, over limit {}, unfinished {list:?}", c.store.over_limit()));
    if !list.is_empty() {
        broken.push(format!("unfinished: {list:?}"));
    }
    let runs = c.fleet.with(|w, _| w.runs.len());
    record.note(&format!("{} jobs, {runs} runs", ids.load(Ordering::Relaxed)));
    println!("seed {seed}: {} jobs, {runs} runs", ids.load(Ordering::Relaxed));
    Ok(broken)
}
