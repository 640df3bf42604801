//! Orders of messages, records and grants that a review asked about. Guards against the known failure `ran_twice`: a task ran
//! on one machine and was started on another.

use super::former_lives::passing_on;
use super::meetings_limits::{of_team, until};
use super::second_starts::grant_to;
use super::start_orders::{
    arrives, cut_off, ends_unread, fill, has_given_away, idle_machine, whole_status, with_heir,
};
use super::*;

/// Guards against `ran_twice`: a controller that goes on without the heir's confirmations tells the heir all, then starts
/// tasks of which the heir hears nothing, and gives their machine away. It is relied on again and ends: what the heir missed
/// of it after that whole status counts as never ordered, and the heir starts the tasks again.
#[test]
fn what_was_missed_after_a_whole_status_while_uninformed_may_be_there() {
    for seed in 740..743 {
        let (mut world, owner, heir) = with_heir(seed);
        let uninformed =
            |w: &World| !w.controllers[owner].as_ref().unwrap().announcements.excused().is_empty();
        world.befalls(Spell::Apart(owner, heir), Micros::MAX);
        of_team(&mut world, passing_on(owner, heir).next().unwrap(), "blue", 2);
        assert!(
            until(&mut world, Micros::from_secs(3), uninformed),
            "seed {seed}: the heir is still waited for"
        );
        // What is said from now on is lost, but for one status that tells all.
        world.run(world.now + Micros::from_secs(3));
        let machine = idle_machine(&world);
        grant_to(&mut world, &machine, owner);
        let known = |w: &World| {
            let c = w.controllers[owner].as_ref().unwrap();
            let token = c.machines[&machine].row.token;
            let read = w.controllers[heir].as_ref().unwrap().machines[&machine].row.token == token;
            c.owns(&c.machines[&machine]) && c.machines[&machine].resolved && read
        };
        assert!(until(&mut world, Micros::from_secs(3), known), "seed {seed}: {machine} is not known");
        let whole = whole_status(&mut world, owner, heir);
        arrives(&mut world, owner, heir, &whole);
        let (life, reader) =
            (world.controllers[owner].as_ref().unwrap().life(), world.controllers[heir].as_ref().unwrap());
        assert!(reader.ledger.unbroken(&life), "seed {seed}: the whole status was not taken in");
        // The heir reads no changes from here on.
        world.befalls(Spell::WatchHangs(heir), Micros::MAX);
        let begun = fill(&mut world, owner, heir, &machine);
        assert!(uninformed(&world), "seed {seed}: the heir was waited for again too soon");
        cut_off(&mut world, owner, &begun);
        grant_to(&mut world, &machine, heir);
        let given_away = |w: &World| has_given_away(w, owner, &machine);
        assert!(until(&mut world, Micros::from_secs(2), given_away), "seed {seed}: the grant is not read");
        world.spells.retain(|(spell, ..)| *spell != Spell::Apart(owner, heir));
        assert!(
            until(&mut world, Micros::from_secs(4), |w| !uninformed(w)),
            "seed {seed}: never relied on again"
        );
        ends_unread(&mut world, owner, heir);
    }
}
