//! Weighted max-min fairness (water filling; Bertsekas and Gallager, Data Networks, 6.5.2).

/// One claimant in a division.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claimant {
    /// The most it can use, in the unit that is divided.
    pub demand: f64,
    /// Its share relative to the other claimants' as long as none is satisfied; above 0.
    pub weight: f64,
}

/// Divides `supply` so that no claimant's share per weight could be raised without lowering that of a claimant whose
/// share per weight is no larger. What one claimant leaves unused goes to the others.
pub fn shares(claimants: &[Claimant], supply: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..claimants.len()).collect();
    let demand_per_weight = |i: usize| claimants[i].demand.max(0.0) / claimants[i].weight;
    order.sort_by(|a, b| demand_per_weight(*a).total_cmp(&demand_per_weight(*b)));
    let mut left = supply.max(0.0);
    let mut weights: f64 = claimants.iter().map(|p| p.weight).sum();
    let mut shares = vec![0.0; claimants.len()];
    for i in order {
        let entitled = if weights > 0.0 { left * claimants[i].weight / weights } else { 0.0 };
        shares[i] = claimants[i].demand.max(0.0).min(entitled);
        left -= shares[i];
        weights -= claimants[i].weight;
    }
    shares
}

#[cfg(test)]
mod tests {
    use rand::{RngExt, SeedableRng, rngs::StdRng};

    use super::*;

    /// The defining property: a claimant that is not satisfied has at least as much per weight as any other.
    #[test]
    fn no_unsatisfied_claimant_has_less_per_weight_than_another() {
        for seed in 0..500 {
            let mut rng = StdRng::seed_from_u64(seed);
            let n = rng.random_range(1..20);
            let claimant = |rng: &mut StdRng| Claimant {
                demand: rng.random_range(0.0..100.0),
                weight: rng.random_range(0.1..10.0),
            };
            let claimants: Vec<Claimant> = (0..n).map(|_| claimant(&mut rng)).collect();
            let supply = rng.random_range(0.0..800.0);
            let allocated = shares(&claimants, supply);
            let total_demand: f64 = claimants.iter().map(|p| p.demand).sum();
            let total: f64 = allocated.iter().sum();
            assert!((total - total_demand.min(supply)).abs() < 1e-6, "seed {seed}: {total} allocated");
            for (a, x) in claimants.iter().zip(&allocated) {
                assert!(*x <= a.demand + 1e-9, "seed {seed}");
                for (b, y) in claimants.iter().zip(&allocated) {
                    let unsatisfied = *x < a.demand - 1e-6;
                    assert!(
                        !unsatisfied || x / a.weight >= y / b.weight - 1e-6,
                        "seed {seed}: {a:?} beside {b:?}"
                    );
                }
            }
        }
    }
}
