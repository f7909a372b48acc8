//! Max-min fair division.

/// Returns the max-min fair level: the largest part up to which each demand can be met so that all together stay
/// within `capacity`. It is `u64::MAX` if all demands can be met in full.
pub fn fair_level(demands: impl Iterator<Item = u64>, capacity: u64) -> u64 {
    let mut demands = demands.collect::<Vec<_>>();
    demands.sort_unstable();
    let mut left = capacity;
    let mut count = u64::try_from(demands.len()).unwrap_or(u64::MAX);
    for demand in demands {
        let part = left / count;
        if demand > part {
            return part;
        }
        left -= demand;
        count -= 1;
    }
    u64::MAX
}
