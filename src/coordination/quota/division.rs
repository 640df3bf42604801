//! How a team's limit is divided among the controllers whose jobs work under it.
//!
//! What is divided is a vector, processors and accelerators together, in units that something can start with: a task, or
//! all of a gang. The units are taken in one order for all controllers, those that have waited longest first, as long as
//! they fit beside what is used; each controller's aim is what it uses and its units. Who has more than its aim while
//! units lack room gives it up, and with the next division it is given to those that are below theirs.

use crate::protocol::units::Resources;

/// One controller's part of a limit.
#[derive(Clone, Debug, Default)]
pub(super) struct Member {
    /// What it may use by the division in force; nothing where there is none.
    pub granted: Resources,
    /// What its jobs' tasks use, or may use wherever they may be.
    pub used: Resources,
    /// What its jobs could start.
    pub units: Vec<Unit>,
}

/// Starts of one job.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unit {
    /// Those of the least key come first.
    pub order: Order,
    /// What one start takes: a task, or all of a gang. No memory.
    pub need: Resources,
    /// How many there may be.
    pub count: u64,
}

/// Which units come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Order {
    /// It has made no use of what it was given: others come before it.
    pub stalled: bool,
    /// Tasks of its job run.
    pub running: bool,
    /// Since when it has waited.
    pub since: u64,
    /// Revision of the job's acceptance.
    pub arrival: u64,
}

/// What each controller may use from now on. Where none has a share yet, the limit has only begun to be divided: nobody
/// may start anything, and each begins with what it uses.
///
/// While machines change hands a task counts wherever it may be, so that together they may seem to use more
/// than the limit. Then each may use what it does less all that is beyond the limit: whoever starts something
/// leaves so much unused that the others may go on with all of theirs.
pub(super) fn divide(limit: Resources, members: &[Member]) -> Vec<Resources> {
    let none = Resources::default();
    let sum = |amounts: &mut dyn Iterator<Item = Resources>| amounts.fold(none, Resources::plus);
    let fresh = members.iter().all(|m| m.granted == none);
    let mut next: Vec<Resources> = members.iter().map(|m| if fresh { m.used } else { m.granted }).collect();
    // In proportion it would not do: two controllers kept what ran beyond their shares, and the third, whose
    // tasks had been counted twice, started as many as its share allowed: 41 of 40.
    let beyond = sum(&mut next.iter().copied()).minus(limit);
    next.iter_mut().for_each(|n| *n = n.minus(beyond));
    // What a member may use, or uses all the same, cannot be given to another.
    let bound = sum(&mut next.iter().zip(members).map(|(n, m)| n.max(m.used)));
    let mut spare = limit.minus(bound);
    let mut aims: Vec<Resources> = members.iter().map(|m| m.used).collect();
    let mut left = limit.minus(sum(&mut aims.iter().copied()));
    let mut lacking = false;
    for (i, unit) in in_order(members) {
        let count = unit.count.min(unit.need.times_in(left));
        let aim = aims[i].plus(unit.need.times(count));
        left = left.minus(unit.need.times(count));
        // As many of them as what is free now has room for.
        let reach = next[i].plus(spare).minus(aims[i]);
        let at_once = count.min(unit.need.times_in(reach));
        let grown = aims[i].plus(unit.need.times(at_once));
        let more = grown.minus(next[i]);
        if at_once > 0 && more.fits(spare) {
            next[i] = next[i].max(grown);
            spare = spare.minus(more);
        }
        lacking |= count < unit.count || !aim.fits(next[i]);
        aims[i] = aim;
    }
    if lacking {
        // What is beyond an aim is given up, for the next division.
        next.iter_mut().zip(&aims).for_each(|(n, aim)| *n = n.min(*aim));
    }
    next
}

/// All units with their members' numbers, the first first.
fn in_order(members: &[Member]) -> Vec<(usize, Unit)> {
    let units = members.iter().enumerate().flat_map(|(i, m)| m.units.iter().map(move |unit| (i, *unit)));
    let mut units: Vec<(usize, Unit)> = units.filter(|(_, unit)| unit.count > 0).collect();
    units.sort_by_key(|(i, unit)| (unit.order, *i));
    units
}

#[cfg(test)]
mod tests;
