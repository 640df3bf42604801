//! Division of a team's limit among the controllers that own the team's jobs.
//!
//! Amounts are vectors of processors and accelerators. They are divided in units with which something can start: a
//! task, or all of a gang. The units of all controllers are taken in one order, the longest wait first, as long as they
//! fit beside current usage; a controller's target is its usage plus the units taken for it. While some units lack
//! room, controllers whose share is above their target give the excess up, and the next division gives it to
//! controllers below their target.

use crate::protocol::units::Resources;

/// One controller's part in the division of a limit.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberShare {
    /// What it may use by the division in force; nothing if there is none.
    pub granted: Resources,
    /// What its jobs' tasks use, or may use wherever they may be.
    pub used: Resources,
    /// What its jobs could start.
    pub units: Vec<StartUnit>,
}

/// Possible starts of one job.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartUnit {
    /// Units with the lowest key come first.
    pub order: UnitOrder,
    /// What one start takes: a task, or all of a gang. Memory is not counted.
    pub need: Resources,
    /// The most starts that there may be.
    pub count: u64,
}

/// Sort key that decides which units come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct UnitOrder {
    /// The job has made no use of its volume: others come before it.
    pub stalled: bool,
    /// Other tasks of the job are running.
    pub running: bool,
    /// Since when the job has waited.
    pub since: u64,
    /// Revision of the job's acceptance.
    pub arrival: u64,
}

/// The new share of each controller. If none has a share yet, the division of the limit has just begun: no controller
/// may start anything, and each begins with its usage as its share.
///
/// While machines change owner, a task counts wherever it may be, so that the usages may add up to more than the limit.
/// Then each share is the usage less the whole excess: a controller that starts something within its share leaves
/// enough of the limit unused for all that the others run.
pub(super) fn divide_limit(limit: Resources, members: &[MemberShare]) -> Vec<Resources> {
    let none = Resources::default();
    let sum = |amounts: &mut dyn Iterator<Item = Resources>| amounts.fold(none, Resources::plus);
    let undivided = members.iter().all(|m| m.granted == none);
    let mut new_shares: Vec<Resources> =
        members.iter().map(|m| if undivided { m.used } else { m.granted }).collect();
    // A reduction in proportion is not enough: two controllers kept running what was beyond their shares, and the
    // third, whose tasks had been counted twice, started as many as its share allowed: 41 of 40.
    let excess = sum(&mut new_shares.iter().copied()).minus(limit);
    new_shares.iter_mut().for_each(|share| *share = share.minus(excess));
    // What a member may use, or uses beyond its share, cannot be given to another.
    let mut committed: Vec<Resources> =
        new_shares.iter().zip(members).map(|(share, m)| share.max(m.used)).collect();
    let mut spare = limit.minus(sum(&mut committed.iter().copied()));
    let mut targets: Vec<Resources> = members.iter().map(|m| m.used).collect();
    let mut left = limit.minus(sum(&mut targets.iter().copied()));
    let mut some_lack_room = false;
    for (i, unit) in units_in_order(members) {
        let count = unit.count.min(unit.need.times_in(left));
        let target = targets[i].plus(unit.need.times(count));
        left = left.minus(unit.need.times(count));
        // As many starts of the unit as fit into what is free now.
        let available = committed[i].plus(spare).minus(targets[i]);
        let at_once = count.min(unit.need.times_in(available));
        let grown = targets[i].plus(unit.need.times(at_once));
        let more = grown.minus(committed[i]);
        if at_once > 0 && more.fits(spare) {
            // What the member uses beyond its share of a resource that the unit does not need stays beyond it.
            new_shares[i] = new_shares[i].plus(more).max(where_needed(grown, unit.need));
            committed[i] = committed[i].max(grown);
            spare = spare.minus(more);
        }
        some_lack_room |= count < unit.count || !target.fits(new_shares[i]);
        targets[i] = target;
    }
    if some_lack_room {
        // What is beyond a target is given up, so that the next division can give it to others.
        new_shares.iter_mut().zip(&targets).for_each(|(share, target)| *share = share.min(*target));
    }
    new_shares
}

/// The amounts of the resources that a unit needs.
fn where_needed(amount: Resources, need: Resources) -> Resources {
    let of = |amount: u64, need: u64| if need > 0 { amount } else { 0 };
    Resources { cpu: of(amount.cpu, need.cpu), gpu: of(amount.gpu, need.gpu), memory: 0 }
}

/// All units with the indices of their members, in order.
fn units_in_order(members: &[MemberShare]) -> Vec<(usize, StartUnit)> {
    let units = members.iter().enumerate().flat_map(|(i, m)| m.units.iter().map(move |unit| (i, *unit)));
    let mut units: Vec<(usize, StartUnit)> = units.filter(|(_, unit)| unit.count > 0).collect();
    units.sort_by_key(|(i, unit)| (unit.order, *i));
    units
}

#[cfg(test)]
mod tests;
