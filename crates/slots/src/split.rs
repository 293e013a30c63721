//! Weighted max-min allocation of the fleet's slots to tenants. Each dispatcher's reported demand is accepted up to a
//! limit.

/// Divides `pool` over (weight, want) pairs by weighted max-min fairness: none gets more than it wants, and those that
/// get less than they want have the largest amount per weight. A remainder is left only if all wants are met.
pub fn fill(pool: f64, wants: &[(f64, f64)]) -> Vec<f64> {
    let mut given = vec![0.0; wants.len()];
    let mut left = pool.max(0.0);
    // The smallest wants per weight are met first; the others share what remains.
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

/// A dispatcher's demand: slots wanted per tenant, with the same order of tenants for all dispatchers, and slots in use.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Demand {
    /// Slots that it could use now, by tenant.
    pub wants: Vec<f64>,
    /// Slots in use.
    pub used: f64,
}

/// The accepted demand of a dispatcher: at most an equal part of all slots above its present use. A dispatcher that
/// overstates its demand gains no more than that part at a time, and one that needs more gets it step by step.
pub fn believed(total: f64, peers: f64, weights: &[f64], demand: &Demand) -> Vec<f64> {
    let cap = total / peers.max(1.0) + demand.used.min(total);
    let wants: Vec<(f64, f64)> = weights.iter().copied().zip(demand.wants.iter().copied()).collect();
    fill(cap, &wants)
}

/// The allocation of a tenant.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Due {
    /// Slots at the dispatcher that asks.
    pub here: f64,
    /// Slots in the whole fleet.
    pub fleet: f64,
    /// It gets nearly all that it wants, so that it is within its share.
    pub content: bool,
}

/// The allocation of each tenant in the fleet and at the first of `demands`. `peers` is the number of all dispatchers;
/// an equal part is left to each one without a report.
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
