//! Properties of every division of a limit.

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::*;

fn amount(cpu: u64, gpu: u64) -> Resources {
    Resources { cpu, gpu, memory: 0 }
}

fn order(since: u64) -> Order {
    Order { stalled: false, running: false, since, arrival: since }
}

fn total(amounts: impl Iterator<Item = Resources>) -> Resources {
    amounts.fold(Resources::default(), Resources::plus)
}

fn up_to(rng: &mut StdRng, most: Resources) -> Resources {
    amount(rng.random_range(0..=most.cpu), rng.random_range(0..=most.gpu))
}

fn random_units(rng: &mut StdRng) -> Vec<Unit> {
    let unit = |rng: &mut StdRng| Unit {
        order: Order {
            stalled: rng.random_bool(0.1),
            running: rng.random_bool(0.4),
            since: rng.random_range(0..50),
            arrival: rng.random_range(0..50),
        },
        need: amount(rng.random_range(1..8_000), rng.random_range(0..3) * 1_000),
        count: rng.random_range(0..6),
    };
    (0..rng.random_range(0..5)).map(|_| unit(rng)).collect()
}

/// Guards against shares that add up to more than a limit. After a new view each controller was given the usage that it
/// counted as its share, with tasks that may be in two places counted twice. When the count fell, the controller
/// started as many more: 41 of 40.
#[test]
fn what_is_allotted_never_adds_up_to_more_than_the_limit() {
    for seed in 0..500 {
        let mut rng = StdRng::seed_from_u64(seed);
        let limit = up_to(&mut rng, amount(60_000, 12_000));
        let mut members = vec![Member::default(); rng.random_range(1..8)];
        for _ in 0..20 {
            let fresh = members.iter().all(|m| m.granted == Resources::default());
            for m in &mut members {
                m.units = random_units(&mut rng);
                // Tasks end, and while jobs change owner a task may count in several places.
                let most = if fresh { amount(20_000, 4_000) } else { m.granted.max(m.used) };
                m.used = up_to(&mut rng, most);
            }
            let next = divide(limit, &members);
            let all = total(next.iter().copied());
            assert!(all.fits(limit), "seed {seed}: {next:?} of {limit:?}");
            let bound = total(members.iter().map(|m| m.granted.max(m.used)));
            let grown = next.iter().zip(&members).filter(|_| !fresh).map(|(n, m)| n.minus(m.granted));
            let more = total(grown);
            assert!(more.fits(limit.minus(bound)), "seed {seed}: grew into what others may use");
            members.iter_mut().zip(next).for_each(|(m, n)| m.granted = n);
            // A new view, in which the division of the limit begins again.
            if rng.random_bool(0.1) {
                members.iter_mut().for_each(|m| m.granted = Resources::default());
            }
        }
    }
}

/// Guards against exceeding a limit when shares are smaller than the usage. Replicas and gangs keep running beyond
/// their controller's share, so controllers that use less than their share must leave room for them.
#[test]
fn whoever_starts_within_its_part_leaves_room_for_all_that_others_use() {
    for seed in 0..500 {
        let mut rng = StdRng::seed_from_u64(seed);
        let limit = amount(40_000, 40_000);
        let n = rng.random_range(2..8);
        // What is really running, and what else is counted while some of it may be in two places.
        let mut left = limit;
        let mut share = || {
            let runs = up_to(&mut rng, left);
            left = left.minus(runs);
            runs
        };
        let mut runs: Vec<Resources> = (0..n).map(|_| share()).collect();
        let mut twice: Vec<Resources> = runs.iter().map(|r| up_to(&mut rng, *r)).collect();
        let mut members = vec![Member::default(); n as usize];
        for round in 0..30 {
            for (i, m) in members.iter_mut().enumerate() {
                m.used = runs[i].plus(twice[i]);
                let need = amount(1_000, 1_000);
                m.units = vec![Unit { order: order(i as u64), need, count: rng.random_range(0..30) }];
            }
            let next = divide(limit, &members);
            members.iter_mut().zip(next).for_each(|(m, n)| m.granted = n);
            for (i, m) in members.iter().enumerate() {
                twice[i] = twice[i].minus(up_to(&mut rng, twice[i]));
                if rng.random_bool(0.4) {
                    runs[i] = runs[i].minus(up_to(&mut rng, runs[i]));
                }
                // Each resource by itself, which is more than starts of tasks would use.
                if rng.random_bool(0.8) {
                    let more = m.granted.minus(runs[i].plus(twice[i]));
                    runs[i] = runs[i].plus(more);
                }
            }
            let all = total(runs.iter().copied());
            assert!(all.fits(limit), "seed {seed}: {all:?} of {limit:?} in round {round}");
        }
    }
}

/// Guards against a limit of which every controller holds a share that is too small for its gang: none gave up what it
/// could not use, and no gang ever started.
#[test]
fn shares_too_small_to_start_anything_are_given_to_one_that_can() {
    let gang = |granted, size, since| Member {
        granted: amount(granted, 0),
        used: Resources::default(),
        units: vec![Unit { order: order(since), need: amount(size, 0), count: 1 }],
    };
    let mut members = vec![gang(14, 15, 1), gang(12, 16, 2), gang(14, 15, 3)];
    for _ in 0..3 {
        let next = divide(amount(40, 0), &members);
        assert!(total(next.iter().copied()).fits(amount(40, 0)));
        members.iter_mut().zip(next).for_each(|(m, n)| m.granted = n);
    }
    let able = members.iter().filter(|m| m.units[0].need.fits(m.granted)).count();
    assert_eq!(able, 2, "{members:?}");
    let before: Vec<Resources> = members.iter().map(|m| m.granted).collect();
    assert_eq!(divide(amount(40, 0), &members), before, "shares go to and fro");
}

/// Guards against separate divisions of processors and accelerators: one owner held the processors and another the
/// accelerators that the other's gang lacked, and neither gave up any.
#[test]
fn processors_and_accelerators_come_together_at_the_gang_that_has_waited_longest() {
    let gang = |granted, since| Member {
        granted,
        used: Resources::default(),
        units: vec![Unit { order: order(since), need: amount(20, 4), count: 1 }],
    };
    let mut members = vec![gang(amount(20, 0), 9), gang(amount(0, 4), 5)];
    for _ in 0..2 {
        let next = divide(amount(24, 4), &members);
        members.iter_mut().zip(next).for_each(|(m, n)| m.granted = n);
    }
    assert!(members[1].units[0].need.fits(members[1].granted), "{members:?}");
}

/// Guards against a share that lies idle at an owner whose gang needs more, while the owner also has a job that can use
/// any part of it: only the owner's smallest unit counted, and the gang never got its whole share.
#[test]
fn a_gang_beside_a_small_job_of_the_same_owner_gets_its_share() {
    let unit = |since, cpu| Unit { order: order(since), need: amount(cpu, 0), count: 1 };
    let mut members = vec![
        Member { granted: amount(30, 0), used: amount(10, 0), units: vec![unit(7, 1); 3] },
        Member { granted: amount(10, 0), used: amount(2, 0), units: vec![unit(1, 15), unit(8, 1)] },
    ];
    for _ in 0..2 {
        let next = divide(amount(40, 0), &members);
        members.iter_mut().zip(next).for_each(|(m, n)| m.granted = n);
    }
    assert!(amount(17, 0).fits(members[1].granted), "{members:?}");
}

/// How many divisions after the last start a unit that fits beside the usage may be left out.
const SETTLES_WITHIN: usize = 4;

/// Random owners start what their shares allow until nothing changes: then no unit that fits under the limit is left
/// out, whatever was granted before, and the shares never add up to more than the limit.
#[test]
fn divided_to_rest_no_unit_that_fits_is_left_out() {
    let mut started = 0;
    for seed in 0..2_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let limit = amount(40_000, 6_000);
        let mut members = vec![Member::default(); rng.random_range(1..6)];
        let mut left = limit;
        for m in &mut members {
            m.used = up_to(&mut rng, left);
            left = left.minus(m.used);
            m.units = random_units(&mut rng);
        }
        // Any division may have been in force.
        let mut spare = left;
        for m in &mut members {
            let more = up_to(&mut rng, spare);
            spare = spare.minus(more);
            m.granted = m.used.plus(more);
        }
        let mut idle = 0;
        while idle < SETTLES_WITHIN {
            let next = divide(limit, &members);
            assert!(total(next.iter().copied()).fits(limit), "seed {seed}");
            members.iter_mut().zip(next).for_each(|(m, n)| m.granted = n);
            let before = started;
            for m in &mut members {
                m.units.sort_by_key(|u| u.order);
                for unit in &mut m.units {
                    while unit.count > 0 && unit.need.fits(m.granted.minus(m.used)) {
                        unit.count -= 1;
                        m.used = m.used.plus(unit.need);
                        started += 1;
                    }
                }
            }
            idle = if started == before { idle + 1 } else { 0 };
        }
        let left = limit.minus(total(members.iter().map(|m| m.used)));
        for (i, unit) in in_order(&members) {
            assert!(
                !unit.need.fits(left),
                "seed {seed}: {unit:?} of {i} is left out of {left:?}: {members:?}"
            );
        }
    }
    assert!(started > 2_000, "only {started} units were started");
}
