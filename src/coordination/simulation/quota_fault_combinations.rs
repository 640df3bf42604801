//! Combinations of faults: teams' limits, hand-overs and leader changes together with other faults. Each test scripts
//! its combination and asserts that it occurred (`docs/meetings.md`).

use std::cell::Cell;

use super::takeovers::array;
use super::*;
use crate::coordination::replica::rendezvous;

/// Sets the teams' limits of processors and accelerators; 0 means no limit.
pub(super) fn set_limits(world: &mut World, teams: &[(&str, f64, f64)]) {
    for s in &mut world.settings {
        let team = |(name, cpus_max, gpus_max): &(&str, f64, f64)| crate::settings::Team {
            name: (*name).to_owned(),
            cpus: 0.0,
            cpus_max: *cpus_max,
            gpus: 0.0,
            gpus_max: *gpus_max,
        };
        s.params.teams = teams.iter().map(team).collect();
    }
}

/// The processors and accelerators that each team's tasks currently take, by team name.
fn usage_by_team(world: &World) -> BTreeMap<String, (u64, u64)> {
    let teams = world.settings[0].params.teams.iter().map(|t| t.name.clone());
    teams.zip(world.running_usage()).collect()
}

pub(super) fn run_for(world: &mut World, length: Micros) {
    world.run(world.now + length);
}

/// Runs the world until the condition holds. Returns false if it does not hold within `length`.
pub(super) fn run_until(world: &mut World, length: Micros, holds: impl Fn(&World) -> bool) -> bool {
    let end = world.now + length;
    while !holds(world) {
        if world.now >= end {
            return false;
        }
        run_for(world, Micros::from_millis(20));
    }
    true
}

/// Numbers of jobs that this controller owns while all three controllers are in the view.
pub(super) fn job_numbers_of(member: usize) -> impl Iterator<Item = u32> {
    let members = ["n-0", "n-1", "n-2"];
    (200..).filter(move |n| rendezvous(&format!("j-{n:06}"), members.into_iter()) == Some(members[member]))
}

/// Submits an array job of a team at normal priority, its tasks with one processor each, and returns its id.
pub(super) fn submit_array(world: &mut World, n: u32, team: &str, tasks: u32) -> String {
    submit_array_with_priority(world, n, team, tasks, Priority::Normal)
}

fn submit_array_with_priority(
    world: &mut World,
    n: u32,
    team: &str,
    tasks: u32,
    priority: Priority,
) -> String {
    let spec = array(world, n, tasks);
    let id = spec.id.clone();
    world.submit(JobSpec { team: team.to_owned(), priority, spot: false, ..spec });
    id
}

/// The number of a job's tasks that are present on their machines: their image is fetched and they have not ended.
pub(super) fn present_task_count(world: &World, id: &str) -> usize {
    let tasks = world.workers.values().filter(|w| !w.dead).flat_map(|w| &w.tasks);
    tasks.filter(|(t, r)| t.job == id && r.counts_as_running()).count()
}

/// Ends the job's tasks with an index below this one within the next half second.
pub(super) fn end_tasks_below(world: &mut World, id: &str, below: u32) {
    let now = world.now;
    for w in world.workers.values_mut() {
        let some = w.tasks.iter_mut().filter(|(t, _)| t.job == id && t.index < below);
        some.for_each(|(_, t)| t.state_until = t.state_until.min(now));
    }
}

/// A cluster with room for more than all limits together, whose machines are kept while they are idle.
pub(super) fn cluster_with_spare_room(seed: u64, teams: &[(&str, f64, f64)]) -> World {
    let mut world = World::new(seed, FaultProfile::default());
    set_limits(&mut world, teams);
    (world.task_run_time, world.tuning.idle_return_s) = (300 * S..400 * S, 900.0);
    for _ in 0..14 {
        world.add_machine("c16", "east", false);
    }
    world.run(Micros::from_secs(18));
    world
}

/// Restarts a controller that does not lead, which makes a new view. In this view no team's limit is divided yet: all
/// running tasks are known to every controller and are within the limits.
fn replace_view(world: &mut World) {
    let no_limit_divided = |w: &World| {
        let all = w.controllers.iter().flatten();
        let undivided = |c: &Controller| {
            let ready = c.view.members.len() == 3 && c.is_view_member && !c.takeover_in_progress;
            ready && c.find_teams_with_binding_limit().is_empty() && c.quota_record.0.view != c.view_revision
        };
        all.clone().count() == 3 && all.clone().all(undivided)
    };
    for _ in 0..4 {
        let leader = world.leader().unwrap();
        world.crash_for(if leader == 1 { 2 } else { 1 }, Micros::from_millis(300));
        run_for(world, Micros::from_secs(1));
        if run_until(world, Micros::from_secs(12), no_limit_divided) {
            return;
        }
    }
    panic!("no new view in which no limit is divided: {}", world.describe_job("j-000200"));
}

thread_local! {
    /// Number of the first quota record that the store writes late, and how many quota records have reached it.
    static FIRST_DELAYED: Cell<Option<u32>> = const { Cell::new(None) };
    static RECORDS_SEEN: Cell<u32> = const { Cell::new(0) };
}

/// Carries out quota records late from the chosen one on, so late that the usage they were based on has changed.
fn delay_quota_records(t: &Transaction) -> Option<CommitFault> {
    let writes_quota =
        t.writes.iter().any(|w| matches!(w, Write::Put { key, .. } if key == records::QUOTA_KEY));
    let from = FIRST_DELAYED.get().filter(|_| writes_quota)?;
    RECORDS_SEEN.set(RECORDS_SEEN.get() + 1);
    (RECORDS_SEEN.get() >= from).then_some(CommitFault::Delayed(Micros::from_secs(15)))
}

/// The number of quota records that the store has written.
fn quota_record_count(world: &World) -> usize {
    world.store.log.iter().filter(|(_, key, _)| key == records::QUOTA_KEY).count()
}

/// Guards a team's limit against a division that is carried out late. Meanwhile the team is within its limit, so that
/// no controller counts its usage, the jobs of one controller go beyond the share that it gets, and those of another
/// use all of theirs.
#[test]
fn a_delayed_quota_record_does_not_let_a_team_exceed_its_limit() {
    let mut late = 0;
    for seed in 0..12 {
        let mut world = cluster_with_spare_room(seed, &[("blue", 40.0, 0.0), ("green", 0.0, 0.0)]);
        let mut ids: Vec<_> = (0..3).map(job_numbers_of).collect();
        let mut next = |owner: usize| ids[owner].next().unwrap();
        let first = submit_array(&mut world, next(1), "blue", 30);
        let all = run_until(&mut world, Micros::from_secs(60), |w| present_task_count(w, &first) == 30);
        assert!(all, "seed {seed}: {}", present_task_count(&world, &first));
        replace_view(&mut world);
        FIRST_DELAYED.set(Some(1 + seed as u32 % 2));
        RECORDS_SEEN.set(0);
        world.commit_fault = Some(delay_quota_records);
        submit_array(&mut world, next(0), "blue", 15);
        assert!(
            run_until(&mut world, Micros::from_secs(12), |_| RECORDS_SEEN.get()
                >= FIRST_DELAYED.get().unwrap()),
            "seed {seed}"
        );
        let (before, sent) = (quota_record_count(&world), world.now);
        // Most of the tasks end, which is recorded, and then the rest: the team's demand is within the limit.
        end_tasks_below(&mut world, &first, 28);
        run_for(&mut world, Micros::from_secs(4));
        end_tasks_below(&mut world, &first, 30);
        let has_ended = |w: &World| w.controllers.iter().flatten().all(|c| !c.jobs.contains_key(&first));
        assert!(run_until(&mut world, Micros::from_secs(4), has_ended), "seed {seed}: {first} has not ended");
        submit_array(&mut world, next(0), "blue", 20);
        let remaining = (sent + Micros::from_secs(14)).since(world.now);
        run_for(&mut world, remaining);
        late += usize::from(quota_record_count(&world) == before);
        let last = submit_array_with_priority(&mut world, next(1), "blue", 30, Priority::High);
        let done = |w: &World| quota_record_count(w) > before;
        assert!(
            run_until(&mut world, Micros::from_secs(5), done),
            "seed {seed}: nothing was carried out late"
        );
        FIRST_DELAYED.set(None);
        run_for(&mut world, Micros::from_secs(5));
        run_for(&mut world, Micros::from_secs(7));
        finish_all_jobs(&mut world, seed);
        assert!(world.jobs[&last].known_final.is_some(), "seed {seed}");
    }
    assert!(late >= 10, "the record was late enough in only {late} runs");
}

/// Ends all tasks soon, and checks that all jobs end.
pub(super) fn finish_all_jobs(world: &mut World, seed: u64) {
    (world.task_run_time, world.commit_fault) = (S..2 * S, None);
    for id in world.jobs.keys().cloned().collect::<Vec<_>>() {
        end_tasks_below(world, &id, u32::MAX);
    }
    run_for(world, Micros::from_secs(20));
    world.expect_all_jobs_to_end(300, &format!("seed {seed}"));
}

/// Guards a team's limit when another team reaches its own limit in the same view. The quota record was then rewritten
/// for both teams, and from what the jobs of the first team used at that moment instead of from the shares that they
/// may use.
#[test]
fn dividing_one_teams_limit_keeps_the_shares_of_another_team() {
    let mut larger_shares = 0;
    for seed in 20..28 {
        let mut world = cluster_with_spare_room(seed, &[("blue", 40.0, 0.0), ("green", 100.0, 0.0)]);
        let mut ids: Vec<_> = (0..3).map(job_numbers_of).collect();
        let mut next = |owner: usize| ids[owner].next().unwrap();
        let kept = submit_array(&mut world, next(1), "blue", 10);
        let ending = submit_array(&mut world, next(1), "blue", 20);
        let all = |w: &World| present_task_count(w, &kept) + present_task_count(w, &ending) == 30;
        assert!(run_until(&mut world, Micros::from_secs(60), all), "seed {seed}");
        replace_view(&mut world);
        // The team exceeds the limit, which is therefore divided. Then it is within the limit again, which stays
        // divided for the rest of the view.
        let beyond = submit_array(&mut world, next(0), "blue", 20);
        assert!(
            run_until(&mut world, Micros::from_secs(60), |w| present_task_count(w, &beyond) == 10),
            "seed {seed}"
        );
        world.jobs.get_mut(&beyond).unwrap().wants_withdrawal = true;
        run_for(&mut world, Micros::from_secs(6));
        end_tasks_below(&mut world, &ending, u32::MAX);
        run_for(&mut world, Micros::from_secs(15));
        FIRST_DELAYED.set(Some(1));
        RECORDS_SEEN.set(0);
        world.commit_fault = Some(delay_quota_records);
        submit_array_with_priority(&mut world, next(0), "blue", 30, Priority::High);
        submit_array(&mut world, next(2), "green", 120);
        assert!(
            run_until(&mut world, Micros::from_secs(12), |_| RECORDS_SEEN.get() > 0),
            "seed {seed}: nothing was divided"
        );
        let (before, uses) = (quota_record_count(&world), present_task_count(&world, &kept));
        let c = world.controllers[1].as_ref().unwrap();
        let row = c.quota_record.0.rows.iter().find(|r| r.team == "blue" && r.member == "n-1");
        larger_shares += usize::from(row.is_some_and(|r| r.cpu > 1_000 * uses as u64));
        submit_array(&mut world, next(1), "blue", 20);
        run_for(&mut world, Micros::from_secs(4));
        assert_eq!(quota_record_count(&world), before, "seed {seed}: the record was not late");
        let done = |w: &World| quota_record_count(w) > before;
        assert!(
            run_until(&mut world, Micros::from_secs(14), done),
            "seed {seed}: nothing was carried out late"
        );
        FIRST_DELAYED.set(None);
        run_for(&mut world, Micros::from_secs(10));
        assert!(world.controllers[1].as_ref().unwrap().quota_record.0.rows.iter().any(|r| r.team == "green"));
        finish_all_jobs(&mut world, seed);
    }
    assert!(
        larger_shares >= 6,
        "a controller had a larger share than its usage in only {larger_shares} runs"
    );
}

/// Guards a team's limit against tasks of withdrawn jobs that no controller counts. The owner of the jobs restarts at
/// once, takes over no job that is live, and has received no message from the machines on which their tasks still run.
#[test]
fn withdrawn_jobs_tasks_unknown_to_a_restarted_owner_count_against_the_limit() {
    let mut unreachable = 0;
    for seed in 40..46 {
        let mut world = cluster_with_spare_room(seed, &[("blue", 40.0, 0.0), ("green", 0.0, 0.0)]);
        let leader = world.leader().unwrap();
        let owner = (leader + 1) % 3;
        let mut ids: Vec<_> = (0..3).map(job_numbers_of).collect();
        let first = submit_array(&mut world, ids[owner].next().unwrap(), "blue", 40);
        assert!(
            run_until(&mut world, Micros::from_secs(60), |w| present_task_count(w, &first) == 40),
            "seed {seed}"
        );
        run_for(&mut world, Micros::from_secs(3));
        let cut = world.now + Micros::from_secs(25);
        for (i, w) in world.workers.values_mut().filter(|w| !w.tasks.is_empty()).enumerate() {
            if (i + seed as usize).is_multiple_of(2) { w.partitioned_until = cut } else { w.hung_until = cut }
        }
        request_withdrawal(&mut world, leader, &first);
        let is_withdrawn = |w: &World| w.jobs[&first].known_final.is_some();
        assert!(run_until(&mut world, Micros::from_secs(10), is_withdrawn), "seed {seed}: not withdrawn");
        world.crash_for(owner, Micros::from_millis(300));
        run_for(&mut world, Micros::from_millis(1_500));
        for member in [leader, owner, (leader + 2) % 3] {
            submit_array(&mut world, ids[member].next().unwrap(), "blue", 40);
        }
        run_for(&mut world, Micros::from_secs(3));
        unreachable += present_task_count(&world, &first);
        run_for(&mut world, Micros::from_secs(30));
        finish_all_jobs(&mut world, seed);
    }
    assert!(unreachable > 40, "only {unreachable} tasks of withdrawn jobs were unreachable");
}

/// A user asks this controller within milliseconds to withdraw a job, and asks others later if that fails.
pub(super) fn request_withdrawal(world: &mut World, node: usize, id: &str) {
    world.jobs.get_mut(id).unwrap().wants_withdrawal = true;
    world.send_user_request(node, id.to_owned(), UserRequest::Withdraw);
}

const TEAMS: [(&str, f64, f64); 3] = [("blue", 30.0, 6.0), ("green", 20.0, 4.0), ("red", 12.0, 3.0)];

/// A cluster, not started yet, in which each team has limits of both kinds.
pub(super) fn cluster_with_limited_teams(seed: u64) -> World {
    let mut world = World::new(seed, FaultProfile::default());
    set_limits(&mut world, &TEAMS);
    for n in 0..16 {
        world.add_machine(["c16", "g8"][n % 2], ["east", "west"][n / 2 % 2], false);
    }
    world
}

/// A cluster in which each team has just submitted more work of both kinds than its limits allow at once, and the
/// number of these jobs.
pub(super) fn cluster_with_work_beyond_limits(seed: u64) -> (World, u32) {
    let mut world = cluster_with_limited_teams(seed);
    world.task_run_time = 25 * S..60 * S;
    world.run(Micros::from_secs(6));
    let mut n = 0;
    submit_more_work(&mut world, &mut n, 8);
    (world, n)
}

/// The cluster of `cluster_with_work_beyond_limits` once the limits are used up.
pub(super) fn cluster_at_limits(seed: u64) -> (World, u32) {
    let (mut world, n) = cluster_with_work_beyond_limits(seed);
    let all_at_limits = |w: &World| {
        let at_limit = |((_, cpus, gpus), (cpu, gpu)): (&(&str, f64, f64), &(u64, u64))| {
            *cpu as f64 >= (cpus - 1.0) * 1e3 && *gpu as f64 >= gpus * 5e2
        };
        TEAMS.iter().zip(&w.coverage.peak_usage).all(at_limit)
    };
    assert!(
        run_until(&mut world, Micros::from_secs(120), all_at_limits),
        "seed {seed}: {:?} of {TEAMS:?}",
        world.coverage.peak_usage
    );
    (world, n)
}

/// Submits `count` rounds of arrays for each team, one array with accelerators and one without.
pub(super) fn submit_more_work(world: &mut World, n: &mut u32, count: u32) {
    for _ in 0..count {
        for (team, ..) in TEAMS {
            for (gpus, tasks) in [(1.0, 6), (0.0, 9)] {
                *n += 1;
                let spec = array(world, *n, tasks);
                let spec =
                    JobSpec { gpus, team: team.into(), priority: Priority::Normal, spot: false, ..spec };
                world.submit(spec);
            }
        }
    }
}

/// Jobs with present tasks whose withdrawal no user has requested.
pub(super) fn running_jobs(world: &World) -> Vec<String> {
    let is_running = |id: &String, w: &UserJob| {
        !w.wants_withdrawal && w.known_accepted && present_task_count(world, id) > 0
    };
    world.jobs.iter().filter(|(id, w)| is_running(id, w)).map(|(id, _)| id.clone()).collect()
}

/// The number of tasks of withdrawn jobs, their withdrawal confirmed, on machines that are cut off or hang.
fn unreachable_withdrawn_tasks(world: &World) -> usize {
    let unreachable = |w: &&Worker| !w.dead && (w.partitioned_until > world.now || w.hung_until > world.now);
    let withdrawn =
        |id: &TaskId| world.jobs[&id.job].known_final.is_some_and(|(f, _)| f == FinalState::Withdrawn);
    let machines = world.workers.values().filter(unreachable);
    machines.flat_map(|w| &w.tasks).filter(|(id, t)| withdrawn(id) && t.counts_as_running()).count()
}

/// Guards the limits of all teams, for processors and accelerators, while jobs are withdrawn whose machines are cut off
/// or hang and the leader changes. Tasks that still run there count, whichever controller owns the job by then, and
/// freed resources are used at once.
#[test]
fn unreachable_tasks_of_withdrawn_jobs_count_against_limits_across_leader_changes() {
    let (mut unreachable, mut used_again, mut leader_changes) = (0, 0, 0);
    let mut peaks = vec![(0, 0); TEAMS.len()];
    for seed in 60..68 {
        let (mut world, mut n) = cluster_at_limits(seed);
        for round in 0..3 {
            let leader = world.leader().unwrap_or(0);
            let jobs = running_jobs(&world);
            let withdrawn: Vec<String> = jobs.iter().skip(round % 2).step_by(2).cloned().collect();
            let mut hosts: Vec<String> = world
                .workers
                .iter()
                .filter(|(_, w)| !w.dead && w.tasks.keys().any(|t| withdrawn.contains(&t.job)))
                .map(|(name, _)| name.clone())
                .collect();
            hosts.truncate(5);
            for (i, name) in hosts.iter().enumerate() {
                let until = world.now + Micros(world.rng.random_range(8 * S..30 * S));
                let w = world.workers.get_mut(name).unwrap();
                if (i + seed as usize).is_multiple_of(2) {
                    w.partitioned_until = until
                } else {
                    w.hung_until = until
                }
            }
            let downtime = Micros::from_millis(if seed % 2 == 0 { 300 } else { 20_000 });
            let before = world.store.revision;
            if seed % 3 == 0 {
                world.crash_for(leader, downtime);
            }
            for (i, id) in withdrawn.iter().enumerate() {
                let asked = if seed % 3 == 0 { (leader + 1 + i % 2) % 3 } else { i % 3 };
                request_withdrawal(&mut world, asked, id);
            }
            submit_more_work(&mut world, &mut n, 1);
            run_for(&mut world, Micros::from_millis([0, 30, 400][seed as usize % 3]));
            world.crash_for(leader, downtime);
            let has_new_leader = |w: &World| leader_count_since(w, before) > 0;
            assert!(run_until(&mut world, Micros::from_secs(25), has_new_leader), "seed {seed}: no leader");
            leader_changes += 1;
            unreachable += unreachable_withdrawn_tasks(&world);
            let end = world.now + Micros::from_secs(20);
            while world.now < end {
                run_for(&mut world, Micros::from_millis(500));
                let used = usage_by_team(&world);
                let at_limit = TEAMS.iter().filter(|(team, cpus, _)| {
                    used.get(*team).is_some_and(|u| u.0 as f64 >= (cpus - 1.0) * 1e3)
                });
                used_again += if unreachable_withdrawn_tasks(&world) > 0 { at_limit.count() } else { 0 };
            }
        }
        world.task_run_time = S..3 * S;
        run_for(&mut world, Micros::from_secs(60));
        world.expect_all_jobs_to_end(400, &format!("seed {seed}"));
        for (all, one) in peaks.iter_mut().zip(&world.coverage.peak_usage) {
            *all = (all.0.max(one.0), all.1.max(one.1));
        }
    }
    let limits = TEAMS.map(|(_, cpus, gpus)| ((cpus * 1e3) as u64, (gpus * 1e3) as u64));
    assert_eq!(peaks, limits, "a limit was never used up");
    eprintln!(
        "{unreachable} unreachable tasks in {leader_changes} leader changes; {used_again} times a team at its limit"
    );
    assert!(
        unreachable > 100 && used_again > 50,
        "{unreachable} unreachable tasks, {used_again} times a limit was used up"
    );
}

/// The number of leaders elected after this revision.
pub(super) fn leader_count_since(world: &World, revision: u64) -> usize {
    let is_new_leader = |(r, key, value): &&(u64, String, Option<Value>)| {
        *r > revision && key == records::LEADER_KEY && value.is_some()
    };
    world.store.log.iter().filter(is_new_leader).count()
}
