//! When a controller is taken for ended, and what waits for machines that are gone.

use super::*;

fn evictions(world: &World) -> usize {
    world.store.log.iter().filter(|(_, key, _)| key.starts_with(records::EVICTIONS_PREFIX)).count()
}

/// Guards against the storm in which controllers that a packet filter kept from each other all took
/// the others for ended, and evicted each other as fast as they came back.
#[test]
fn controllers_are_evicted_for_having_ended_but_not_for_being_refused() {
    let mut world = World::new(10, FaultProfile::default());
    for _ in 0..12 {
        world.add_machine("c16", "east", false);
    }
    for n in 0..8 {
        let job = JobSpec { shape: Shape::Array, zone: None, gpus: 0.0, ..world.random_job(n) };
        world.submit(JobSpec { tasks: 1_000, team: "green".into(), ..job });
    }
    world.run(Micros::from_secs(25));
    world.befalls(Spell::AllApart, Micros::from_secs(50));
    world.run(Micros::from_secs(55));
    assert_eq!(evictions(&world), 0, "evicted for a packet filter's refusals");
    assert!(world.controllers.iter().flatten().all(|c| c.counters.rejoins == 0));
    let held = |n: &usize| world.controllers[*n].as_ref().map_or(0, |c| c.machine_counts().0);
    let ended = (0..3).max_by_key(held).unwrap();
    world.controllers[ended] = None;
    world.lives[ended] += 1;
    world.run(Micros::from_secs(62));
    assert_eq!(evictions(&world), 1, "an ended controller kept its jobs for the rest of its lease");
}

/// Guards against a takeover that waits for one machine that has died, with all the jobs taken over,
/// until every lease that could matter has run out.
#[test]
fn a_takeover_does_not_wait_long_for_machines_that_are_gone() {
    let mut world = World::new(11, FaultProfile::default());
    for _ in 0..12 {
        world.add_machine("c16", "east", false);
    }
    for n in 0..20 {
        let job = JobSpec { shape: Shape::Array, zone: None, gpus: 0.0, ..world.random_job(n) };
        world.submit(JobSpec { tasks: 60, team: "green".into(), ..job });
    }
    world.run(Micros::from_secs(25));
    let held = |c: &Controller| c.machines.iter().find(|(_, m)| c.owns(m) && !m.idle()).map(|m| m.0.clone());
    let busy = |n: &usize| Some((*n, held(world.controllers[*n].as_ref()?)?));
    let (n, name) = (0..3).find_map(|n| busy(&n)).unwrap();
    // Gone, though the cloud still lists it as running.
    world.workers.get_mut(&name).unwrap().cut_until = Micros::MAX;
    world.controllers[n] = None;
    world.lives[n] += 1;
    world.run(Micros::from_secs(30));
    let listed: u64 = world.controllers.iter().flatten().map(|c| c.counters.takeovers_fully_known).sum();
    assert!(listed > 0, "jobs waited for a machine of which all was known");
    world.run(Micros::from_secs(42));
    assert!(!world.workers.contains_key(&name), "the dead machine was not returned");
    assert!(
        world.controllers.iter().flatten().all(|c| !c.takeover_in_progress),
        "{}",
        world.describe_job("j-000000")
    );
}

/// Guards jobs against a controller that stands still: nobody refuses a connection to it, and for the rest of its
/// lease none of its jobs started anything. When it goes on, it has heard nobody for as long, and must doubt itself.
#[test]
fn a_controller_that_stands_still_is_replaced_before_its_lease_ends_and_accuses_nobody() {
    let mut soon = 0;
    for seed in 0..6 {
        let mut world = World::new(30 + seed, FaultProfile::default());
        for _ in 0..18 {
            world.add_machine("c16", "east", false);
        }
        for n in 0..12 {
            let job = JobSpec { shape: Shape::Array, zone: None, gpus: 0.0, ..world.random_job(n) };
            world.submit(JobSpec { tasks: 1_000, team: "green".into(), ..job });
        }
        world.run(Micros::from_secs(25));
        let n = seed as usize % 3;
        world.befalls(Spell::StandsStill(n), world.now + Micros::from_secs(3));
        world.run(world.now + Micros::from_secs(8));
        assert_eq!(evictions(&world), 0, "seed {seed}: evicted for a moment's silence");
        world.run(world.now + Micros::from_secs(15));
        world.befalls(Spell::StandsStill(n), world.now + Micros::from_secs(25));
        world.run(world.now + Micros::from_millis(10_500));
        let left = world.controllers.iter().flatten().filter(|c| c.own_name() != world.settings[n].member);
        let without = |c: &Controller| c.view.members.len() == 2 && !c.takeover_in_progress;
        soon += usize::from(left.clone().all(without));
        world.run(world.now + Micros::from_secs(40));
        assert!(evictions(&world) <= 1, "seed {seed}: it accused others when it went on");
        let all = world.controllers.iter().flatten();
        assert!(
            all.clone().all(|c| c.view.members.len() == 3 && !c.takeover_in_progress),
            "seed {seed}: not back"
        );
    }
    // A worker whose machine has just changed hands is no witness, so now and then the lease ends first.
    assert!(
        soon >= 4,
        "in {soon} of 6 runs the jobs of a controller that stands still were taken over in time"
    );
}

/// Guards accepted jobs against a 404: a controller that had been evicted and did not know failed to withdraw one,
/// took that for the job's being over, found no final state, and answered that there was no such job.
#[test]
fn an_evicted_controller_tells_no_user_that_a_job_is_unknown() {
    let mut world = World::new(50, FaultProfile::default());
    let job = JobSpec { shape: Shape::Array, ..world.random_job(1) };
    let id = job.id.clone();
    world.submit(JobSpec { tasks: 1_000, team: "green".into(), ..job });
    world.run(Micros::from_secs(10));
    assert!(world.jobs[&id].told_accepted);
    world.jobs.get_mut(&id).unwrap().wants_withdrawal = true;
    let key = records::registration_key("n-0");
    world.store.keys.remove(&key);
    world.store.revision += 1;
    let (revision, life) = (world.store.revision, world.lives[0]);
    world.store.log.push((revision, key, None));
    let request = 1_000_000;
    let (sent, until) = (world.now, world.now + Micros::from_secs(5));
    world.requests.insert((0, life, request), Asked::User { job: id.clone(), withdraw: true, sent, until });
    world.tell(0, Event::Withdraw(request, id.clone()));
    // Whatever is answered, the user judges it.
    world.run(Micros::from_secs(40));
    assert!(world.jobs[&id].told_final.is_some(), "the withdrawal was lost");
}
