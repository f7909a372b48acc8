//! Max-min fair division.

/// What someone asks for of something that is shared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Weight of its share, above 0.
    pub weight: f64,
    /// The most that it takes.
    pub demand: f64,
}

impl Claim {
    fn relative_demand(&self) -> f64 {
        self.demand / self.weight
    }
}

/// Returns the share of one unit of weight in `capacity`: everyone gets its demand or its weight times this level,
/// whichever is less, and together they get all. Infinite if the capacity covers all demands.
#[must_use]
pub fn max_min_level(claims: &[Claim], capacity: f64) -> f64 {
    let mut claims = claims.to_vec();
    claims.sort_by(|a, b| a.relative_demand().total_cmp(&b.relative_demand()));
    let mut weight = claims.iter().map(|claim| claim.weight).sum::<f64>();
    let mut left = capacity;
    for claim in claims {
        if claim.demand * weight > left * claim.weight {
            return left / weight;
        }
        left -= claim.demand;
        weight -= claim.weight;
    }
    f64::INFINITY
}
