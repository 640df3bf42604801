//! Withdrawals that were confirmed, and tasks that start or go on all the same.

use super::*;

/// A job whose withdrawal was confirmed this long ago, and the machine that a task of it is on; its start was ordered
/// so long after that.
fn withdrawn(ago: Micros, ordered: Micros) -> (World, String, TaskId) {
    let mut world = World::new(4, FaultProfile::default());
    let name = world.add_machine("c16", "east", false);
    let job = JobSpec { shape: Shape::Array, tasks: 1, cpus: 1.0, gpus: 0.0, ..world.random_job(1) };
    let job = JobSpec { zone: None, spot: true, team: "green".into(), ..job };
    let (id, at) = (TaskId::new(&job.id, 0), Micros::from_secs(100));
    world.now = at + ago;
    let wish = Wish { spec: Some(job), told_accepted: true, wants_withdrawal: true, ..Default::default() };
    world.jobs.insert(id.job.clone(), wish);
    let asking = Asking { job: id.job.clone(), withdraw: true, sent: at };
    let told = Answer::Job {
        created: false,
        id: id.job.clone(),
        state: JobState::Final(FinalState::Withdrawn),
        done: 0,
        running: 0,
    };
    let now = std::mem::replace(&mut world.now, at + Micros(2 * MS));
    world.user_answered(asking, told, 0, at);
    world.now = now;
    let running = Running {
        attempt: 1,
        state: TaskState::Running,
        cause: None,
        until: Micros::MAX,
        ordered: at + ordered,
        arrived: at + ordered,
    };
    let w = world.workers.get_mut(&name).unwrap();
    (w.renewed, w.hung_until) = (now, now);
    w.tasks.insert(id.clone(), running);
    (world, name, id)
}

/// Guards the judge of starts after a withdrawal: the command left a controller when the withdrawal was confirmed.
#[test]
#[should_panic(expected = "ran_cancelled: TaskId")]
fn a_start_ordered_after_a_confirmed_withdrawal_is_a_fault() {
    let (mut world, name, id) = withdrawn(Micros::from_secs(1), Micros(1));
    world.has_begun(&name, &id);
}

/// A command that was under way when the withdrawal was confirmed may still start its task.
#[test]
fn a_start_in_flight_at_a_confirmed_withdrawal_is_none() {
    let (mut world, name, id) = withdrawn(Micros::from_secs(1), Micros::ZERO);
    world.has_begun(&name, &id);
    world.check();
    assert_eq!(world.met.in_flight, 1);
}

/// Guards the judge of withdrawn tasks: one that is there when its machine, which hung, goes on within its lease.
#[test]
#[should_panic(expected = "still runs")]
fn a_withdrawn_task_that_goes_on_with_its_hung_machine_is_a_fault() {
    let (mut world, ..) = withdrawn(Micros::from_secs(30), Micros::ZERO);
    world.check();
}

/// A start that was under way when the withdrawal was confirmed reached its machine later.
fn arrived_late(ago: Micros) -> World {
    let (mut world, name, id) = withdrawn(ago, Micros::ZERO);
    let task = world.workers.get_mut(&name).unwrap().tasks.get_mut(&id).unwrap();
    task.arrived = task.ordered + Micros::from_secs(2);
    world
}

/// A machine that took a held-up start and hears nothing more keeps its task for a lease from its last answered report,
/// which may be later than the confirmation: pair 347000 (held_up and deaf), with a start ordered 28 ms before the
/// confirmation and carried out after a report that was sent 0.84 s after it; the task ended 14.84 s after it, of a
/// `cancel_s` of 34 s.
#[test]
fn a_start_that_arrives_after_the_confirmation_has_the_time_of_the_whole_sum() {
    arrived_late(Micros::from_secs(20)).check();
}

/// Guards the judge of withdrawn tasks: not for longer, whenever the start arrived.
#[test]
#[should_panic(expected = "still runs")]
fn a_start_that_arrives_after_the_confirmation_and_goes_on_is_a_fault() {
    arrived_late(Micros::from_secs(30)).check();
}
