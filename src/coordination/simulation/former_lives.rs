//! Replies that were meant for a controller's former process and reach the one that has taken its place.

use super::meetings_limits::{ask_to_withdraw, finish, go, of_team, owned_by, roomy, there, until};
use super::*;
use crate::coordination::replica::rendezvous;

/// Numbers of jobs that the first of these controllers owns, and the second once the first has gone.
pub(super) fn passing_on(from: usize, to: usize) -> impl Iterator<Item = u32> {
    let third = format!("n-{}", 3 - from - to);
    owned_by(from).filter(move |n| {
        let left = [format!("n-{to}"), third.clone()];
        rendezvous(&format!("j-{n:06}"), left.iter().map(String::as_str)) == Some(left[0].as_str())
    })
}

/// A member stands still while a controller announces a start to it, ends and is back within a fraction of a second: its
/// confirmation of what the former process had announced comes to the new one. Returns the leader, the controller that
/// is back and the member.
fn confirmation_for_a_former_process(world: &mut World) -> (usize, usize, usize) {
    // Statuses are numbered in a process, and the former one has sent many more than the new one.
    go(world, Micros::from_secs(60));
    let leader = world.leader().unwrap();
    let (back, slow) = ((leader + 1) % 3, (leader + 2) % 3);
    world.passed_over = Some(slow);
    world.befalls(Spell::StandsStill(slow), world.now + Micros::from_millis(2_500));
    let announced = owned_by(back).next().unwrap();
    of_team(world, announced, "green", 2);
    go(world, Micros::from_secs(1));
    world.crash_for(back, Micros::from_millis(200));
    go(world, Micros::from_secs(10));
    (leader, back, slow)
}

/// Guards a team's limit against a confirmation that another process had asked for: the new one ordered starts of which a
/// member had never been told, and when it ended that member, which took its jobs over, did not count them: 42 of 40.
#[test]
fn a_confirmation_meant_for_a_former_process_lets_nothing_start() {
    let mut untold = 0;
    for seed in 300..312 {
        let mut world = roomy(seed, &[("blue", 40.0, 0.0), ("green", 0.0, 0.0)]);
        let (leader, back, slow) = confirmation_for_a_former_process(&mut world);
        assert!(world.met.unasked_confirmations > 0, "seed {seed}: no confirmation came to a new process");
        // The new process cannot reach the member any more, nor the store to record that it goes on without it.
        world.befalls(Spell::Apart(back, slow), world.now + Micros::from_secs(60));
        go(&mut world, Micros::from_secs(3));
        let mut passing = passing_on(back, slow);
        let first = of_team(&mut world, passing.next().unwrap(), "blue", 20);
        let knows = |w: &World| w.controllers[back].as_ref().is_some_and(|c| c.jobs.contains_key(&first));
        assert!(until(&mut world, Micros::from_secs(3), knows), "seed {seed}");
        world.befalls(Spell::StoreRefuses(back), world.now + Micros::from_secs(30));
        go(&mut world, Micros::from_secs(4));
        untold += there(&world, &first);
        // It ends, nobody reaches its machines with these tasks, and their job is withdrawn.
        let cut = world.now + Micros::from_secs(30);
        let on = |w: &Worker| w.tasks.keys().any(|t| t.job == first);
        world.workers.values_mut().filter(|w| on(w)).for_each(|w| w.cut_until = cut);
        world.crash_for(back, Micros::from_secs(40));
        ask_to_withdraw(&mut world, leader, &first);
        of_team(&mut world, passing.next().unwrap(), "blue", 40);
        go(&mut world, Micros::from_secs(14));
        world.passed_over = None;
        finish(&mut world, seed);
    }
    assert_eq!(untold, 0, "tasks began of which a member had not been told");
}

/// A controller is back within a fraction of a second and has not accounted for the machines of others yet.
fn taking_over_again(seed: u64) -> (World, usize, usize) {
    let mut world = roomy(seed, &[("blue", 40.0, 0.0), ("green", 0.0, 0.0)]);
    let leader = world.leader().unwrap();
    let back = (leader + 1) % 3;
    let works = owned_by(back).next().unwrap();
    let job = of_team(&mut world, works, "blue", 30);
    assert!(until(&mut world, Micros::from_secs(30), |w| there(w, &job) == 30), "seed {seed}");
    world.crash_for(back, Micros::from_millis(200));
    let open = |w: &World| {
        w.controllers[back]
            .as_ref()
            .is_some_and(|c| c.takeover_in_progress && c.unresolved_machine_count() > 0)
    };
    assert!(until(&mut world, Micros::from_secs(10), open), "seed {seed}: nothing is taken over");
    (world, leader, back)
}

/// Guards takeovers against testimony that was given to a former process: it leaves out what the asker itself ordered,
/// which the new process does not know.
#[test]
fn testimony_given_to_a_former_process_accounts_for_nothing() {
    for seed in 320..324 {
        let (mut world, leader, back) = taking_over_again(seed);
        let witness = world.controllers[leader].as_ref().unwrap().incarnation();
        let asker = world.controllers[back].as_ref().unwrap();
        let open = asker.unresolved_machine_count();
        let words = asker.machines.values().map(|m| asker.machine_status(m)).collect();
        let former = asker.incarnation().1 - 1;
        let late = PeerMessage::WitnessAnswer {
            registration: witness.1,
            requester_registration: former,
            query: u64::MAX,
            machines: words,
        };
        // Asked once, so that answers count.
        world.controllers[back].as_mut().unwrap().witness_queries.record_query(Micros::ZERO);
        world.tell(back, Event::Peer(witness.0, late));
        let asker = world.controllers[back].as_ref().unwrap();
        assert_eq!(asker.unresolved_machine_count(), open, "seed {seed}: machines were accounted for by it");
        assert_eq!(asker.counters.replies_misdirected, 1, "seed {seed}");
    }
}

/// New views are late, so that a controller that has joined again still reads its former registration's grants.
fn late_views(t: &Transaction) -> Option<Fate> {
    let written = t.writes.iter().any(|w| matches!(w, Write::Put { key, .. } if key == records::VIEW_KEY));
    written.then_some(Fate::Late(Micros::from_secs(3)))
}

/// Guards takeovers against a worker's reply to an order of a former registration: it was taken for proof that all on the
/// machine is known, while an answer of that registration's was still under way with a start.
#[test]
fn a_reply_to_a_former_registrations_order_proves_nothing() {
    for seed in 330..334 {
        let mut world = roomy(seed, &[("blue", 40.0, 0.0), ("green", 0.0, 0.0)]);
        let leader = world.leader().unwrap();
        let rejoins = (leader + 1) % 3;
        let former = world.controllers[rejoins].as_ref().unwrap().incarnation();
        world.fate_of = Some(late_views);
        let removed = vec![Write::delete(records::registration_key(&former.0))];
        world.store.commit(Transaction { conditions: Vec::new(), writes: removed });
        let again = |w: &World| {
            let c = w.controllers[rejoins].as_ref().unwrap();
            c.phase == crate::coordination::Phase::Active && c.incarnation().1 > former.1
        };
        assert!(until(&mut world, Micros::from_secs(5), again), "seed {seed}: has not joined again");
        let c = world.controllers[rejoins].as_ref().unwrap();
        let held =
            c.machines.iter().find(|(_, m)| (&m.row.owner, m.row.registration) == (&former.0, former.1));
        let (machine, token) =
            held.map(|(name, m)| (name.clone(), m.row.token)).expect("its machines are granted anew already");
        let mut report = world.workers[&machine].report(&machine, world.now);
        report.tally += 1;
        world.tell(
            rejoins,
            Event::WorkerReply {
                machine: machine.clone(),
                token,
                reply: DirectReply::Done(Box::new(report)),
            },
        );
        let c = world.controllers[rejoins].as_ref().unwrap();
        assert!(!c.machines[&machine].resolved && !c.machines[&machine].ever_resolved, "seed {seed}");
        assert_eq!(c.counters.replies_misdirected, 1, "seed {seed}");
    }
}
