//! The share-out of the fleet's slots by tenants' weights: who has how many, if all that is said is believed as far
//! as it may be.

/// Fills `pool` into wants by weight: nobody gets more than it wants, and whoever gets less has as much for its
/// weight as anybody. What is left over is wanted by none.
pub fn fill(pool: f64, wants: &[(f64, f64)]) -> Vec<f64> {
    let mut given = vec![0.0; wants.len()];
    let mut left = pool.max(0.0);
    // Those whose want is small for their weight are served first; the rest share what remains.
    let mut order: Vec<usize> = (0..wants.len()).filter(|&i| wants[i].0 > 0.0 && wants[i].1 > 0.0).collect();
    order.sort_by(|&a, &b| (wants[a].1 / wants[a].0).total_cmp(&(wants[b].1 / wants[b].0)).then(a.cmp(&b)));
    let mut weights: f64 = order.iter().map(|&i| wants[i].0).sum();
    for i in order {
        let (weight, want) = wants[i];
        given[i] = want.min(left * weight / weights.max(weight));
        left -= given[i];
        weights -= weight;
    }
    given
}

/// A dispatcher's demand: weight and slots wanted for each tenant, in one order for all, and slots in use.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Demand {
    /// Slots that it could fill now, by tenant.
    pub wants: Vec<f64>,
    /// Slots that it has filled.
    pub used: f64,
}

/// What a dispatcher's word is believed for: an equal part of all slots on top of what it uses already. So one that
/// says too much gains no more than that part at a time, and one that needs more comes to it part by part.
pub fn believed(total: f64, peers: f64, weights: &[f64], demand: &Demand) -> Vec<f64> {
    let cap = total / peers.max(1.0) + demand.used.min(total);
    let wants: Vec<(f64, f64)> = weights.iter().copied().zip(demand.wants.iter().copied()).collect();
    fill(cap, &wants)
}

/// What a tenant is due.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Due {
    /// Slots at the dispatcher that asks.
    pub here: f64,
    /// Slots in the whole fleet.
    pub fleet: f64,
    /// It gets all that it wants, or nearly: it is within its share.
    pub content: bool,
}

/// What each tenant is due in the fleet and at the first of `demands`. `peers` are all dispatchers; those not heard
/// of are left an equal part each.
pub fn dues(total: f64, peers: f64, weights: &[f64], demands: &[Demand]) -> Vec<Due> {
    let pool = total * (demands.len() as f64 / peers.max(1.0)).min(1.0);
    let all: Vec<Vec<f64>> = demands.iter().map(|d| believed(total, peers, weights, d)).collect();
    let sums: Vec<f64> = (0..weights.len()).map(|t| all.iter().map(|d| d[t]).sum()).collect();
    let wants: Vec<(f64, f64)> = weights.iter().copied().zip(sums.iter().copied()).collect();
    let given = fill(pool, &wants);
    let Some(mine) = all.first() else { return Vec::new() };
    let due = |t: usize| {
        let part = if sums[t] > 0.0 { mine[t] / sums[t] } else { 0.0 };
        Due { here: given[t] * part, fleet: given[t], content: given[t] > 0.99 * sums[t] }
    };
    (0..weights.len()).map(due).collect()
}
