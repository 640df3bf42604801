//! Messages that a link between controllers delivers after another link has replaced it. The newer of two links is
//! determined by when their greetings are read, so messages of the older one may arrive after newer ones. Guards
//! against the known failure `ran_twice`: a task ran on one machine and was started on another.

use super::former_incarnations::job_numbers_passing;
use super::quota_fault_combinations::{present_task_count, run_until, submit_array};
use super::status_message_orderings::{
    cluster_with_successor, cut_off_machines, request_full_status, start_tasks, tasks_taken_for_gone,
};
use super::*;

/// Messages that one controller has received, with their senders.
type Messages = Vec<(String, PeerMessage)>;

/// Runs until a condition holds, and returns all messages that the others send to a controller meanwhile.
fn record_messages(world: &mut World, to: usize, holds: impl Fn(&World) -> bool) -> Messages {
    let mut messages = Messages::new();
    let end = world.now + Micros::from_secs(20);
    while !holds(world) {
        assert!(world.now < end, "the condition does not hold");
        let last_sequence = world.sequence;
        // Messages are in flight for longer than a step.
        world.run(world.now + Micros::from_millis(1));
        let mut new: Vec<&ScheduledEvent> =
            world.queue.iter().filter(|scheduled| scheduled.1 > last_sequence).collect();
        new.sort_by_key(|scheduled| scheduled.1);
        for scheduled in new {
            let SimEvent::ToController { node, event: Event::Peer(by, message), .. } = &scheduled.2 else {
                continue;
            };
            if *node == to {
                messages.push((by.clone(), message.clone()));
            }
        }
    }
    messages
}

/// Delivers all messages once more, in their order.
fn redeliver(world: &mut World, to: usize, messages: &Messages) {
    for (by, message) in messages {
        world.deliver_event(to, Event::Peer(by.clone(), message.clone()));
    }
}

/// The number of messages of a kind.
fn count_messages(messages: &Messages, kind: impl Fn(&PeerMessage) -> bool) -> usize {
    messages.iter().filter(|(_, message)| kind(message)).count()
}

/// Guards against `ran_twice`: all messages that a controller has received since it joined arrive once more, after
/// newer messages and while tasks of another controller run. Then that other controller crashes, the machines with its
/// tasks are cut off, and the first controller takes over.
#[test]
fn late_messages_of_a_replaced_link_remove_no_running_task() {
    let (mut statuses, mut testimonies, mut confirmations) = (0, 0, 0);
    for seed in 770..776 {
        let (mut world, owner, successor) = cluster_with_successor(seed);
        // Tasks of the successor's own job run when it is back, so that it asks for testimony.
        let number = job_numbers_passing(successor, owner).next().unwrap();
        let job = submit_array(&mut world, number, "blue", 30);
        assert!(
            run_until(&mut world, Micros::from_secs(12), |w| present_task_count(w, &job) == 30),
            "seed {seed}"
        );
        world.crash_for(successor, Micros::from_millis(300));
        let has_rejoined = |w: &World| {
            let c = w.controllers[successor].as_ref();
            c.is_some_and(|c| c.is_view_member && !c.takeover_in_progress && c.view.members.len() == 3)
        };
        let mut messages = record_messages(&mut world, successor, has_rejoined);
        let later = world.now + Micros::from_secs(2);
        messages.extend(record_messages(&mut world, successor, |w| w.now >= later));
        // The successor requests everything that it may have missed.
        let full_status = request_full_status(&mut world, owner, successor);
        messages.push((world.settings[owner].member.clone(), PeerMessage::Status(full_status)));
        let started = start_tasks(&mut world, owner, successor);
        assert_eq!(
            tasks_taken_for_gone(&world, successor, &started),
            0,
            "seed {seed}: the successor was not informed of them"
        );
        redeliver(&mut world, successor, &messages);
        let taken_for_gone = tasks_taken_for_gone(&world, successor, &started);
        statuses += count_messages(&messages, |m| matches!(m, PeerMessage::Status(_)));
        testimonies += count_messages(&messages, |m| matches!(m, PeerMessage::WitnessAnswer { .. }));
        confirmations += count_messages(&messages, |m| matches!(m, PeerMessage::StatusConfirmation { .. }));
        cut_off_machines(&mut world, owner, &started);
        world.crash_for(owner, Micros::from_secs(60));
        // The messages arrive again while the successor takes over. The rule checks examine each start.
        world.run(world.now + Micros::from_millis(500));
        redeliver(&mut world, successor, &messages);
        world.run(world.now + Micros::from_secs(15));
        assert_eq!(
            taken_for_gone, 0,
            "seed {seed}: running tasks were taken for gone because of an older message"
        );
    }
    eprintln!(
        "{statuses} statuses, {testimonies} testimonies, {confirmations} confirmations were redelivered"
    );
    assert!(statuses > 60 && testimonies > 0 && confirmations > 10);
}
