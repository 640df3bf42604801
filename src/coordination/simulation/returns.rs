//! Controllers that end and are back within a fraction of a second, at every step of their lives.

use super::takeovers::array;
use super::*;
use crate::coordination::Phase;

/// Three controllers, 24 machines and work for all of them.
fn busy(seed: u64, trouble: FaultProfile, tasks: u32) -> World {
    let mut world = World::new(seed, trouble);
    for _ in 0..24 {
        world.add_machine("c16", "east", false);
    }
    for n in 0..9 {
        let spec = array(&mut world, n, tasks);
        world.submit(spec);
    }
    for n in 9..15 {
        let job = world.random_job(n);
        world.submit(JobSpec { shape: Shape::Gang, ..job });
    }
    world.run(Micros::from_secs(25));
    world
}

/// Guards against jobs held back by machines that have nothing to do with them: a controller that is back
/// before anybody has taken it for ended is granted its own machines under a new life, and nobody but it
/// holds them, so no holder could tell it what is on the silent ones. Any other controller can.
#[test]
fn a_quick_return_waits_for_no_machine_that_the_others_know() {
    for seed in 0..8 {
        let mut world = busy(seed, FaultProfile::default(), 300);
        let held = |c: &Controller| {
            let own = c.machines.iter().filter(|(_, m)| c.owns(m) && !m.idle());
            own.map(|(name, _)| name.clone()).collect::<Vec<_>>()
        };
        let all = (0..3).map(|n| (n, held(world.controllers[n].as_ref().unwrap())));
        let (n, machines) = all.max_by_key(|(_, held)| held.len()).unwrap();
        for name in machines.iter().take(2) {
            world.workers.get_mut(name).unwrap().cut_until = Micros::MAX;
        }
        world.crash_for(n, Micros::from_millis(300));
        let since = world.now;
        world.run(since + Micros::from_millis(300 + 1_000));
        let c = world.controllers[n].as_ref().unwrap();
        let silent =
            machines.iter().take(2).filter(|name| c.machines.get(*name).is_some_and(|m| !m.resolved));
        assert_eq!(silent.count(), 2, "seed {seed}: the silent machines were heard");
        assert!(
            c.is_view_member && !c.takeover_in_progress,
            "seed {seed}: back for 1 s, waits for {:?}",
            c.unresolved_machines
        );
        world.all_over(600, &format!("seed {seed}"));
    }
}

/// Guards every step of a life against an end in it: registering, loading, taking over, leading, granting,
/// in an outage, and twice within a second, while machines die and are cut off.
#[test]
fn an_end_at_any_step_of_a_life_breaks_nothing() {
    type Step = (&'static str, fn(&World, usize) -> bool);
    let steps: [Step; 6] = [
        ("registering", |w, n| w.controllers[n].as_ref().is_some_and(|c| c.phase == Phase::Registering)),
        ("loading", |w, n| w.controllers[n].as_ref().is_some_and(|c| c.phase == Phase::Loading)),
        ("taking over", |w, n| w.controllers[n].as_ref().is_some_and(|c| c.takeover_in_progress)),
        ("leading", |w, n| w.controllers[n].as_ref().is_some_and(Controller::leading)),
        ("granting", |w, n| {
            let lead = w.controllers[n].as_ref().and_then(|c| c.leader_state.as_ref());
            lead.is_some_and(|lead| lead.grant_in_flight)
        }),
        ("within a second", |w, n| {
            w.controllers[n].is_some() && w.booted[n] + Micros::from_millis(400) < w.now
        }),
    ];
    let trouble =
        FaultProfile { machine_dies: 0.02, machine_cut: 0.05, machine_hangs: 0.02, ..Default::default() };
    for (i, (name, reached)) in steps.into_iter().enumerate() {
        let mut met = 0;
        for seed in 0..3 {
            let mut world = busy(40 + seed + 10 * i as u64, trouble, 300);
            for round in 0..6usize {
                if round == 3 {
                    world.befalls(Spell::StoreDown, world.now + Micros::from_secs(3));
                }
                let leader = (0..3).find(|n| world.controllers[*n].as_ref().is_some_and(Controller::leading));
                let n = leader.filter(|_| round % 2 == 0).unwrap_or(round % 3);
                world.crash(n);
                let until = world.now + Micros::from_secs(8);
                // A leader that has ended is another one by now.
                let any = |w: &World| {
                    let ends = if matches!(name, "leading" | "granting") { 0..3 } else { n..n + 1 };
                    ends.into_iter().find(|n| reached(w, *n))
                };
                while any(&world).is_none() && world.now < until {
                    world.run(world.now + Micros::from_millis(2));
                }
                if let Some(n) = any(&world) {
                    met += 1;
                    world.crash(n);
                }
                world.run(world.now + Micros::from_millis(1_500));
            }
            world.all_over(600, &format!("seed {seed}"));
        }
        assert!(met >= 6, "{name}: met only {met} times");
    }
}

/// Guards against returns that hold each other back: controllers end one after the other for a minute,
/// each back within a fraction of a second, while machines die and are cut off.
#[test]
fn a_loop_of_ends_for_a_minute_breaks_nothing_and_ends_with_the_loop() {
    let trouble = FaultProfile { machine_dies: 0.03, machine_cut: 0.05, ..Default::default() };
    for seed in 0..4 {
        let mut world = busy(80 + seed, trouble, 600);
        let before = world.started;
        for n in 0..40 {
            let back = Micros(world.rng.random_range(50 * MS..700 * MS));
            world.crash_for(n % 3, back);
            let pause = Micros(world.rng.random_range(500 * MS..2_500 * MS));
            world.run(world.now + pause);
        }
        let started = world.started - before;
        assert!(started > 200, "seed {seed}: {started} starts while controllers ended again and again");
        world.all_over(600, &format!("seed {seed}"));
    }
}

/// Guards jobs against machines that the cloud took while no controller was there: nobody knows their
/// addresses any more, so that nobody could ask them, and all jobs waited until their reports were long due.
/// The cloud's list passes them over.
#[test]
fn after_an_end_of_all_no_job_waits_for_machines_that_the_list_passes_over() {
    for seed in 0..4 {
        let mut world = busy(120 + seed, FaultProfile::default(), 300);
        let used = world.workers.iter().filter(|(_, w)| !w.tasks.is_empty()).map(|(name, _)| name.clone());
        let taken: Vec<String> = used.take(4).collect();
        (0..3).for_each(|n| world.crash_for(n, Micros::from_millis(200)));
        taken.iter().for_each(|name| drop(world.workers.remove(name)));
        world.run(world.now + Micros::from_secs(4));
        for c in world.controllers.iter().flatten() {
            assert!(
                c.is_view_member && !c.takeover_in_progress,
                "seed {seed}: {} waits for {:?}",
                c.own_name(),
                c.unresolved_machines
            );
        }
        world.all_over(600, &format!("seed {seed}"));
    }
}

/// Guards a team's limit against tasks of a job that was over before its owner came back: the owner has no
/// record of it, and counts all that its tasks may take.
#[test]
fn tasks_of_jobs_that_were_over_before_count_against_the_limit() {
    let mut world = busy(140, FaultProfile::default(), 300);
    let c = world.controllers[0].as_mut().unwrap();
    let before = c.usage_by_team();
    let (name, free) =
        c.machines.iter().find(|(_, m)| m.free().cpu > 0).map(|(n, m)| (n.clone(), m.free())).unwrap();
    let stranger =
        (0..).map(|n| format!("j-9{n:05}")).find(|id| c.owner_of(id).as_deref() == Some(c.own_name()));
    let mut tasks = c.machines[&name].tasks.clone();
    let some = c.machines.values().flat_map(|m| m.tasks.values()).find(|t| !t.ended()).unwrap().clone();
    tasks.insert(
        TaskId::new(&stranger.unwrap(), 0),
        super::super::model::PlacedTask { need: Resources::default(), ..some },
    );
    c.set_tasks(&name, tasks);
    let team = |usage: &[(String, u64, u64)]| usage.iter().find(|u| u.0 == "blue").map(|u| u.1).unwrap();
    assert_eq!(team(&c.usage_by_team()), team(&before) + free.cpu);
}
