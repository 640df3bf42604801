//! Machines whose reports arrive while answers and commands don't reach them.

use super::takeovers::array;
use super::*;

/// Guards jobs against a machine that speaks and does not hear: it seems alive, its lease ends again and again, and
/// whatever is started there dies or never begins. Two of twelve don't hear for a minute, also through an end of
/// their controller; another one hears again after a while.
#[test]
fn machines_that_do_not_hear_get_no_work_and_are_replaced_or_taken_back() {
    for seed in 0..4 {
        let mut world = World::sized(seed, Trouble::default(), Size { controllers: 3, machines: 16 });
        let names: Vec<String> = (0..12).map(|_| world.add_machine("c16", "east", false)).collect();
        for n in 0..9 {
            let spec = array(&mut world, n, 250);
            world.submit(spec);
        }
        world.run(Micros::from_secs(25));
        let deaf = |w: &mut World, name: &String, s: u64| {
            let until = w.now + Micros::from_secs(s);
            w.workers.get_mut(name).unwrap().deaf_until = until;
        };
        names[..2].iter().for_each(|name| deaf(&mut world, name, 600));
        deaf(&mut world, &names[2], 25);
        if seed % 2 == 1 {
            world.crash(seed as usize % 3);
        }
        world.run(world.now + Micros::from_secs(15));
        let held = |w: &World, name: &String| {
            let knows = |c: &&Controller| c.machines.get(name).is_some_and(|m| c.owns(m));
            let c = w.controllers.iter().flatten().find(knows)?;
            Some(c.machines[name].tasks.values().filter(|t| !t.ended()).map(|t| t.started_at).max())
        };
        for name in &names[..2] {
            let began = held(&world, name).flatten().unwrap_or_default();
            world.run(world.now + Micros::from_secs(12));
            let later = held(&world, name).flatten().unwrap_or_default();
            assert!(later <= began, "seed {seed}: {name} does not hear and is still given work");
        }
        world.run(world.now + Micros::from_secs(30));
        for name in &names[..2] {
            let kept = world.controllers.iter().flatten().map(|c| {
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
                "seed {seed}: {name} does not hear and is kept: {:?}",
                kept.collect::<Vec<_>>()
            );
        }
        world.calm_after = world.now;
        world.run(world.now + Micros::from_secs(400));
        for (id, wish) in &world.jobs {
            assert!(wish.told_final.is_some(), "seed {seed}: {id} is not over\n{}", world.describe(id));
        }
    }
}
