//! Meetings of teams' limits, hand-over and changes of leader with other troubles, each brought about by a script that
//! asserts that it did (`docs/meetings.md`).

use std::cell::Cell;

use super::takeovers::array;
use super::*;
use crate::coordination::replica::rendezvous;

/// Gives the teams these limits of processors and accelerators, 0 for none.
fn set_limits(world: &mut World, teams: &[(&str, f64, f64)]) {
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

/// What each team's tasks take by now, by its name: processors and accelerators.
fn usage_by_team(world: &World) -> BTreeMap<String, (u64, u64)> {
    let teams = world.settings[0].params.teams.iter().map(|t| t.name.clone());
    teams.zip(world.taken()).collect()
}

pub(super) fn run_for(world: &mut World, length: Micros) {
    world.run(world.now + length);
}

/// Runs until something holds; false if it does not within that time.
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

/// Numbers of jobs that this controller owns when all three are there.
pub(super) fn job_numbers_of(member: usize) -> impl Iterator<Item = u32> {
    let members = ["n-0", "n-1", "n-2"];
    (200..).filter(move |n| rendezvous(&format!("j-{n:06}"), members.into_iter()) == Some(members[member]))
}

/// An array of a team, its tasks of one processor each.
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

/// How many tasks of a job are there.
pub(super) fn present_task_count(world: &World, id: &str) -> usize {
    let tasks = world.workers.values().filter(|w| !w.dead).flat_map(|w| &w.tasks);
    tasks.filter(|(t, r)| t.job == id && r.is_here()).count()
}

/// A job's tasks below this number end within the next half second.
pub(super) fn end_tasks_below(world: &mut World, id: &str, below: u32) {
    let now = world.now;
    for w in world.workers.values_mut() {
        let some = w.tasks.iter_mut().filter(|(t, _)| t.job == id && t.index < below);
        some.for_each(|(_, t)| t.until = t.until.min(now));
    }
}

/// Machines that have room for more than all limits together, and are kept while they are idle.
pub(super) fn cluster_with_spare_room(seed: u64, teams: &[(&str, f64, f64)]) -> World {
    let mut world = World::new(seed, Trouble::default());
    set_limits(&mut world, teams);
    (world.runs_for, world.tuning.idle_return_s) = (300 * S..400 * S, 900.0);
    for _ in 0..14 {
        world.add_machine("c16", "east", false);
    }
    world.run(Micros::from_secs(18));
    world
}

/// Another life of a controller that does not lead, and with it a new view in which no team counts: all that runs is
/// known everywhere, and within the limits.
fn replace_view(world: &mut World) {
    let free = |w: &World| {
        let all = w.controllers.iter().flatten();
        let free = |c: &Controller| {
            let open = c.view.members.len() == 3 && c.is_view_member && !c.takeover_in_progress;
            open && c.find_teams_with_binding_limit().is_empty() && c.quota_record.0.view != c.view_revision
        };
        all.clone().count() == 3 && all.clone().all(free)
    };
    for _ in 0..4 {
        let leader = world.leader().unwrap();
        world.crash_for(if leader == 1 { 2 } else { 1 }, Micros::from_millis(300));
        run_for(world, Micros::from_secs(1));
        if run_until(world, Micros::from_secs(12), free) {
            return;
        }
    }
    panic!("no new view in which nobody counts: {}", world.describe("j-000200"));
}

thread_local! {
    /// From which record of allotments on the store is late to write them, and how many have come.
    static LATE: Cell<Option<u32>> = const { Cell::new(None) };
    static CAME: Cell<u32> = const { Cell::new(0) };
}

/// From the record chosen on all are carried out late, by so much that what was true then no longer is.
fn delay_quota_records(t: &Transaction) -> Option<Fate> {
    let written = t.writes.iter().any(|w| matches!(w, Write::Put { key, .. } if key == records::QUOTA_KEY));
    let from = LATE.get().filter(|_| written)?;
    CAME.set(CAME.get() + 1);
    (CAME.get() >= from).then_some(Fate::Late(Micros::from_secs(15)))
}

/// Records of allotments that the store holds by now.
fn quota_record_count(world: &World) -> usize {
    world.store.log.iter().filter(|(_, key, _)| key == records::QUOTA_KEY).count()
}

/// Guards a team's limit against a division that is carried out late: meanwhile the team is within its limit, so that
/// nobody counts, one controller's jobs go beyond the part that it gets, and another's use all of theirs.
#[test]
fn allotments_carried_out_late_meet_nobody_who_went_beyond_them() {
    let mut late = 0;
    for seed in 0..12 {
        let mut world = cluster_with_spare_room(seed, &[("blue", 40.0, 0.0), ("green", 0.0, 0.0)]);
        let mut ids: Vec<_> = (0..3).map(job_numbers_of).collect();
        let mut next = |owner: usize| ids[owner].next().unwrap();
        let first = submit_array(&mut world, next(1), "blue", 30);
        let all = run_until(&mut world, Micros::from_secs(60), |w| present_task_count(w, &first) == 30);
        assert!(all, "seed {seed}: {}", present_task_count(&world, &first));
        replace_view(&mut world);
        LATE.set(Some(1 + seed as u32 % 2));
        CAME.set(0);
        world.fate_of = Some(delay_quota_records);
        submit_array(&mut world, next(0), "blue", 15);
        assert!(
            run_until(&mut world, Micros::from_secs(12), |_| CAME.get() >= LATE.get().unwrap()),
            "seed {seed}"
        );
        let (before, sent) = (quota_record_count(&world), world.now);
        // Most of its tasks end, which is recorded, and then the rest: what the team asks for is within the limit.
        end_tasks_below(&mut world, &first, 28);
        run_for(&mut world, Micros::from_secs(4));
        end_tasks_below(&mut world, &first, 30);
        let over = |w: &World| w.controllers.iter().flatten().all(|c| !c.jobs.contains_key(&first));
        assert!(run_until(&mut world, Micros::from_secs(4), over), "seed {seed}: {first} is not over");
        submit_array(&mut world, next(0), "blue", 20);
        let wait = (sent + Micros::from_secs(14)).since(world.now);
        run_for(&mut world, wait);
        late += usize::from(quota_record_count(&world) == before);
        let last = submit_array_with_priority(&mut world, next(1), "blue", 30, Priority::High);
        let done = |w: &World| quota_record_count(w) > before;
        assert!(
            run_until(&mut world, Micros::from_secs(5), done),
            "seed {seed}: nothing was carried out late"
        );
        LATE.set(None);
        run_for(&mut world, Micros::from_secs(5));
        run_for(&mut world, Micros::from_secs(7));
        finish_all_jobs(&mut world, seed);
        assert!(world.jobs[&last].told_final.is_some(), "seed {seed}");
    }
    assert!(late >= 10, "only in {late} runs was the record late enough");
}

/// Lets all tasks end soon, and all jobs with them.
pub(super) fn finish_all_jobs(world: &mut World, seed: u64) {
    (world.runs_for, world.fate_of) = (S..2 * S, None);
    for id in world.jobs.keys().cloned().collect::<Vec<_>>() {
        end_tasks_below(world, &id, u32::MAX);
    }
    run_for(world, Micros::from_secs(20));
    world.all_over(300, &format!("seed {seed}"));
}

/// Guards a team's limit when another team meets its own in the same view: the record was written anew for both, and
/// from what the first team's jobs used just then rather than from what they may.
#[test]
fn a_second_team_at_its_limit_leaves_the_firsts_parts_as_they_are() {
    let mut met = 0;
    for seed in 20..28 {
        let mut world = cluster_with_spare_room(seed, &[("blue", 40.0, 0.0), ("green", 100.0, 0.0)]);
        let mut ids: Vec<_> = (0..3).map(job_numbers_of).collect();
        let mut next = |owner: usize| ids[owner].next().unwrap();
        let kept = submit_array(&mut world, next(1), "blue", 10);
        let passing = submit_array(&mut world, next(1), "blue", 20);
        let all = |w: &World| present_task_count(w, &kept) + present_task_count(w, &passing) == 30;
        assert!(run_until(&mut world, Micros::from_secs(60), all), "seed {seed}");
        replace_view(&mut world);
        // Beyond the limit, so that it is divided; then within it again, but divided for the rest of the view.
        let beyond = submit_array(&mut world, next(0), "blue", 20);
        assert!(
            run_until(&mut world, Micros::from_secs(60), |w| present_task_count(w, &beyond) == 10),
            "seed {seed}"
        );
        world.jobs.get_mut(&beyond).unwrap().wants_withdrawal = true;
        run_for(&mut world, Micros::from_secs(6));
        end_tasks_below(&mut world, &passing, u32::MAX);
        run_for(&mut world, Micros::from_secs(15));
        LATE.set(Some(1));
        CAME.set(0);
        world.fate_of = Some(delay_quota_records);
        submit_array_with_priority(&mut world, next(0), "blue", 30, Priority::High);
        submit_array(&mut world, next(2), "green", 120);
        assert!(
            run_until(&mut world, Micros::from_secs(12), |_| CAME.get() > 0),
            "seed {seed}: nothing was divided"
        );
        let (before, uses) = (quota_record_count(&world), present_task_count(&world, &kept));
        let c = world.controllers[1].as_ref().unwrap();
        let row = c.quota_record.0.rows.iter().find(|r| r.team == "blue" && r.member == "n-1");
        met += usize::from(row.is_some_and(|r| r.cpu > 1_000 * uses as u64));
        submit_array(&mut world, next(1), "blue", 20);
        run_for(&mut world, Micros::from_secs(4));
        assert_eq!(quota_record_count(&world), before, "seed {seed}: the record was not late");
        let done = |w: &World| quota_record_count(w) > before;
        assert!(
            run_until(&mut world, Micros::from_secs(14), done),
            "seed {seed}: nothing was carried out late"
        );
        LATE.set(None);
        run_for(&mut world, Micros::from_secs(10));
        assert!(world.controllers[1].as_ref().unwrap().quota_record.0.rows.iter().any(|r| r.team == "green"));
        finish_all_jobs(&mut world, seed);
    }
    assert!(met >= 6, "only in {met} runs might a controller use more than it did");
}

/// Guards a team's limit against tasks of withdrawn jobs that count with nobody: their owner is back at once, takes no
/// job over that is live, and has not heard of the machines on which they still run.
#[test]
fn what_withdrawn_jobs_still_run_counts_also_with_an_owner_that_knows_nothing_of_them() {
    let mut out_of_reach = 0;
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
            if (i + seed as usize).is_multiple_of(2) { w.cut_until = cut } else { w.hung_until = cut }
        }
        request_withdrawal(&mut world, leader, &first);
        let told = |w: &World| w.jobs[&first].told_final.is_some();
        assert!(run_until(&mut world, Micros::from_secs(10), told), "seed {seed}: not withdrawn");
        world.crash_for(owner, Micros::from_millis(300));
        run_for(&mut world, Micros::from_millis(1_500));
        for member in [leader, owner, (leader + 2) % 3] {
            submit_array(&mut world, ids[member].next().unwrap(), "blue", 40);
        }
        run_for(&mut world, Micros::from_secs(3));
        out_of_reach += present_task_count(&world, &first);
        run_for(&mut world, Micros::from_secs(30));
        finish_all_jobs(&mut world, seed);
    }
    assert!(out_of_reach > 40, "only {out_of_reach} tasks of withdrawn jobs were out of reach");
}

/// A user asks this controller to withdraw a job, within milliseconds; if that does not do, others later.
pub(super) fn request_withdrawal(world: &mut World, node: usize, id: &str) {
    world.jobs.get_mut(id).unwrap().wants_withdrawal = true;
    world.ask(node, id.to_owned(), Look::Withdraws);
}

const TEAMS: [(&str, f64, f64); 3] = [("blue", 30.0, 6.0), ("green", 20.0, 4.0), ("red", 12.0, 3.0)];

/// A cluster in which each team has just been given more work of both kinds than its limits let it have at once, and how
/// many jobs these are.
pub(super) fn cluster_with_work_beyond_limits(seed: u64) -> (World, u32) {
    let mut world = World::new(seed, Trouble::default());
    set_limits(&mut world, &TEAMS);
    world.runs_for = 25 * S..60 * S;
    for n in 0..16 {
        world.add_machine(["c16", "g8"][n % 2], ["east", "west"][n / 2 % 2], false);
    }
    world.run(Micros::from_secs(6));
    let mut n = 0;
    submit_more_work(&mut world, &mut n, 8);
    (world, n)
}

/// The same, once the limits are used up.
pub(super) fn cluster_at_limits(seed: u64) -> (World, u32) {
    let (mut world, n) = cluster_with_work_beyond_limits(seed);
    let full = |w: &World| {
        let at = |((_, cpus, gpus), (cpu, gpu)): (&(&str, f64, f64), &(u64, u64))| {
            *cpu as f64 >= (cpus - 1.0) * 1e3 && *gpu as f64 >= gpus * 5e2
        };
        TEAMS.iter().zip(&w.met.peaks).all(at)
    };
    assert!(
        run_until(&mut world, Micros::from_secs(120), full),
        "seed {seed}: {:?} of {TEAMS:?}",
        world.met.peaks
    );
    (world, n)
}

/// As many arrays again, for each team some with accelerators and some without.
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

/// Jobs with tasks that run and that nobody has asked to withdraw.
pub(super) fn running_jobs(world: &World) -> Vec<String> {
    let on =
        |id: &String, w: &Wish| !w.wants_withdrawal && w.told_accepted && present_task_count(world, id) > 0;
    world.jobs.iter().filter(|(id, w)| on(id, w)).map(|(id, _)| id.clone()).collect()
}

/// Tasks of jobs whose withdrawal has been confirmed, on machines that are cut off or hang.
fn unreachable_withdrawn_tasks(world: &World) -> usize {
    let unreachable = |w: &&Worker| !w.dead && (w.cut_until > world.now || w.hung_until > world.now);
    let withdrawn =
        |id: &TaskId| world.jobs[&id.job].told_final.is_some_and(|(f, _)| f == FinalState::Withdrawn);
    let machines = world.workers.values().filter(unreachable);
    machines.flat_map(|w| &w.tasks).filter(|(id, t)| withdrawn(id) && t.is_here()).count()
}

/// Guards all teams' limits, processors and accelerators, while jobs are withdrawn whose machines are cut off or hang
/// and the leader changes: what runs there counts, whoever owns the job by then, and what becomes free is used at once.
#[test]
fn all_teams_at_their_limits_count_what_is_withdrawn_and_out_of_reach_across_changes_of_leader() {
    let (mut left, mut used_again, mut changes) = (0, 0, 0);
    let mut peaks = vec![(0, 0); TEAMS.len()];
    for seed in 60..68 {
        let (mut world, mut n) = cluster_at_limits(seed);
        for round in 0..3 {
            let leader = world.leader().unwrap_or(0);
            let jobs = running_jobs(&world);
            let chosen: Vec<String> = jobs.iter().skip(round % 2).step_by(2).cloned().collect();
            let mut hosts: Vec<String> = world
                .workers
                .iter()
                .filter(|(_, w)| !w.dead && w.tasks.keys().any(|t| chosen.contains(&t.job)))
                .map(|(name, _)| name.clone())
                .collect();
            hosts.truncate(5);
            for (i, name) in hosts.iter().enumerate() {
                let until = world.now + Micros(world.rng.random_range(8 * S..30 * S));
                let w = world.workers.get_mut(name).unwrap();
                if (i + seed as usize).is_multiple_of(2) { w.cut_until = until } else { w.hung_until = until }
            }
            let away = Micros::from_millis(if seed % 2 == 0 { 300 } else { 20_000 });
            let before = world.store.revision;
            if seed % 3 == 0 {
                world.crash_for(leader, away);
            }
            for (i, id) in chosen.iter().enumerate() {
                let by = if seed % 3 == 0 { (leader + 1 + i % 2) % 3 } else { i % 3 };
                request_withdrawal(&mut world, by, id);
            }
            submit_more_work(&mut world, &mut n, 1);
            run_for(&mut world, Micros::from_millis([0, 30, 400][seed as usize % 3]));
            world.crash_for(leader, away);
            let next = |w: &World| leader_count_since(w, before) > 0;
            assert!(run_until(&mut world, Micros::from_secs(25), next), "seed {seed}: no leader");
            changes += 1;
            left += unreachable_withdrawn_tasks(&world);
            let end = world.now + Micros::from_secs(20);
            while world.now < end {
                run_for(&mut world, Micros::from_millis(500));
                let used = usage_by_team(&world);
                let full = TEAMS.iter().filter(|(team, cpus, _)| {
                    used.get(*team).is_some_and(|u| u.0 as f64 >= (cpus - 1.0) * 1e3)
                });
                used_again += if unreachable_withdrawn_tasks(&world) > 0 { full.count() } else { 0 };
            }
        }
        world.runs_for = S..3 * S;
        run_for(&mut world, Micros::from_secs(60));
        world.all_over(400, &format!("seed {seed}"));
        for (all, one) in peaks.iter_mut().zip(&world.met.peaks) {
            *all = (all.0.max(one.0), all.1.max(one.1));
        }
    }
    let limits = TEAMS.map(|(_, cpus, gpus)| ((cpus * 1e3) as u64, (gpus * 1e3) as u64));
    assert_eq!(peaks, limits, "a limit never bound");
    eprintln!(
        "{left} tasks out of reach in {changes} changes of leader; {used_again} times a team at its limit meanwhile"
    );
    assert!(
        left > 100 && used_again > 50,
        "{left} tasks were out of reach, {used_again} times a limit was used up"
    );
}

/// How many leaders have begun since this revision.
pub(super) fn leader_count_since(world: &World, revision: u64) -> usize {
    let begun = |(r, key, value): &&(u64, String, Option<Value>)| {
        *r > revision && key == records::LEADER_KEY && value.is_some()
    };
    world.store.log.iter().filter(begun).count()
}
