//! Properties of every division of a limit.

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::*;

fn amount(cpu: u64, gpu: u64) -> Resources {
    Resources { cpu, gpu, memory: 0 }
}

fn order(since: u64) -> UnitOrder {
    UnitOrder { stalled: false, running: false, since, arrival: since }
}

fn total(amounts: impl Iterator<Item = Resources>) -> Resources {
    amounts.fold(Resources::default(), Resources::plus)
}

fn up_to(rng: &mut StdRng, most: Resources) -> Resources {
    amount(rng.random_range(0..=most.cpu), rng.random_range(0..=most.gpu))
}

fn random_units(rng: &mut StdRng) -> Vec<StartUnit> {
    let unit = |rng: &mut StdRng| StartUnit {
        order: UnitOrder {
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

/// Members that use no more than a limit together and could start some units, and what they leave of the limit.
fn random_members(rng: &mut StdRng, limit: Resources) -> (Vec<MemberShare>, Resources) {
    let mut members = vec![MemberShare::default(); rng.random_range(1..6)];
    let mut left = limit;
    for m in &mut members {
        m.used = up_to(rng, left);
        left = left.minus(m.used);
        m.units = random_units(rng);
    }
    (members, left)
}

/// Guards against shares that add up to more than a limit. After a new view each controller was given the usage that it
/// counted as its share, with tasks that may be on two machines counted twice. When the count fell, the controller
/// started as many more: 41 of 40.
#[test]
fn shares_never_add_up_to_more_than_the_limit() {
    for seed in 0..500 {
        let mut rng = StdRng::seed_from_u64(seed);
        let limit = up_to(&mut rng, amount(60_000, 12_000));
        let mut members = vec![MemberShare::default(); rng.random_range(1..8)];
        for _ in 0..20 {
            let undivided = members.iter().all(|m| m.granted == Resources::default());
            for m in &mut members {
                m.units = random_units(&mut rng);
                // Tasks end, and while jobs change owner a task may count more than once.
                let most = if undivided { amount(20_000, 4_000) } else { m.granted.max(m.used) };
                m.used = up_to(&mut rng, most);
            }
            let next = divide_limit(limit, &members);
            let all = total(next.iter().copied());
            assert!(all.fits(limit), "seed {seed}: {next:?} of {limit:?}");
            let committed = |m: &MemberShare| m.granted.max(m.used);
            let free = limit.minus(total(members.iter().map(committed)));
            let grown = next.iter().zip(&members).filter(|_| !undivided).map(|(n, m)| n.minus(committed(m)));
            assert!(total(grown).fits(free), "seed {seed}: a share grew into what others may use");
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
fn starts_within_a_share_leave_room_for_the_usage_of_others() {
    for seed in 0..500 {
        let mut rng = StdRng::seed_from_u64(seed);
        let limit = amount(40_000, 40_000);
        let n = rng.random_range(2..8);
        // The usage of running tasks, and what is counted in addition while tasks may be on two machines.
        let mut left = limit;
        let mut share = || {
            let running_usage = up_to(&mut rng, left);
            left = left.minus(running_usage);
            running_usage
        };
        let mut running_usage: Vec<Resources> = (0..n).map(|_| share()).collect();
        let mut double_counted: Vec<Resources> = running_usage.iter().map(|r| up_to(&mut rng, *r)).collect();
        let mut members = vec![MemberShare::default(); n as usize];
        for round in 0..30 {
            for (i, m) in members.iter_mut().enumerate() {
                m.used = running_usage[i].plus(double_counted[i]);
                let need = amount(1_000, 1_000);
                m.units = vec![StartUnit { order: order(i as u64), need, count: rng.random_range(0..30) }];
            }
            let next = divide_limit(limit, &members);
            members.iter_mut().zip(next).for_each(|(m, n)| m.granted = n);
            for (i, m) in members.iter().enumerate() {
                double_counted[i] = double_counted[i].minus(up_to(&mut rng, double_counted[i]));
                if rng.random_bool(0.4) {
                    running_usage[i] = running_usage[i].minus(up_to(&mut rng, running_usage[i]));
                }
                // Grows to the share in each resource independently, which is more than starts of tasks would use.
                if rng.random_bool(0.8) {
                    let more = m.granted.minus(running_usage[i].plus(double_counted[i]));
                    running_usage[i] = running_usage[i].plus(more);
                }
            }
            let all = total(running_usage.iter().copied());
            assert!(all.fits(limit), "seed {seed}: {all:?} of {limit:?} in round {round}");
        }
    }
}

/// Guards against a limit of which every controller holds a share that is too small for its gang: none gave up what it
/// could not use, and no gang ever started.
#[test]
fn shares_too_small_to_use_are_given_to_members_that_can_start() {
    let gang = |granted, size, since| MemberShare {
        granted: amount(granted, 0),
        used: Resources::default(),
        units: vec![StartUnit { order: order(since), need: amount(size, 0), count: 1 }],
    };
    let mut members = vec![gang(14, 15, 1), gang(12, 16, 2), gang(14, 15, 3)];
    for _ in 0..3 {
        let next = divide_limit(amount(40, 0), &members);
        assert!(total(next.iter().copied()).fits(amount(40, 0)));
        members.iter_mut().zip(next).for_each(|(m, n)| m.granted = n);
    }
    let able = members.iter().filter(|m| m.units[0].need.fits(m.granted)).count();
    assert_eq!(able, 2, "{members:?}");
    let before: Vec<Resources> = members.iter().map(|m| m.granted).collect();
    assert_eq!(divide_limit(amount(40, 0), &members), before, "shares oscillate");
}

/// Guards against separate divisions of processors and accelerators: one owner held the processors and another the
/// accelerators that the other's gang lacked, and neither gave up any.
#[test]
fn processors_and_accelerators_go_to_the_gang_that_has_waited_longest() {
    let gang = |granted, since| MemberShare {
        granted,
        used: Resources::default(),
        units: vec![StartUnit { order: order(since), need: amount(20, 4), count: 1 }],
    };
    let mut members = vec![gang(amount(20, 0), 9), gang(amount(0, 4), 5)];
    for _ in 0..2 {
        let next = divide_limit(amount(24, 4), &members);
        members.iter_mut().zip(next).for_each(|(m, n)| m.granted = n);
    }
    assert!(members[1].units[0].need.fits(members[1].granted), "{members:?}");
}

/// Guards against a share that lies idle at an owner whose gang needs more, while the owner also has a job that can use
/// any part of it: only the owner's smallest unit counted, and the gang never got its whole share.
#[test]
fn a_gang_beside_a_small_job_of_the_same_owner_gets_its_share() {
    let unit = |since, cpu| StartUnit { order: order(since), need: amount(cpu, 0), count: 1 };
    let mut members = vec![
        MemberShare { granted: amount(30, 0), used: amount(10, 0), units: vec![unit(7, 1); 3] },
        MemberShare { granted: amount(10, 0), used: amount(2, 0), units: vec![unit(1, 15), unit(8, 1)] },
    ];
    for _ in 0..2 {
        let next = divide_limit(amount(40, 0), &members);
        members.iter_mut().zip(next).for_each(|(m, n)| m.granted = n);
    }
    assert!(amount(17, 0).fits(members[1].granted), "{members:?}");
}

/// Guards against a share that stays below its member's usage, after tasks counted twice, though the limit has room.
#[test]
fn a_share_cut_below_the_usage_grows_again_once_the_overcount_is_over() {
    let mut started = 0;
    for seed in 0..500 {
        let mut rng = StdRng::seed_from_u64(seed);
        let limit = amount(40_000, 6_000);
        let (mut members, _) = random_members(&mut rng, limit);
        members.iter_mut().for_each(|m| m.granted = up_to(&mut rng, m.used));
        started += settle(seed, limit, &mut members);
    }
    assert!(started > 500, "only {started} units were started");
}

/// How many divisions after the last start a unit that fits beside the usage may be left out.
const MAX_DIVISIONS_TO_SETTLE: usize = 4;

/// Lets the owners start what their shares allow until nothing changes. Fails if a unit that fits beside the usage is
/// left out then, or if the shares or the usages ever add up to more than the limit. Returns the number of starts.
fn settle(seed: u64, limit: Resources, members: &mut [MemberShare]) -> usize {
    let mut started = 0;
    let mut idle = 0;
    while idle < MAX_DIVISIONS_TO_SETTLE {
        let next = divide_limit(limit, members);
        assert!(total(next.iter().copied()).fits(limit), "seed {seed}");
        members.iter_mut().zip(next).for_each(|(m, n)| m.granted = n);
        let before = started;
        for m in members.iter_mut() {
            m.units.sort_by_key(|u| u.order);
            for unit in &mut m.units {
                while unit.count > 0 && unit.need.fits(m.granted.minus(m.used)) {
                    unit.count -= 1;
                    m.used = m.used.plus(unit.need);
                    started += 1;
                }
            }
        }
        assert!(total(members.iter().map(|m| m.used)).fits(limit), "seed {seed}: {members:?}");
        idle = if started == before { idle + 1 } else { 0 };
    }
    let left = limit.minus(total(members.iter().map(|m| m.used)));
    for (i, unit) in units_in_order(members) {
        assert!(!unit.need.fits(left), "seed {seed}: {unit:?} of {i} is left out of {left:?}: {members:?}");
    }
    started
}

/// Random owners start what their shares allow until nothing changes: then no unit that fits under the limit is left
/// out, whatever was granted before, and the shares never add up to more than the limit.
#[test]
fn no_fitting_unit_is_left_out_once_divisions_settle() {
    let mut started = 0;
    for seed in 0..2_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let limit = amount(40_000, 6_000);
        let (mut members, left) = random_members(&mut rng, limit);
        // Any division may have been in force.
        let mut spare = left;
        for m in &mut members {
            let more = up_to(&mut rng, spare);
            spare = spare.minus(more);
            m.granted = m.used.plus(more);
        }
        started += settle(seed, limit, &mut members);
    }
    assert!(started > 2_000, "only {started} units were started");
}
