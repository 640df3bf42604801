//! Reports of workers that cannot be true.

use super::*;

/// Guards against a worker that reports under another machine's name, which would change the controller's state of that
/// machine, and against tasks that no controller has started.
#[test]
fn reports_that_cannot_be_true_change_nothing() {
    let mut world = World::new(5, FaultProfile::default());
    for n in 0..6 {
        world.add_machine("c16", ["east", "west"][n % 2], false);
    }
    world.run(Micros::from_secs(5));
    let spec = JobSpec { team: "green".into(), tasks: 900, zone: None, ..world.random_job(1) };
    world.submit(JobSpec { shape: Shape::Array, gpus: 0.0, one_zone: false, spread: false, ..spec });
    world.run(Micros::from_secs(20));
    let owned_machine = |c: &Controller| c.machines.iter().find(|(_, m)| c.owns(m)).map(|(n, _)| n.clone());
    let holder = (0..3).find_map(|n| Some((n, owned_machine(world.controllers[n].as_ref()?)?)));
    let (n, name) = holder.unwrap();
    let clock = world.local_time(n);
    let c = world.controllers[n].as_mut().unwrap();
    let m = &c.machines[&name];
    let honest = Report {
        machine: name.clone(),
        addr: name.clone(),
        kind: m.row.kind.clone(),
        zone: m.row.zone.clone(),
        spot: m.row.spot,
        session: m.session,
        tally: m.tally + 1,
        token: m.row.token,
        notice_s: None,
        tasks: Vec::new(),
    };
    let invented =
        ReportedTask { task: "j-999999/3".into(), attempt: 7, state: TaskState::Running, cause: None };
    let answers = |c: &mut Controller, report: Report| -> Vec<Answer> {
        let effects = c.handle(clock, Event::Report(1, report)).into_iter();
        effects.filter_map(|e| if let Effect::Answer(1, answer) = e { Some(answer) } else { None }).collect()
    };
    let before: Vec<TaskId> = m.tasks.keys().cloned().collect();
    for mismatched in [
        Report { zone: "elsewhere".into(), ..honest.clone() },
        Report { kind: "g8".into(), ..honest.clone() },
        Report { spot: true, ..honest.clone() },
    ] {
        assert_eq!(answers(c, mismatched), [Answer::RetryLater(1)]);
    }
    assert_eq!(c.counters.reports_mismatched, 3);
    assert_eq!(c.machines[&name].tasks.keys().cloned().collect::<Vec<_>>(), before);
    // There is no such machine: the report is redirected, and answered without orders.
    let unknown = Report { machine: "m-777777".into(), ..honest.clone() };
    assert_eq!(answers(c, unknown), [Answer::Redirect(None)]);
    assert!(!c.machines.contains_key("m-777777"));
    // A task of an unknown job is stopped at once.
    let answer = answers(c, Report { tasks: vec![invented], ..honest });
    let [Answer::Orders(orders)] = &answer[..] else { panic!("{answer:?}") };
    let stop = Order::Stop { task: "j-999999/3".into(), attempt: 7, grace_s: 0.0 };
    assert!(orders.orders.contains(&stop), "{orders:?}");
}
