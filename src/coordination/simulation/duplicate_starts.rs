//! Starts that could be repeated on another machine. Guards against the known failure `ran_twice` on selatferi-hq-hunt,
//! day apart: a task ran on one machine and was started on another.

use super::starts_in_flight::{report_for_orders, start_in_flight};
use super::*;
use crate::coordination::model::{Machine, PendingStart};
use crate::protocol::worker::DirectOrders;

/// The first running controller other than `n`.
pub(super) fn another_controller(world: &World, n: usize) -> usize {
    (0..3).find(|other| *other != n && world.controllers[*other].is_some()).unwrap()
}

/// Makes the leader's next grant move this machine to a controller.
pub(super) fn grant_to(world: &mut World, machine: &str, to: usize) {
    let until = world.now + Micros::from_secs(5);
    loop {
        let leader = world.leader().unwrap();
        let c = world.controllers[leader].as_mut().unwrap();
        let moves = [(machine.to_owned(), format!("n-{to}"))].into();
        if c.grant(moves, Vec::new(), BTreeSet::new(), None) {
            return world.deliver_event(leader, Event::Tick);
        }
        assert!(world.now < until, "no grant could be made");
        world.run(world.now + Micros::from_millis(1));
    }
}

/// Guards against `ran_twice`: a machine's new owner had fenced it when a direct call with a start arrived, so that the
/// call was rejected, but the answer to a report had already delivered the same start. The start was taken for never
/// sent and was made on another machine, before the new owner had reported that the task was there.
#[test]
fn a_rejected_direct_start_already_sent_in_an_answer_is_not_repeated_elsewhere() {
    let mut present = 0;
    for seed in 500..520 {
        let (mut world, n, name, id) = start_in_flight(seed);
        world.fault_profile.delayed_orders = 0.0;
        world.task_run_time = 20 * S..30 * S;
        let start_orders = report_for_orders(&mut world, n, &name, None);
        let c = world.controllers[n].as_ref().unwrap();
        let (token, session) = (c.machines[&name].token, c.machines[&name].session);
        let sent = world.now;
        world.execute_orders(&name, DirectOrders { token, session, orders: start_orders }, sent);
        let to = another_controller(&world, n);
        // The call is still in flight when the new owner's token reaches the machine.
        grant_to(&mut world, &name, to);
        let until = world.now + Micros::from_secs(5);
        while world.workers[&name].token == token && world.now < until {
            world.run(world.now + Micros::from_millis(1));
        }
        let report = world.workers[&name].build_report(&name, world.now);
        present += u32::from(world.workers[&name].tasks.contains_key(&id));
        let rejected = DirectReply::Rejected(Box::new(report));
        world.deliver_event(n, Event::WorkerReply { machine: name.clone(), token, reply: rejected });
        // The rule checks examine each start.
        world.run(world.now + Micros::from_secs(15));
    }
    assert!(present >= 15, "only {present} of 20 tasks were present");
}

/// Runs until a controller has planned a start that is not sent yet. Returns the controller, the machine and the task.
pub(super) fn wait_for_planned_start(world: &mut World) -> (usize, String, TaskId) {
    let until = world.now + Micros::from_secs(20);
    while world.now < until {
        world.run(world.now + Micros::from_millis(1));
        let planned = |m: &Machine| {
            let mut tasks = m.tasks.iter();
            tasks.find(|(_, t)| matches!(t.pending, Some(PendingStart::Planned(_)))).map(|(id, _)| id.clone())
        };
        let found = world.controllers.iter().enumerate().find_map(|(n, c)| {
            let c = c.as_ref()?;
            c.machines
                .iter()
                .filter(|(_, m)| c.owns(m))
                .find_map(|(name, m)| Some((n, name.clone(), planned(m)?)))
        });
        if let Some(found) = found {
            return found;
        }
    }
    panic!("no start was planned");
}

/// Guards against `ran_twice`: a status of another owner that shows a task, received after the task's start was planned
/// here and before it is sent, cancels the planned start.
#[test]
fn a_planned_start_is_cancelled_when_its_task_is_seen_elsewhere() {
    for seed in 520..524 {
        let mut world = super::fault_combinations::saturated_cluster(seed, 12);
        let (n, name, id) = wait_for_planned_start(&mut world);
        let owned_machine = |c: &Controller| {
            let known = c.machines.iter().find(|(_, m)| c.owns(m) && m.resolved);
            known.map(|(machine, m)| (machine.clone(), c.machine_status(m)))
        };
        let mut others =
            (0..3).filter(|other| *other != n).filter_map(|other| world.controllers[other].as_ref());
        let (holder, (machine, mut machine_status)) =
            others.find_map(|c| Some((c, owned_machine(c)?))).unwrap();
        machine_status.tasks.push(crate::protocol::peer::TaskStatus {
            task: id.clone(),
            attempt: 1,
            state: TaskState::Running,
            cause: None,
        });
        let from = holder.own_name().to_owned();
        let status = holder.peers.values().find_map(|p| p.status.clone()).unwrap();
        let status = crate::protocol::peer::Status {
            registration: holder.incarnation().1,
            sequence: holder.status_sequence + 1,
            machines: vec![machine_status],
            ended_jobs: Vec::new(),
            tallies: Vec::new(),
            stop_requests: Vec::new(),
            ..status
        };
        let c = world.controllers[n].as_ref().unwrap();
        assert_eq!(
            c.machines[&machine].row.token, status.machines[0].token,
            "seed {seed}: the machine was moved meanwhile"
        );
        world.deliver_event(n, Event::Peer(from, PeerMessage::Status(status)));
        let c = world.controllers[n].as_ref().unwrap();
        let still = c.machines[&name].tasks.get(&id);
        assert!(still.is_none(), "seed {seed}: {id:?} stays planned on {name}, and may run on {machine}");
        assert_eq!(c.jobs[&id.job].placements[&id.index], [machine], "seed {seed}");
        assert_eq!(
            c.counters.starts_held_back, 0,
            "seed {seed}: the start was not cancelled before it was due to be sent"
        );
    }
}

/// The longest time from a call with a start whose outcome is unknown until the machine has a new token: the call's
/// timeout of 1.5 s, a status, a leader round with its grant, and the delivery of the new token to the machine.
const MAX_TOKEN_RENEWAL_TIME: Micros = Micros::from_secs(5);

/// Guards the bound of the known failure of seed 347000 (delayed_orders and not_receiving): a start in flight at a
/// confirmed withdrawal reaches its machine later. A worker may accept it at the latest until the new token arrives.
#[test]
fn a_new_token_bounds_how_late_a_withdrawn_start_may_arrive() {
    let mut latest = Micros::ZERO;
    for seed in 540..548 {
        let (mut world, n, name, id) = start_in_flight(seed);
        // By then the call has reached the machine and is delayed there.
        world.run(world.now + Micros::from_millis(10));
        world.fault_profile.delayed_orders = 0.0;
        let machine = &world.controllers[n].as_ref().unwrap().machines[&name];
        let (token, session, attempt) = (machine.row.token, machine.session, machine.tasks[&id].attempt);
        let sent = world.now;
        world.jobs.get_mut(&id.job).unwrap().wants_withdrawal = true;
        while world.workers[&name].token == token {
            world.run(world.now + Micros::from_millis(10));
            let after = world.now.since(sent);
            assert!(after <= MAX_TOKEN_RENEWAL_TIME, "seed {seed}: no new token after {after:?}");
        }
        latest = latest.max(world.now.since(sent));
        // The call arrives now at the earliest, which is too late.
        let start = vec![Order::Start { task: id.text(), attempt }];
        let reply = world.execute_orders(&name, DirectOrders { token, session, orders: start }, sent);
        assert!(matches!(reply, DirectReply::Rejected(_)), "seed {seed}: {reply:?}");
        world.run(world.now + Micros::from_secs(10));
        assert!(world.jobs[&id.job].known_final.is_some(), "seed {seed}: the withdrawal was not confirmed");
    }
    eprintln!("a new token after {latest:?} at most");
}
