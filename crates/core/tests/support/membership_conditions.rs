//! Simulated conditions: clock drift, and faults of the network and the platform.

use bluebellstage_core::Time;

/// Microseconds in a millisecond.
pub const MS: u64 = 1_000;

/// An instance's monotonic clock, relative to the simulation time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Reading at the start of the simulation, in microseconds.
    pub offset: u64,
    /// Drift against the simulation time, in parts per million; positive is faster.
    pub ppm: i64,
}

impl Clock {
    /// Returns the reading of the clock at `simulation_time`.
    pub fn read(self, simulation_time: u64) -> Time {
        let simulation_time = i128::from(simulation_time);
        let local = simulation_time + simulation_time * i128::from(self.ppm) / 1_000_000;
        Time(self.offset + u64::try_from(local).expect("time is not negative"))
    }

    /// Returns the first simulation time at which the clock reads `local` or later.
    pub fn simulation_time_at(self, local: Time) -> u64 {
        let since = i128::from(local.0.saturating_sub(self.offset));
        let mut simulation_time =
            u64::try_from(since * 1_000_000 / (1_000_000 + i128::from(self.ppm)))
                .expect("time is not negative");
        while self.read(simulation_time) < local {
            simulation_time += 1;
        }
        simulation_time
    }
}

/// Conditions of the network and the platform.
#[derive(Clone, Debug)]
pub struct Conditions {
    /// Probability that a message is lost, in percent.
    pub loss_percent: u8,
    /// Probability that a message is duplicated, in percent.
    pub duplicated_percent: u8,
    /// Maximum delay of a message, in milliseconds.
    pub max_delay_ms: u64,
    /// State of the platform.
    pub platform: PlatformState,
}

/// How the platform handles calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformState {
    /// Responds within milliseconds.
    Healthy,
    /// Rejects every call.
    Unavailable,
    /// Executes no call and never responds.
    Hanging,
    /// Takes up to three seconds, and executes calls that have timed out too.
    Slow,
    /// Executes calls, but half of the responses are lost.
    LosesResponses,
}

impl Default for Conditions {
    fn default() -> Self {
        Self {
            loss_percent: 0,
            duplicated_percent: 0,
            max_delay_ms: 2,
            platform: PlatformState::Healthy,
        }
    }
}
