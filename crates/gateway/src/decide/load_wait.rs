//! How long a request waits for its adapter.

use std::time::Duration;

/// Pause after which a request that waits for a load asks for it again; datagrams get lost.
pub const ASK_AGAIN: Duration = Duration::from_millis(60);
/// Longest time to ask for an adapter, in parts of what the caller waits.
const ASKING_PART: f64 = 0.4;
/// The same at all. Callers give a stream up after two seconds without an event; one that is told
/// earlier comes back.
const LONGEST_ASKING: Duration = Duration::from_millis(1_050);
/// The same in parts of the route's target latency, while many adapters wait for the weight store. A
/// load that comes later serves its request late, and takes the turn of one that would be in time.
const CROWDED_ASKING: f64 = 0.4;
/// How long a request that asks no more waits for a load that may be under way: a load at full speed,
/// and a little more as holders know of each other late. Refused while its load came, it left a place
/// taken for nobody.
const LOAD_UNDER_WAY: Duration = Duration::from_millis(350);

/// What a request does that waits for its adapter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadWait {
    /// Ask for the load, again or for the first time.
    Ask,
    /// Wait for what may be under way.
    Wait,
    /// Be refused.
    GiveUp,
}

/// What a request does that has `waited` for its adapter and whose caller waits for `patience`;
/// `crowded`: many adapters wait for the weight store.
#[must_use]
pub fn load_wait(
    waited: Duration,
    patience: Duration,
    target_latency: Duration,
    crowded: bool,
) -> LoadWait {
    let most = if crowded {
        target_latency.mul_f64(CROWDED_ASKING)
    } else {
        LONGEST_ASKING
    };
    let asking = patience.mul_f64(ASKING_PART).min(most);
    if waited <= asking {
        LoadWait::Ask
    } else if waited <= asking + LOAD_UNDER_WAY {
        LoadWait::Wait
    } else {
        LoadWait::GiveUp
    }
}
