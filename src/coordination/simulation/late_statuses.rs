//! Full statuses that reach a controller late, or reach only one of the controllers.
//!
//! Messages between two controllers keep their order on one connection. A connection that was given up can deliver what
//! it still buffered after the first messages of the next one.

use super::fault_combinations::saturated_cluster;
use super::status_message_orderings::request_full_status;
use super::takeovers::array;
use super::*;
use crate::coordination::model::Machine;
use crate::protocol::peer::Status;

/// A controller that holds machines, and another controller.
fn holder_and_receiver(world: &World) -> (usize, usize) {
    let holds_machines = |n: &usize| {
        let controller = world.controllers[*n].as_ref();
        controller.is_some_and(|c| c.machines.values().filter(|m| c.owns(m)).count() >= 3)
    };
    let holder = (0..3).find(holds_machines).expect("no controller holds machines");
    (holder, (holder + 1) % 3)
}

/// Tasks that run on the holder's machines as the receiver knows, and that an earlier status does not list.
fn tasks_started_since(
    world: &World,
    holder: usize,
    receiver: usize,
    earlier: &Status,
) -> Vec<(String, TaskId)> {
    let holder = world.controllers[holder].as_ref().unwrap();
    let receiver = world.controllers[receiver].as_ref().unwrap();
    let mut started = Vec::new();
    for machine_status in &earlier.machines {
        let is_running = |c: &Controller, id: &TaskId| {
            let runs_on = |m: &Machine| m.tasks.get(id).is_some_and(|t| t.state == TaskState::Running);
            c.machines
                .get(&machine_status.machine)
                .is_some_and(|m| m.row.token == machine_status.token && runs_on(m))
        };
        let Some(machine) = receiver.machines.get(&machine_status.machine) else { continue };
        let new = machine.tasks.keys().filter(|id| !machine_status.tasks.iter().any(|t| t.task == **id));
        started.extend(
            new.filter(|id| is_running(holder, id) && is_running(receiver, id))
                .map(|id| (machine_status.machine.clone(), id.clone())),
        );
    }
    started
}

/// Guards against `ran_twice`: a full status that was delivered after newer ones made its receiver conclude that tasks
/// started since are not on their machines.
#[test]
fn a_late_full_status_removes_no_running_task() {
    let mut checked = 0;
    for (seed, delay_ms) in (560..568).zip([500, 1_000, 2_000, 4_000].into_iter().cycle()) {
        let mut world = saturated_cluster(seed, 12);
        world.task_run_time = 3 * S..9 * S;
        let (holder, receiver) = holder_and_receiver(&world);
        let earlier = request_full_status(&mut world, holder, receiver);
        world.run(world.now + Micros::from_millis(delay_ms));
        let started = tasks_started_since(&world, holder, receiver, &earlier);
        let from = world.settings[holder].member.clone();
        world.deliver_event(receiver, Event::Peer(from, PeerMessage::Status(earlier)));
        let controller = world.controllers[receiver].as_ref().unwrap();
        for (machine, id) in &started {
            let kept = controller.machines[machine].tasks.contains_key(id);
            assert!(
                kept,
                "seed {seed}: {id:?} runs on {machine}, and was taken for gone after {delay_ms} ms"
            );
        }
        checked += started.len();
    }
    assert!(checked > 20, "only {checked} tasks had started meanwhile");
}

/// Whether a controller has applied the status with this number, which requested its confirmation.
fn has_confirmed(world: &World, by: usize, of: usize, sequence: u64) -> bool {
    let confirming = world.controllers[by].as_ref().unwrap();
    let peer = confirming.peers.get(&world.settings[of].member);
    let last_status = peer.and_then(|p| p.status.as_ref());
    last_status.is_some_and(|status| status.sequence == sequence && status.needs_confirmation)
}

/// The recorder answers the requester's resync request with a full status, which the requester applies; the other
/// controller has confirmed the status before. Returns the number of ended jobs that the recorder knows and the other
/// controller does not.
fn send_full_status_to_one(world: &mut World, recorder: usize, requester: usize, other: usize) -> usize {
    let status = request_full_status(world, recorder, requester);
    let from = world.settings[recorder].member.clone();
    for by in [requester, other] {
        let confirming_registration = world.controllers[by].as_ref().unwrap().incarnation().1;
        let confirmation = PeerMessage::StatusConfirmation {
            registration: confirming_registration,
            requester_registration: status.registration,
            sequence: status.sequence,
        };
        world.deliver_event(recorder, Event::Peer(world.settings[by].member.clone(), confirmation));
    }
    world.deliver_event(requester, Event::Peer(from, PeerMessage::Status(status)));
    let controller = world.controllers[recorder].as_ref().unwrap();
    let unaware = world.controllers[other].as_ref().unwrap();
    unaware.jobs.keys().filter(|id| controller.final_states.get(id).is_some()).count()
}

/// Guards against an answer that a job has ended while a controller does not know of the end: a full status sent the
/// end to one controller alone, under the number of the status before, which another controller had confirmed.
#[test]
fn an_end_sent_to_one_controller_is_not_settled_for_another() {
    let mut occurrences = 0;
    for seed in 570..582 {
        let mut world = saturated_cluster(seed, 0);
        world.task_run_time = S..3 * S;
        for n in 0..40 {
            let spec = array(&mut world, n, 1);
            world.submit(spec);
        }
        for _ in 0..6_000 {
            world.run(world.now + Micros::from_millis(1));
            for (requester, other) in [(1, 2), (2, 1)] {
                let controller = world.controllers[0].as_ref().unwrap();
                let sequence = controller.status_sequence;
                if controller.unsettled_end_count() == 0 || !has_confirmed(&world, other, 0, sequence) {
                    continue;
                }
                let unknown = send_full_status_to_one(&mut world, 0, requester, other);
                let unsettled = world.controllers[0].as_ref().unwrap().unsettled_end_count();
                assert!(
                    unknown <= unsettled,
                    "seed {seed}: {other} does not know of {unknown} ends, {unsettled} are unsettled"
                );
                occurrences += u32::from(unknown > 0);
            }
        }
    }
    assert!(occurrences > 0, "no full status was requested while an end was new");
}
