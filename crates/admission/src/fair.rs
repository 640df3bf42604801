//! Weighted max-min fairness (water filling; Bertsekas and Gallager, Data Networks, 6.5.2).

/// One claimant in a division.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Party {
    /// The most it can use, in the unit that is divided.
    pub demand: f64,
    /// Its share relative to the other claimants' as long as none is satisfied; above 0.
    pub weight: f64,
}

/// Divides `supply` so that no claimant's share per weight could be raised without lowering that of a claimant whose
/// share per weight is no larger. What one claimant leaves unused goes to the others.
pub fn shares(parties: &[Party], supply: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..parties.len()).collect();
    let level = |i: usize| parties[i].demand.max(0.0) / parties[i].weight;
    order.sort_by(|a, b| level(*a).total_cmp(&level(*b)));
    let mut left = supply.max(0.0);
    let mut weights: f64 = parties.iter().map(|p| p.weight).sum();
    let mut shares = vec![0.0; parties.len()];
    for i in order {
        let part = if weights > 0.0 { left * parties[i].weight / weights } else { 0.0 };
        shares[i] = parties[i].demand.max(0.0).min(part);
        left -= shares[i];
        weights -= parties[i].weight;
    }
    shares
}

#[cfg(test)]
mod tests {
    use rand::{RngExt, SeedableRng, rngs::StdRng};

    use super::*;

    /// The defining property: a claimant that is not satisfied has at least as much per weight as any other.
    #[test]
    fn nobody_short_has_less_per_weight_than_another() {
        for seed in 0..500 {
            let mut rng = StdRng::seed_from_u64(seed);
            let n = rng.random_range(1..20);
            let party = |rng: &mut StdRng| Party {
                demand: rng.random_range(0.0..100.0),
                weight: rng.random_range(0.1..10.0),
            };
            let parties: Vec<Party> = (0..n).map(|_| party(&mut rng)).collect();
            let supply = rng.random_range(0.0..800.0);
            let got = shares(&parties, supply);
            let wanted: f64 = parties.iter().map(|p| p.demand).sum();
            let total: f64 = got.iter().sum();
            assert!((total - wanted.min(supply)).abs() < 1e-6, "seed {seed}: {total} given out");
            for (a, x) in parties.iter().zip(&got) {
                assert!(*x <= a.demand + 1e-9, "seed {seed}");
                for (b, y) in parties.iter().zip(&got) {
                    let short = *x < a.demand - 1e-6;
                    assert!(!short || x / a.weight >= y / b.weight - 1e-6, "seed {seed}: {a:?} beside {b:?}");
                }
            }
        }
    }
}
