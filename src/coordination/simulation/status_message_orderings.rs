//! Orders in which messages about a start may reach the controllers, each forced by a test. Guards against the known
//! failure `ran_twice`: a task ran on one machine and was started on another.

use super::duplicate_starts::grant_to;
use super::former_incarnations::job_numbers_passing;
use super::quota_fault_combinations::{cluster_with_spare_room, present_task_count, run_until, submit_array};
use super::*;
use crate::protocol::peer::Status;

/// The full status that a controller sends now to one that has missed messages and requests a resync.
pub(super) fn request_full_status(world: &mut World, from: usize, to: usize) -> Status {
    let (clock, requester) = (world.local_time(from), world.settings[to].member.clone());
    let controller = world.controllers[from].as_mut().unwrap();
    let effects = controller.handle(clock, Event::Peer(requester.clone(), PeerMessage::ResyncRequest));
    let mut full_status = None;
    let mut others = Vec::new();
    for effect in effects {
        match effect {
            Effect::Send(Some(recipient), PeerMessage::Status(status))
                if recipient == requester && status.full =>
            {
                full_status = Some(status);
            }
            other => others.push(other),
        }
    }
    world.apply_effects(from, others);
    full_status.expect("no full status was sent")
}

/// Delivers a status now, however long it was in flight.
pub(super) fn deliver_status(world: &mut World, from: usize, to: usize, status: &Status) {
    let event = Event::Peer(world.settings[from].member.clone(), PeerMessage::Status(status.clone()));
    world.deliver_event(to, event);
}

/// The tasks of a job that are present, and their machines.
pub(super) fn present_tasks(world: &World, job: &str) -> Vec<(TaskId, String)> {
    let all = world.workers.iter().flat_map(|(name, w)| w.tasks.iter().map(move |(id, t)| (id, t, name)));
    let present = all.filter(|(id, t, _)| id.job == job && t.counts_as_running());
    present.map(|(id, _, name)| (id.clone(), name.clone())).collect()
}

/// The number of these tasks that a controller takes for gone though they are on their machines.
pub(super) fn tasks_taken_for_gone(world: &World, by: usize, started: &[(TaskId, String)]) -> usize {
    let c = world.controllers[by].as_ref().unwrap();
    let is_present = |id: &TaskId, name: &String| {
        world.workers[name].tasks.get(id).is_some_and(WorkerTask::counts_as_running)
    };
    let is_known = |id: &TaskId, name: &String| c.machines.get(name).is_none_or(|m| m.tasks.contains_key(id));
    started.iter().filter(|(id, name)| is_present(id, name) && !is_known(id, name)).count()
}

/// Cuts off the machines with these tasks for a while; they keep the tasks until their leases expire. The owner's other
/// machines report to other controllers after the owner has crashed, so that the crash is noticed.
pub(super) fn cut_off_machines(world: &mut World, owner: usize, started: &[(TaskId, String)]) {
    let c = world.controllers[owner].as_ref().unwrap();
    let others = c.machines.iter().filter(|(name, m)| c.owns(m) && started.iter().all(|(_, on)| on != *name));
    assert!(others.count() > 0, "no controller would notice the owner's crash before its lease expires");
    for (_, name) in started {
        world.workers.get_mut(name).unwrap().partitioned_until = world.now + Micros::from_secs(30);
    }
}

/// A cluster with spare room, the owner of a job that is yet to be submitted (not the leader), and the owner's
/// successor for this job.
pub(super) fn cluster_with_successor(seed: u64) -> (World, usize, usize) {
    let world = cluster_with_spare_room(seed, &[("blue", 0.0, 0.0), ("green", 0.0, 0.0)]);
    let leader = world.leader().unwrap();
    (world, (leader + 1) % 3, (leader + 2) % 3)
}

/// Submits a job of the owner that passes to the successor, and returns its tasks once all of them run.
pub(super) fn start_tasks(world: &mut World, owner: usize, successor: usize) -> Vec<(TaskId, String)> {
    let job = submit_array(world, job_numbers_passing(owner, successor).next().unwrap(), "blue", 10);
    assert!(
        run_until(world, Micros::from_secs(12), |w| present_task_count(w, &job) == 10),
        "its tasks have not started"
    );
    present_tasks(world, &job)
}

/// Guards against `ran_twice`: a controller's full status arrives after newer ones, as over a link that was delayed
/// while another was opened, and tasks that started in between are taken for gone. When the sender crashes, its
/// successor starts them again.
#[test]
fn a_late_full_status_does_not_revert_newer_statuses() {
    for (seed, crash_after_ms) in [(700, 0), (701, 1), (702, 20), (703, 100)] {
        let (mut world, owner, successor) = cluster_with_successor(seed);
        let old = request_full_status(&mut world, owner, successor);
        let started = start_tasks(&mut world, owner, successor);
        assert_eq!(
            tasks_taken_for_gone(&world, successor, &started),
            0,
            "seed {seed}: the successor was not informed of them"
        );
        deliver_status(&mut world, owner, successor, &old);
        let taken_for_gone = tasks_taken_for_gone(&world, successor, &started);
        world.run(world.now + Micros::from_millis(crash_after_ms));
        cut_off_machines(&mut world, owner, &started);
        world.crash_for(owner, Micros::from_secs(60));
        // The rule checks examine each start.
        world.run(world.now + Micros::from_secs(15));
        assert_eq!(
            taken_for_gone, 0,
            "seed {seed}: running tasks were taken for gone because of an older status"
        );
    }
}

/// The statuses in flight from one controller to another that list tasks.
fn statuses_in_flight(world: &World, from: usize, to: usize) -> Vec<Status> {
    let status = |s: &ScheduledEvent| match &s.2 {
        SimEvent::ToController { node, event: Event::Peer(by, PeerMessage::Status(status)), .. }
            if *node == to && *by == world.settings[from].member =>
        {
            Some(status.clone())
        }
        _ => None,
    };
    let statuses = world.queue.iter().filter_map(status);
    statuses.filter(|s| s.machines.iter().any(|m| !m.tasks.is_empty())).collect()
}

/// Guards against `ran_twice`: an incremental status arrives a second time, after newer ones, and tasks that started on
/// the machines that it lists are taken for gone. Once the sender has ended, the apparent gap in its messages no longer
/// holds back its successor.
#[test]
fn a_late_incremental_status_does_not_revert_newer_statuses() {
    for seed in 730..733 {
        let (mut world, owner, successor) = cluster_with_successor(seed);
        let first =
            submit_array(&mut world, job_numbers_passing(owner, successor).nth(3).unwrap(), "blue", 3);
        let (mut statuses, end) = (Vec::new(), world.now + Micros::from_secs(8));
        while present_task_count(&world, &first) < 3 && world.now < end {
            world.run(world.now + Micros::from_millis(1));
            statuses.extend(statuses_in_flight(&world, owner, successor));
        }
        let old = statuses.pop().expect("no status listed the first tasks");
        assert!(!old.full, "seed {seed}");
        let started = start_tasks(&mut world, owner, successor);
        assert_eq!(
            tasks_taken_for_gone(&world, successor, &started),
            0,
            "seed {seed}: the successor was not informed of them"
        );
        deliver_status(&mut world, owner, successor, &old);
        let taken_for_gone = tasks_taken_for_gone(&world, successor, &started);
        cut_off_machines(&mut world, owner, &started);
        world.crash_for(owner, Micros::from_secs(60));
        // The rule checks examine each start.
        world.run(world.now + Micros::from_secs(15));
        assert_eq!(
            taken_for_gone, 0,
            "seed {seed}: running tasks were taken for gone because of an older status"
        );
    }
}

/// A machine of the leader on which no task runs.
pub(super) fn idle_machine(world: &World) -> String {
    let c = world.controllers[world.leader().unwrap()].as_ref().unwrap();
    let mut held = c.machines.iter().filter(|(_, m)| c.owns(m) && m.resolved && m.tasks.is_empty());
    held.next_back().expect("the leader has no idle machine").0.clone()
}

/// Submits a job of the owner that passes to the successor and fills all machines of the owner. Returns its tasks on
/// this machine once they run.
pub(super) fn fill_machines(
    world: &mut World,
    owner: usize,
    successor: usize,
    machine: &str,
) -> Vec<(TaskId, String)> {
    let owns = |w: &World| {
        let c = w.controllers[owner].as_ref().unwrap();
        c.owns(&c.machines[machine]) && c.machines[machine].resolved
    };
    assert!(run_until(world, Micros::from_secs(2), owns), "the owner does not hold {machine}");
    let c = world.controllers[owner].as_ref().unwrap();
    let tasks = 16 * c.machines.values().filter(|m| c.owns(m)).count() as u32;
    let number = job_numbers_passing(owner, successor)
        .find(|n| !world.jobs.contains_key(&format!("j-{n:06}")))
        .unwrap();
    let job = submit_array(world, number, "blue", tasks);
    let started =
        |w: &World| present_tasks(w, &job).into_iter().filter(|(_, on)| on == machine).collect::<Vec<_>>();
    assert!(
        run_until(world, Micros::from_secs(8), |w| started(w).len() == 16),
        "only {} started",
        started(world).len()
    );
    started(world)
}

/// Crashes the owner and deletes its registration. The successor, which has read no changes, reads them all once there
/// is a new view. The rule checks examine each start.
pub(super) fn crash_owner_unread(world: &mut World, owner: usize, successor: usize) {
    let key = records::registration_key(&world.settings[owner].member);
    world.crash_for(owner, Micros::from_secs(60));
    world.store.commit(Transaction { conditions: Vec::new(), writes: vec![Write::delete(key)] });
    let has_new_view =
        |w: &World| w.controllers[w.leader().unwrap()].as_ref().unwrap().view.members.len() == 2;
    assert!(run_until(world, Micros::from_secs(4), has_new_view), "there is no new view");
    world.timed_faults.retain(|(spell, ..)| *spell != TimedFault::WatchHangs(successor));
    world.run(world.now + Micros::from_secs(15));
}

/// Whether a controller has read that a machine is granted to another controller.
pub(super) fn has_read_reassignment(world: &World, by: usize, machine: &str) -> bool {
    let c = world.controllers[by].as_ref().unwrap();
    !c.owns(&c.machines[machine])
}

/// Drops the statuses from one controller to another until a condition holds; the first status after that reveals the
/// gap. Returns the number of dropped statuses.
fn drop_statuses(
    world: &mut World,
    from: usize,
    to: usize,
    dropped_enough: impl Fn(&World) -> bool,
) -> usize {
    let member = world.settings[from].member.clone();
    let is_status = |s: &ScheduledEvent| {
        matches!(&s.2, SimEvent::ToController { node, event: Event::Peer(by, PeerMessage::Status(_)), .. }
            if *node == to && *by == member)
    };
    let (mut count, end) = (0, world.now + Micros::from_secs(3));
    while count == 0 || !dropped_enough(world) {
        assert!(world.now < end, "{count} statuses dropped, but the condition does not hold");
        let (dropped, kept): (Vec<_>, Vec<_>) =
            std::mem::take(&mut world.queue).into_iter().partition(is_status);
        world.queue = kept.into();
        count += dropped.len();
        world.run(world.now + Micros::from_millis(1));
    }
    count
}

/// Guards against `ran_twice`: the successor confirms announced starts on a machine whose grant it has not read yet,
/// and stores the machine's status. The machine is moved, and the sender's next full status deletes the stored status
/// before the grant is read.
#[test]
fn a_status_stored_for_an_unread_grant_survives_a_full_status() {
    for seed in 720..723 {
        let (mut world, owner, successor) = cluster_with_successor(seed);
        world.begin_fault(TimedFault::WatchHangs(successor), Micros::MAX);
        let machine = idle_machine(&world);
        grant_to(&mut world, &machine, owner);
        let started = fill_machines(&mut world, owner, successor, &machine);
        cut_off_machines(&mut world, owner, &started);
        grant_to(&mut world, &machine, successor);
        let dropped =
            drop_statuses(&mut world, owner, successor, |w| has_read_reassignment(w, owner, &machine));
        let has_full_status = |w: &World| {
            let last_status =
                &w.controllers[successor].as_ref().unwrap().peers[&w.settings[owner].member].status;
            last_status.as_ref().is_some_and(|status| status.full)
        };
        assert!(
            run_until(&mut world, Micros::from_secs(2), has_full_status),
            "seed {seed}: {dropped} statuses dropped, but the successor requested no resync"
        );
        crash_owner_unread(&mut world, owner, successor);
    }
}
