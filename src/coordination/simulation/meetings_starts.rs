//! Meetings of a start that is on its way to a machine with what its holder hears of that machine (`docs/meetings.md`). Each
//! asserts that it took place.

use super::meetings::full;
use super::*;
use crate::coordination::Machine;

/// Guards against a start that is carried out twice: a direct command was held up, the answer to a report brought its start
/// in the meantime, and the task that had ended was forgotten, so that the command began it again when it arrived.
#[test]
fn a_start_that_is_still_on_its_way_begins_nothing_again() {
    let mut late = 0;
    for seed in 370..378 {
        let mut world = full(seed, 12);
        world.trouble.held_up = 0.4;
        world.runs_for = 50 * MS..S;
        world.run(world.now + Micros::from_secs(60));
        late += world.met.late_orders;
        assert_eq!(world.met.begun_again, 0, "seed {seed}: tasks began again in the same attempt");
        world.all_over(400, &format!("seed {seed}"));
    }
    eprintln!("{late} late");
    assert!(late > 100, "only {late} orders were carried out late");
}

/// A controller, one of its machines, and a task whose start is on its way straight to the machine.
pub(super) fn start_in_flight(seed: u64) -> (World, usize, String, TaskId) {
    let mut world = full(seed, 12);
    world.trouble.held_up = 1.0;
    let until = world.now + Micros::from_secs(20);
    while world.now < until {
        world.run(world.now + Micros::from_millis(5));
        let there = |name: &String, id: &TaskId| world.workers[name].tasks.contains_key(id);
        let found = world.controllers.iter().enumerate().find_map(|(n, c)| {
            let on_its_way = |m: &Machine| {
                let mut starts = m.starts_in_call.iter().filter(|_| m.call_in_flight);
                starts.find(|id| !there(&m.row.machine, id)).cloned()
            };
            c.as_ref()?.machines.iter().find_map(|(name, m)| Some((n, name.clone(), on_its_way(m)?)))
        });
        if let Some((n, name, id)) = found {
            return (world, n, name, id);
        }
    }
    panic!("seed {seed}: nothing was started directly");
}

/// The machine's next report comes, with this said of a task; the orders that answer it.
pub(super) fn report_for_orders(
    world: &mut World,
    n: usize,
    name: &str,
    with: Option<ReportedTask>,
) -> Vec<Order> {
    let (now, clock) = (world.now, world.clock(n));
    let w = world.workers.get_mut(name).unwrap();
    w.tally += 1;
    let mut report = w.report(name, now);
    report.tasks.extend(with);
    let effects = world.controllers[n].as_mut().unwrap().handle(clock, Event::Report(900_000, report));
    let answers = effects.into_iter().find_map(|e| match e {
        Effect::Answer(900_000, Answer::Orders(answer)) => Some(answer.orders),
        _ => None,
    });
    answers.expect("the report was not answered with orders")
}

/// Guards against a start that arrives when its task has run, failed and been forgotten: the answer to a report had brought
/// it, and the command that was still on its way to the machine began it again.
#[test]
fn a_task_is_not_forgotten_while_its_start_is_on_its_way() {
    for seed in 390..394 {
        let (mut world, n, name, id) = start_in_flight(seed);
        let attempt = world.controllers[n].as_ref().unwrap().machines[&name].tasks[&id].attempt;
        let failed =
            ReportedTask { task: id.text(), attempt, state: TaskState::Ended, cause: Some(Cause::Error) };
        let forgets = |orders: Vec<Order>| {
            orders.iter().any(|o| matches!(o, Order::Forget { task, .. } if *task == id.text()))
        };
        assert!(!forgets(report_for_orders(&mut world, n, &name, Some(failed.clone()))), "seed {seed}");
        // Nobody knows whether it arrived: until a fresh token rules that out, the task stays.
        let (clock, token) =
            (world.clock(n), world.controllers[n].as_ref().unwrap().machines[&name].row.token);
        let unclear = Event::WorkerReply { machine: name.clone(), token, reply: DirectReply::Unclear };
        world.controllers[n].as_mut().unwrap().handle(clock, unclear);
        assert!(
            !forgets(report_for_orders(&mut world, n, &name, Some(failed.clone()))),
            "seed {seed}: unclear"
        );
        let until = world.now + Micros::from_secs(10);
        let renewed = |w: &World| w.controllers[n].as_ref().unwrap().machines[&name].row.token > token;
        while !renewed(&world) && world.now < until {
            world.run(world.now + Micros::from_millis(20));
        }
        assert!(forgets(report_for_orders(&mut world, n, &name, Some(failed))), "seed {seed}: kept for ever");
    }
}

/// Guards against a start that was sent after all: no connection to the machine came about, but the answer to a report had
/// taken the start along meanwhile. It was taken back as one that had never been sent, and could be made elsewhere while
/// the answer was on its way.
#[test]
fn a_start_that_an_answer_took_along_is_not_taken_back() {
    for seed in 394..398 {
        let (mut world, n, name, id) = start_in_flight(seed);
        let starts = report_for_orders(&mut world, n, &name, None);
        let here = |o: &Order| matches!(o, Order::Start { task, .. } if *task == id.text());
        assert!(starts.iter().any(here), "seed {seed}: the answer did not take it along");
        let clock = world.clock(n);
        let c = world.controllers[n].as_mut().unwrap();
        let token = c.machines[&name].row.token;
        c.handle(clock, Event::WorkerReply { machine: name.clone(), token, reply: DirectReply::NotSent });
        c.drop_planned_starts(&name, |_| true);
        assert!(c.machines[&name].tasks.contains_key(&id), "seed {seed}: taken back though it was sent");
        // The next report was sent when that answer had come or been given up.
        report_for_orders(&mut world, n, &name, None);
        let c = world.controllers[n].as_ref().unwrap();
        let known = c.machines[&name].tasks.get(&id);
        assert!(
            known.is_none_or(|t| t.started_at > clock),
            "seed {seed}: it never arrived, and is waited for"
        );
    }
}
