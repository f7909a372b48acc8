//! Clocks that drift, and what the network and the platform do to messages and calls.

use bluebellstage_core::Time;

/// Microseconds in a millisecond.
pub const MS: u64 = 1_000;

/// An instance's monotonic clock against the world's.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Reading at the world's start.
    pub offset: u64,
    /// How much faster than the world's, in parts per million.
    pub ppm: i64,
}

impl Clock {
    pub fn read(self, real: u64) -> Time {
        let real = i128::from(real);
        let local = real + real * i128::from(self.ppm) / 1_000_000;
        Time(self.offset + u64::try_from(local).expect("time is not negative"))
    }

    /// The first time of the world at which the clock shows `local` or later.
    pub fn world_time(self, local: Time) -> u64 {
        let since = i128::from(local.0.saturating_sub(self.offset));
        let mut real = u64::try_from(since * 1_000_000 / (1_000_000 + i128::from(self.ppm)))
            .expect("time is not negative");
        while self.read(real) < local {
            real += 1;
        }
        real
    }
}

/// How the network treats messages, and the platform's calls.
#[derive(Clone, Debug)]
pub struct Weather {
    /// Share of messages lost, in percent.
    pub loss: u8,
    /// Share of messages doubled, in percent.
    pub doubled: u8,
    /// Longest delay of a message, in milliseconds.
    pub delay: u64,
    /// What the platform does.
    pub platform: PlatformState,
}

/// What the platform does with calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformState {
    /// It answers within milliseconds.
    Well,
    /// It refuses everything.
    Away,
    /// It answers nothing and does nothing.
    Hanging,
    /// It takes up to three seconds, also after the caller gave up.
    Slow,
    /// It does what it is asked; half of the answers are lost.
    LosesAnswers,
}

impl Default for Weather {
    fn default() -> Self {
        Self {
            loss: 0,
            doubled: 0,
            delay: 2,
            platform: PlatformState::Well,
        }
    }
}
