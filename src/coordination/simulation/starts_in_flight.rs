//! Combinations of a start in flight to a machine with messages that the machine's owner receives about it
//! (`docs/meetings.md`). Each test asserts that its combination occurred.

use super::fault_combinations::saturated_cluster;
use super::*;
use crate::coordination::Machine;

/// Guards against a start that is carried out twice. A direct order was delayed, the answer to a report delivered its
/// start meanwhile, and the task ended and was forgotten, so that the order started it again when it arrived.
#[test]
fn a_delayed_direct_start_does_not_restart_an_ended_task() {
    let mut late = 0;
    for seed in 370..378 {
        let mut world = saturated_cluster(seed, 12);
        world.fault_profile.delayed_orders = 0.4;
        world.task_run_time = 50 * MS..S;
        world.run(world.now + Micros::from_secs(60));
        late += world.coverage.late_orders;
        assert_eq!(
            world.coverage.repeated_starts, 0,
            "seed {seed}: tasks were started again in the same attempt"
        );
        world.expect_all_jobs_to_end(400, &format!("seed {seed}"));
    }
    eprintln!("{late} late orders");
    assert!(late > 100, "only {late} orders were carried out late");
}

/// A controller, one of its machines, and a task whose start is in flight to the machine in a direct call.
pub(super) fn start_in_flight(seed: u64) -> (World, usize, String, TaskId) {
    let mut world = saturated_cluster(seed, 12);
    world.fault_profile.delayed_orders = 1.0;
    let until = world.now + Micros::from_secs(20);
    while world.now < until {
        world.run(world.now + Micros::from_millis(5));
        let is_present = |name: &String, id: &TaskId| world.workers[name].tasks.contains_key(id);
        let found = world.controllers.iter().enumerate().find_map(|(n, c)| {
            let undelivered_start = |m: &Machine| {
                let mut starts = m.starts_in_call.iter().filter(|_| m.call_in_flight);
                starts.find(|id| !is_present(&m.row.machine, id)).cloned()
            };
            c.as_ref()?.machines.iter().find_map(|(name, m)| Some((n, name.clone(), undelivered_start(m)?)))
        });
        if let Some((n, name, id)) = found {
            return (world, n, name, id);
        }
    }
    panic!("seed {seed}: no start was sent directly");
}

/// Delivers the machine's next report, with this task added to it, and returns the orders that answer it.
pub(super) fn report_for_orders(
    world: &mut World,
    n: usize,
    name: &str,
    added_task: Option<ReportedTask>,
) -> Vec<Order> {
    let (now, clock) = (world.now, world.local_time(n));
    let w = world.workers.get_mut(name).unwrap();
    w.tally += 1;
    let mut report = w.build_report(name, now);
    report.tasks.extend(added_task);
    let effects = world.controllers[n].as_mut().unwrap().handle(clock, Event::Report(900_000, report));
    let answers = effects.into_iter().find_map(|e| match e {
        Effect::Answer(900_000, Answer::Orders(answer)) => Some(answer.orders),
        _ => None,
    });
    answers.expect("the report was not answered with orders")
}

/// Guards against a start that arrives after its task has run, failed and been forgotten. The answer to a report had
/// delivered the start, and the direct order that was still in flight to the machine started the task again.
#[test]
fn a_task_is_not_forgotten_while_its_start_is_in_flight() {
    for seed in 390..394 {
        let (mut world, n, name, id) = start_in_flight(seed);
        let attempt = world.controllers[n].as_ref().unwrap().machines[&name].tasks[&id].attempt;
        let failed =
            ReportedTask { task: id.text(), attempt, state: TaskState::Ended, cause: Some(Cause::Error) };
        let forgets = |orders: Vec<Order>| {
            orders.iter().any(|o| matches!(o, Order::Forget { task, .. } if *task == id.text()))
        };
        assert!(!forgets(report_for_orders(&mut world, n, &name, Some(failed.clone()))), "seed {seed}");
        // Whether the order arrived is unknown: the task is kept until a new token rules out that the order still
        // arrives.
        let (clock, token) =
            (world.local_time(n), world.controllers[n].as_ref().unwrap().machines[&name].row.token);
        let unclear = Event::WorkerReply { machine: name.clone(), token, reply: DirectReply::Unclear };
        world.controllers[n].as_mut().unwrap().handle(clock, unclear);
        assert!(
            !forgets(report_for_orders(&mut world, n, &name, Some(failed.clone()))),
            "seed {seed}: unclear"
        );
        let until = world.now + Micros::from_secs(10);
        let row = |w: &World| w.controllers[n].as_ref().unwrap().machines[&name].row.clone();
        while row(&world).token <= token && world.now < until {
            world.run(world.now + Micros::from_millis(20));
        }
        // The new token may have come with a move to another owner.
        let owner = row(&world).owner;
        let owner = world.settings.iter().position(|s| s.member == owner).unwrap();
        assert!(
            forgets(report_for_orders(&mut world, owner, &name, Some(failed))),
            "seed {seed}: the task is never forgotten"
        );
    }
}

/// Guards against a start that is cancelled though it was sent. No connection to the machine could be made, but the
/// answer to a report had meanwhile included the start. It was cancelled as never sent, and could be made on another
/// machine while the answer was in flight.
#[test]
fn a_start_also_sent_in_an_answer_is_not_cancelled() {
    for seed in 394..398 {
        let (mut world, n, name, id) = start_in_flight(seed);
        let orders = report_for_orders(&mut world, n, &name, None);
        let is_its_start = |o: &Order| matches!(o, Order::Start { task, .. } if *task == id.text());
        assert!(orders.iter().any(is_its_start), "seed {seed}: the answer did not include the start");
        let clock = world.local_time(n);
        let c = world.controllers[n].as_mut().unwrap();
        let token = c.machines[&name].row.token;
        c.handle(clock, Event::WorkerReply { machine: name.clone(), token, reply: DirectReply::NotSent });
        c.drop_planned_starts(&name, |_| true);
        assert!(c.machines[&name].tasks.contains_key(&id), "seed {seed}: cancelled though it was sent");
        // The machine sends its next report after that answer has arrived or timed out.
        report_for_orders(&mut world, n, &name, None);
        let c = world.controllers[n].as_ref().unwrap();
        let placed = c.machines[&name].tasks.get(&id);
        assert!(
            placed.is_none_or(|t| t.started_at > clock),
            "seed {seed}: the start never arrived and is still pending"
        );
    }
}
