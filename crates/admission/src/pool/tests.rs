//! Tests of the division of a pool.

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::*;

const NAMES: [&str; 3] = ["red", "green", "blue"];

fn offer(team: &'static str, class: &'static str, rank: u8, arrival: u64, tasks: u32) -> Offer<'static> {
    Offer {
        team,
        class,
        rank,
        arrival,
        tasks,
        of: tasks,
        whole: false,
        begun: false,
        started: 0,
        size: 1.0,
        taken: 1.0,
        usable: f64::INFINITY,
        task_s: 10.0,
        due_s: Some(100.0),
        starts_missed: 0,
    }
}

/// Random pools: no more than the supply is divided, guarantees are kept, no flow is left at zero, and a flow's share
/// is spent on its jobs.
#[test]
fn shares_are_kept_and_spent() {
    for seed in 0..400 {
        let mut rng = StdRng::seed_from_u64(seed);
        let n = rng.random_range(1..60);
        let offers: Vec<Offer> = (0..n)
            .map(|i| {
                let (team, class) = (NAMES[rng.random_range(0..3)], NAMES[rng.random_range(0..3)]);
                let one = offer(team, class, rng.random_range(0..3), i, rng.random_range(1..30));
                let begun = rng.random_bool(0.2);
                let started = if begun || rng.random_bool(0.2) { rng.random_range(1..4) } else { 0 };
                Offer {
                    whole: class == "blue",
                    begun,
                    started,
                    due_s: nearest([rng.random_range(0.0..300.0)].into_iter(), 10.0),
                    ..one
                }
            })
            .collect();
        let supply = rng.random_range(20.0..600.0);
        let entitled = |team: &str| match team {
            "red" => Entitlement { guarantee: 15.0, limit: 0.0 },
            "green" => Entitlement { guarantee: 0.0, limit: 100.0 },
            _ => Entitlement::default(),
        };
        let (verdicts, flows) = divide(&offers, supply, entitled);
        let total: f64 = flows.iter().map(|f| f.share).sum();
        assert!(total <= supply + 1e-6, "seed {seed}: {total} of {supply}");
        let of = |team: &str| {
            let mine = flows.iter().filter(|f| f.team == team);
            mine.fold((0.0, 0.0), |(d, s), f| (d + f.demand, s + f.share))
        };
        assert!(of("red").1 >= of("red").0.min(15.0) - 1e-6, "seed {seed}: the guarantee");
        assert!(of("green").1 <= 100.0 + 1e-6, "seed {seed}: the limit");
        let least = supply * LEAST / flows.len() as f64;
        for f in &flows {
            let mine: Vec<usize> = (0..offers.len())
                .filter(|i| {
                    let o = &offers[*i];
                    o.team == f.team && o.class == f.class && o.rank == f.rank
                })
                .collect();
            let has = |i: &usize| match verdicts[*i] {
                Verdict::Admitted { most, turn: Turn::Usual | Turn::Nth(_) | Turn::First } => f64::from(most),
                _ => 0.0,
            };
            let spent: f64 = mine.iter().map(has).sum();
            let largest = mine.iter().map(|i| offers[*i].demand()).fold(0.0, f64::max);
            let held: f64 = mine
                .iter()
                .filter(|i| offers[**i].whole && offers[**i].begun)
                .map(|i| offers[*i].demand())
                .sum();
            let due = f.share.min(f.demand);
            assert!(spent >= due.floor() - 1.0, "seed {seed}: {spent} spent of {f:?}");
            assert!(spent <= due.max(held) + largest + 1e-6, "seed {seed}: {spent} spent of {f:?}");
            let limited = f.team == "green";
            assert!(limited || f.share >= f.demand.min(least) - 1e-6, "seed {seed}: {f:?} of {supply}");
        }
        for (o, v) in offers.iter().zip(&verdicts).filter(|(o, _)| o.begun) {
            let Verdict::Admitted { most, .. } = v else { panic!("seed {seed}: {o:?} lost its floor") };
            assert!(*most >= o.floor(), "seed {seed}");
        }
    }
}

/// Guards against a share of machines that the flow's jobs can't run on: under sixteen times the usual number of urgent
/// gangs, which need large machines, arrays that run on small machines got only the minimum while machines were idle.
#[test]
fn what_a_flow_cannot_use_is_the_others() {
    let urgent = (0..50).map(|n| Offer { usable: 30.0, ..offer("red", "rush", 2, n, 10) });
    let plain = (50..60).map(|n| offer("red", "any", 1, n, 10));
    let offers: Vec<Offer> = urgent.chain(plain).collect();
    let (_, flows) = divide(&offers, 100.0, |_| Entitlement::default());
    let share = |class: &str| flows.iter().find(|f| f.class == class).map(|f| f.share);
    assert_eq!((share("rush"), share("any")), (Some(30.0), Some(70.0)));
}

/// Guards jobs against starvation when many arrive at once: each starts its first task within a bound that follows from
/// the jobs before it and from the fraction kept for first tasks, and nearly as many jobs finish as if the smallest
/// always went first.
#[test]
fn in_a_flood_each_job_has_a_first_task_soon_and_few_less_are_done() {
    let (supply, task_s) = (160.0, 40u64);
    let mut offers: Vec<Offer> = Vec::new();
    let mut running: Vec<(u64, u64)> = Vec::new();
    let mut waits: BTreeMap<u64, u64> = BTreeMap::new();
    let (mut arrivals, mut done, mut sizes) = (0, 0, Vec::new());
    for second in 0..800u64 {
        if second < 200 {
            arrivals += 1;
            sizes.push(10 + (arrivals * 7 % 31) as u32);
            let one = offer("red", "any", 1, arrivals, 10 + (arrivals * 7 % 31) as u32);
            offers.push(Offer { task_s: task_s as f64, due_s: None, ..one });
        }
        for (arrival, _) in running.extract_if(.., |(_, end)| *end <= second) {
            if let Some(o) = offers.iter_mut().find(|o| o.arrival == arrival) {
                o.tasks -= 1;
            }
        }
        done += offers.extract_if(.., |o| o.tasks == 0).count();
        for o in &mut offers {
            o.begun = running.iter().any(|(arrival, _)| *arrival == o.arrival);
        }
        let (verdicts, _) = divide(&offers, supply, |_| Entitlement::default());
        let mut turns: Vec<(Turn, usize, u32)> = Vec::new();
        for (i, v) in verdicts.iter().enumerate() {
            if let Verdict::Admitted { most, turn } = v {
                turns.push((*turn, i, *most));
            }
        }
        turns.sort_by_key(|(turn, i, _)| (*turn, *i));
        for (turn, i, most) in turns {
            let o = &mut offers[i];
            let here = running.iter().filter(|(arrival, _)| *arrival == o.arrival).count() as u32;
            let more = if turn == Turn::First && o.started > 0 { 0 } else { most.saturating_sub(here) };
            for _ in 0..more.min(o.tasks - here).min((supply as usize - running.len()) as u32) {
                running.push((o.arrival, second + task_s));
                o.started += 1;
                waits.entry(o.arrival).or_insert(second + 1 - o.arrival);
            }
        }
    }
    assert_eq!(waits.len(), 200, "jobs without a first task");
    // Ten slots of 40 s each for 200 first tasks.
    let longest = waits.values().max();
    assert!(longest.is_some_and(|s| *s <= 800), "waited {longest:?} s");
    sizes.sort_unstable();
    let mut work = supply * 800.0 / task_s as f64;
    let best = sizes.iter().take_while(|tasks| {
        work -= f64::from(**tasks);
        work >= 0.0
    });
    let best = best.count();
    assert!(best < 160 && done * 10 >= best * 8, "{done} done of {best} that could be");
}

/// Simulates a pool of 32 slots and returns after how many seconds the job `one` ends beside an endless stream of other
/// jobs; none if it does not end.
fn beside_a_stream(mut one: Offer<'static>, stream: fn(u64) -> Offer<'static>) -> Option<u64> {
    let mut offers: Vec<Offer> = (1..40).map(stream).collect();
    one.arrival = 40;
    offers.push(one);
    let mut work: BTreeMap<u64, f64> = BTreeMap::new();
    for second in 0..4_000u64 {
        offers.extend((0..2).map(|k| stream(100 + second * 2 + k)));
        let (verdicts, _) = divide(&offers, 32.0, |_| Entitlement::default());
        // Slots go to jobs in order of their turn. A gang that does not fit is skipped.
        let mut turns: Vec<(Turn, usize, u32)> = Vec::new();
        for (i, v) in verdicts.iter().enumerate() {
            if let Verdict::Admitted { most, turn } = v {
                turns.push((*turn, i, *most));
            }
        }
        turns.sort_by_key(|(turn, i, _)| (*turn, *i));
        let mut places = 32.0;
        for (_, i, most) in turns {
            let o = &mut offers[i];
            let most = f64::from(most);
            if places >= if o.whole { most } else { 1.0 } {
                let used = most.min(places);
                (places, o.begun) = (places - used, true);
                *work.entry(o.arrival).or_default() += used / o.task_s;
            }
        }
        offers.retain_mut(|o| {
            let done = work.get_mut(&o.arrival);
            if let Some(done) = done.filter(|d| **d >= if o.whole { f64::from(o.tasks) } else { 1.0 }) {
                o.tasks -= (done.floor() as u32).min(o.tasks);
                *done -= done.floor();
            }
            o.due_s = nearest(o.due_s.map(|due| due - 1.0).into_iter(), o.task_s);
            o.tasks > 0
        });
        if offers.iter().all(|o| o.arrival != 40) {
            return Some(second);
        }
    }
    None
}

/// Guards large jobs and gangs against starvation by an endless stream of small jobs, and lower ranks against urgent
/// work: each wait has a bound that follows from the share.
#[test]
fn no_stream_holds_a_job_at_nothing_for_ever() {
    let small = |n| offer("red", "any", 1, n, 4);
    let urgent = |n| offer("red", "rush", 2, n, 40);
    // By arrival on 2 of 32 slots: 800 s for 40 earlier jobs of 4 tasks, then 1500 s for its own 300 tasks.
    let large = beside_a_stream(offer("red", "any", 1, 0, 300), small);
    assert!(large.is_some_and(|s| s <= 2_400), "the large array took {large:?} s");
    let gang = beside_a_stream(Offer { whole: true, ..offer("red", "any", 1, 0, 16) }, small);
    assert!(gang.is_some_and(|s| s <= 1_000), "the gang took {gang:?} s");
    let lower = beside_a_stream(offer("red", "any", 0, 0, 10), urgent);
    assert!(lower.is_some_and(|s| s <= 100), "the lower rank took {lower:?} s");
    let other = beside_a_stream(offer("red", "other", 2, 0, 40), urgent);
    assert!(other.is_some_and(|s| s <= 60), "the other class took {other:?} s");
}

/// Guards a team against being held below its limit: capacity that its tasks make unusable on their machines counted
/// against the limit, and of four tasks with one accelerator each, under a limit of four, only three were admitted.
#[test]
fn a_teams_limit_counts_what_its_tasks_take_and_not_what_they_make_unusable() {
    for wide in 0..=4 {
        let offers: Vec<Offer> = (0..4)
            .map(|n| {
                let class = if n % 2 == 0 { "any" } else { "other" };
                let size = if n < wide { 4.0 / 3.0 } else { 1.0 };
                Offer { size, ..offer("red", class, 1, n, 1) }
            })
            .collect();
        let limited = |limit| divide(&offers, 40.0, |_| Entitlement { guarantee: 0.0, limit }).0;
        let admitted = |verdicts: Vec<Verdict>| verdicts.iter().filter(|v| **v != Verdict::Waits).count();
        assert_eq!(admitted(limited(4.0)), 4, "{wide} of four are wide");
        assert!(admitted(limited(2.0)) < 4, "{wide} of four are wide");
    }
}
