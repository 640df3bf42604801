//! Machines that are not receiving: their reports arrive, but answers and orders do not reach them.

use super::takeovers::array;
use super::*;

/// Guards against work being given to a machine that reports but does not receive.
///
/// Such a machine seems alive, but its lease expires again and again, and tasks that are started there are lost or
/// never begin. Two of twelve machines do not receive for 600 s, in some runs also while their controller
/// crashes; a third one receives again after 25 s.
#[test]
fn machines_that_do_not_receive_get_no_work_and_are_returned_or_reinstated() {
    for seed in 0..4 {
        let mut world =
            World::with_size(seed, FaultProfile::default(), ClusterSize { controllers: 3, machines: 16 });
        let names: Vec<String> = (0..12).map(|_| world.add_machine("c16", "east", false)).collect();
        for n in 0..9 {
            let spec = array(&mut world, n, 250);
            world.submit(spec);
        }
        world.run(Micros::from_secs(25));
        let stop_receiving = |w: &mut World, name: &String, s: u64| {
            let until = w.now + Micros::from_secs(s);
            w.workers.get_mut(name).unwrap().not_receiving_until = until;
        };
        names[..2].iter().for_each(|name| stop_receiving(&mut world, name, 600));
        stop_receiving(&mut world, &names[2], 25);
        if seed % 2 == 1 {
            world.crash(seed as usize % 3);
        }
        world.run(world.now + Micros::from_secs(15));
        let last_start_on = |w: &World, name: &String| {
            let owns_machine = |c: &&Controller| c.machines.get(name).is_some_and(|m| c.owns(m));
            let c = w.controllers.iter().flatten().find(owns_machine)?;
            Some(c.machines[name].tasks.values().filter(|t| !t.ended()).map(|t| t.started_at).max())
        };
        for name in &names[..2] {
            let last_start = last_start_on(&world, name).flatten().unwrap_or_default();
            world.run(world.now + Micros::from_secs(12));
            let later_start = last_start_on(&world, name).flatten().unwrap_or_default();
            assert!(
                later_start <= last_start,
                "seed {seed}: {name} does not receive and is still given work"
            );
        }
        world.run(world.now + Micros::from_secs(30));
        for name in &names[..2] {
            let machine_states = world.controllers.iter().flatten().map(|c| {
                c.machines.get(name).map(|m| {
                    (
                        c.own_name().to_owned(),
                        m.row.clone(),
                        m.quarantined,
                        m.unresponsive,
                        m.resolved,
                        m.delivery.clone(),
                        m.last_received_at,
                        m.grant_seen_at,
                        c.now,
                    )
                })
            });
            assert!(
                !world.workers.contains_key(name),
                "seed {seed}: {name} does not receive and has not been returned: {:?}",
                machine_states.collect::<Vec<_>>()
            );
        }
        world.fault_free_from = world.now;
        world.run(world.now + Micros::from_secs(400));
        for (id, wish) in &world.jobs {
            assert!(wish.known_final.is_some(), "seed {seed}: {id} is not over\n{}", world.describe_job(id));
        }
    }
}
