//! Fair volumes (the paper's section 3.1): v = max(1, min(d, alpha * p)) for demand d and priority p, with alpha found
//! by bisection.
//!
//! The paper divides m equal processes among the jobs, a whole number to each. Here tasks of different jobs may differ
//! in size, so each claim has a `task_size`, and the sizes of all volumes sum to m.

/// One job's claim on a pool.
#[derive(Clone, Debug)]
pub struct Claim {
    pub priority: f64,
    /// The most tasks that it can use: its demand.
    pub max_tasks: u32,
    /// The fewest tasks that it is given once admitted: 1, or all of a gang.
    pub min_tasks: u32,
    /// What one task takes of the pool.
    pub task_size: f64,
}

impl Claim {
    fn volume_at(&self, alpha: f64) -> f64 {
        (alpha * self.priority)
            .min(f64::from(self.max_tasks))
            .max(f64::from(self.min_tasks.min(self.max_tasks)))
    }
}

/// Divides `supply` among admitted claims. Claims of the same priority receive leftovers in the order given.
///
/// Every claim gets its minimum, even if the minimums alone exceed the supply: the caller decides on admission.
pub fn fair_volumes(claims: &[Claim], supply: f64) -> Vec<u32> {
    let used = |alpha: f64| claims.iter().map(|c| c.volume_at(alpha) * c.task_size).sum::<f64>();
    let max_alpha = claims.iter().map(|c| f64::from(c.max_tasks) / c.priority).fold(0.0, f64::max);
    if used(max_alpha) <= supply {
        return claims.iter().map(|c| c.max_tasks).collect();
    }
    let (mut low, mut high) = (0.0, max_alpha);
    for _ in 0..60 {
        let middle = (low + high) / 2.0;
        if used(middle) <= supply { low = middle } else { high = middle }
    }
    let mut volumes: Vec<u32> = claims.iter().map(|c| (c.volume_at(low) + 1e-9).floor() as u32).collect();
    let mut left =
        supply - claims.iter().zip(&volumes).map(|(c, v)| c.task_size * f64::from(*v)).sum::<f64>();
    // Leftover units go to claims below their demand, one each, by priority.
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by(|a, b| claims[*b].priority.total_cmp(&claims[*a].priority));
    for i in order {
        if volumes[i] < claims[i].max_tasks && claims[i].task_size <= left + 1e-9 {
            volumes[i] += 1;
            left -= claims[i].task_size;
        }
    }
    volumes
}

#[cfg(test)]
mod tests {
    use rand::{RngExt, SeedableRng, rngs::StdRng};

    use super::*;

    /// The paper's conditions on random claims of unit size with a minimum of one task. C1: all demands are met or the
    /// supply is used up. C2: each volume is between 1 and the demand. C3: volumes are proportional to priorities, up
    /// to rounding.
    #[test]
    fn fair_volumes_meet_the_papers_three_conditions() {
        for seed in 0..400 {
            let mut rng = StdRng::seed_from_u64(seed);
            let n = rng.random_range(1..30usize);
            let supply = n as u32 + rng.random_range(0..200);
            let claims: Vec<Claim> = (0..n)
                .map(|_| Claim {
                    priority: [1.0, 4.0, 16.0, 64.0][rng.random_range(0..4)],
                    max_tasks: rng.random_range(1..40),
                    min_tasks: 1,
                    task_size: 1.0,
                })
                .collect();
            let volumes = fair_volumes(&claims, f64::from(supply));
            let total: u32 = volumes.iter().sum();
            let satisfied = claims.iter().zip(&volumes).all(|(c, v)| *v == c.max_tasks);
            assert!(satisfied || total == supply, "C1: {total} of {supply}, seed {seed}");
            for (c, v) in claims.iter().zip(&volumes) {
                assert!((1..=c.max_tasks).contains(v), "C2, seed {seed}");
            }
            for (a, va) in claims.iter().zip(&volumes) {
                for (b, vb) in claims.iter().zip(&volumes) {
                    if a.priority >= b.priority && *va < a.max_tasks && *vb > 1 {
                        let fair = f64::from(*vb - 1) * a.priority / b.priority;
                        assert!(f64::from(*va) + 1.0 >= fair, "C3: {va} against {vb}, seed {seed}");
                    }
                }
            }
        }
    }

    #[test]
    fn fair_volumes_match_the_papers_example() {
        let claim = |priority, max_tasks| Claim { priority, max_tasks, min_tasks: 1, task_size: 1.0 };
        // With alpha = 0.8 the volumes are 0.8 (raised to 1), 1.6, 2.4 and 2, the last one capped by its demand.
        let claims = [claim(1.0, 4), claim(2.0, 5), claim(3.0, 5), claim(4.0, 2)];
        assert_eq!(fair_volumes(&claims, 7.0), [1, 1, 3, 2]);
    }

    #[test]
    fn gangs_receive_all_their_tasks() {
        let gang = Claim { priority: 1.0, max_tasks: 8, min_tasks: 8, task_size: 2.0 };
        let array = Claim { priority: 4.0, max_tasks: 50, min_tasks: 1, task_size: 1.0 };
        assert_eq!(fair_volumes(&[gang, array], 30.0), [8, 14]);
    }
}
