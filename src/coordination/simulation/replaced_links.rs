//! What a link between controllers still brings when another has taken its place. Which of two links is the newer one is told by
//! when their greetings are read, so the older one's messages may come after newer ones. Guards against the known failure
//! `ran_twice`: a task ran on one machine and was started on another.

use super::former_lives::passing_on;
use super::meetings_limits::{of_team, there, until};
use super::start_orders::{begun, cut_off, forgotten, whole_status, with_heir};
use super::*;

/// What one controller has been told, and by whom.
type Told = Vec<(String, PeerMessage)>;

/// Runs until something holds, and returns all that the others send to a controller meanwhile.
fn record(world: &mut World, to: usize, holds: impl Fn(&World) -> bool) -> Told {
    let mut told = Told::new();
    let end = world.now + Micros::from_secs(20);
    while !holds(world) {
        assert!(world.now < end, "it does not come to that");
        let last = world.sequence;
        // Messages are on their way for longer than a step.
        world.run(world.now + Micros::from_millis(1));
        let mut new: Vec<&Scheduled> = world.queue.iter().filter(|scheduled| scheduled.1 > last).collect();
        new.sort_by_key(|scheduled| scheduled.1);
        for scheduled in new {
            let Happening::ToController { node, event: Event::Peer(by, message), .. } = &scheduled.2 else {
                continue;
            };
            if *node == to {
                told.push((by.clone(), message.clone()));
            }
        }
    }
    told
}

/// All of it comes once more, in its order.
fn comes_again(world: &mut World, to: usize, told: &Told) {
    for (by, message) in told {
        world.tell(to, Event::Peer(by.clone(), message.clone()));
    }
}

/// How many of the messages are of a kind.
fn count(told: &Told, kind: impl Fn(&PeerMessage) -> bool) -> usize {
    told.iter().filter(|(_, message)| kind(message)).count()
}

/// Guards against `ran_twice`: all that a controller has been told since it joined comes once more, after newer messages and
/// while another's tasks run; then that one ends, nobody hears the machines with its tasks, and the controller takes over.
#[test]
fn what_a_replaced_link_brings_late_takes_no_running_task_away() {
    let (mut statuses, mut testimonies, mut confirmations) = (0, 0, 0);
    for seed in 770..776 {
        let (mut world, owner, heir) = with_heir(seed);
        // Tasks of the heir's own job are there when it is back, so that it asks for testimony.
        let own = passing_on(heir, owner).next().unwrap();
        let job = of_team(&mut world, own, "blue", 30);
        assert!(until(&mut world, Micros::from_secs(12), |w| there(w, &job) == 30), "seed {seed}");
        world.crash_for(heir, Micros::from_millis(300));
        let back = |w: &World| {
            let c = w.controllers[heir].as_ref();
            c.is_some_and(|c| c.is_view_member && !c.takeover_in_progress && c.view.members.len() == 3)
        };
        let mut told = record(&mut world, heir, back);
        let later = world.now + Micros::from_secs(2);
        told.extend(record(&mut world, heir, |w| w.now >= later));
        // It asks for all that it may have missed.
        let whole = whole_status(&mut world, owner, heir);
        told.push((world.settings[owner].member.clone(), PeerMessage::Status(whole)));
        let begun = begun(&mut world, owner, heir);
        assert_eq!(forgotten(&world, heir, &begun), 0, "seed {seed}: it was not told of them");
        comes_again(&mut world, heir, &told);
        let taken_for_gone = forgotten(&world, heir, &begun);
        statuses += count(&told, |m| matches!(m, PeerMessage::Status(_)));
        testimonies += count(&told, |m| matches!(m, PeerMessage::WitnessAnswer { .. }));
        confirmations += count(&told, |m| matches!(m, PeerMessage::StatusConfirmation { .. }));
        cut_off(&mut world, owner, &begun);
        world.crash_for(owner, Micros::from_secs(60));
        // And again while it takes over. The judge of the rules sees each start.
        world.run(world.now + Micros::from_millis(500));
        comes_again(&mut world, heir, &told);
        world.run(world.now + Micros::from_secs(15));
        assert_eq!(taken_for_gone, 0, "seed {seed}: tasks that run were taken for gone by an older word");
    }
    eprintln!("{statuses} statuses, {testimonies} testimonies, {confirmations} confirmations came again");
    assert!(statuses > 60 && testimonies > 0 && confirmations > 10);
}
