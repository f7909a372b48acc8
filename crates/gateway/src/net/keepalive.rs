//! When a connection over a network that no longer answers is given up.
//!
//! On Linux, a user timeout also decides when keep-alive probes give up: a connection ends once a probe is
//! unanswered and nothing has arrived for as long as the user timeout, whatever the number of probes. It must be
//! so much longer than the idle time before the first probe that several probes can go unanswered: a sound
//! target may be silent for about a second.

use std::time::Duration;

/// Idle time before the first keep-alive probe.
pub const IDLE: Duration = Duration::from_secs(2);
/// Interval between two probes.
pub const INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which a connection ends. With a user timeout set, Linux does not use it.
pub const RETRIES: u32 = 3;
/// Time after which unacknowledged bytes end a connection, or a probe if nothing else has arrived.
pub const USER_TIMEOUT: Duration = Duration::from_millis(4_500);
