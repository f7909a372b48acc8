//! Every setting with its unit, default and bounds; docs/SETTINGS.md is held to this by a test.

use std::fmt;

/// What a number counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unit {
    /// Thousandths of a second.
    Milliseconds,
    /// Seconds.
    Seconds,
    /// Bytes.
    Bytes,
    /// Loads a second.
    LoadsPerSecond,
    /// Loads.
    Loads,
    /// Messages.
    Messages,
}

impl fmt::Display for Unit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Milliseconds => "ms",
            Self::Seconds => "s",
            Self::Bytes => "bytes",
            Self::LoadsPerSecond => "loads/s",
            Self::Loads => "loads",
            Self::Messages => "messages",
        })
    }
}

/// A setting that is a whole number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Number {
    /// Its key, with its section.
    pub key: &'static str,
    /// What it counts.
    pub unit: Unit,
    /// Its value where the file doesn't name it.
    pub default: u64,
    /// The least it may be.
    pub min: u64,
    /// The most it may be.
    pub max: u64,
}

/// A setting that is text.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Text {
    /// Its key, with its section.
    pub key: &'static str,
    /// What it takes.
    pub form: &'static str,
    /// Its value where the file doesn't name it; none where the file must.
    pub default: Option<&'static str>,
}

const fn number(key: &'static str, unit: Unit, default: u64, min: u64, max: u64) -> Number {
    Number {
        key,
        unit,
        default,
        min,
        max,
    }
}

const fn text(key: &'static str, form: &'static str, default: Option<&'static str>) -> Text {
    Text { key, form, default }
}

use Unit::{Bytes, Loads, LoadsPerSecond, Messages, Milliseconds, Seconds};

pub(super) const PLATFORM_TIMEOUT: Number =
    number("platform.timeout_ms", Milliseconds, 1_000, 50, 10_000);
pub(super) const HEARTBEAT: Number = number("timing.heartbeat_ms", Milliseconds, 400, 20, 5_000);
pub(super) const SUSPECT: Number = number("timing.suspect_ms", Milliseconds, 1_600, 100, 60_000);
pub(super) const STANDING: Number = number("timing.standing_ms", Milliseconds, 2_000, 200, 10_000);
pub(super) const DRIFT: Number = number("timing.drift_ms", Milliseconds, 50, 1, 1_000);
pub(super) const MAP_READ: Number = number("timing.map_read_ms", Milliseconds, 1_000, 50, 5_000);
pub(super) const LIST: Number = number("timing.list_ms", Milliseconds, 2_000, 100, 60_000);
pub(super) const ENTRY_MAX_AGE: Number =
    number("timing.entry_max_age_ms", Milliseconds, 2_000, 100, 60_000);
pub(super) const RATE_PATIENCE: Number =
    number("timing.rate_patience_ms", Milliseconds, 1_000, 1, 30_000);
pub(super) const QUEUE_PATIENCE: Number = number(
    "timing.queue_patience_ms",
    Milliseconds,
    30_000,
    100,
    600_000,
);
pub(super) const PERMIT_START: Number =
    number("timing.permit_start_ms", Milliseconds, 1_000, 50, 10_000);
pub(super) const OUTCOME_RETENTION: Number =
    number("timing.outcome_retention_s", Seconds, 86_400, 60, 2_592_000);
pub(super) const REPORT: Number = number("timing.report_ms", Milliseconds, 500, 50, 10_000);
pub(super) const STORE_RATE: Number = number(
    "weight_store.loads_per_second",
    LoadsPerSecond,
    3,
    1,
    10_000,
);
pub(super) const STORE_IN_FLIGHT: Number = number("weight_store.in_flight", Loads, 8, 1, 10_000);
pub(super) const BODY_BYTES: Number =
    number("limits.body_bytes", Bytes, 1_048_576, 1_024, 67_108_864);
pub(super) const BODY_MEMORY_BYTES: Number = number(
    "limits.body_memory_bytes",
    Bytes,
    67_108_864,
    8_388_608,
    68_719_476_736,
);
pub(super) const BODY_TIMEOUT: Number =
    number("limits.body_timeout_ms", Milliseconds, 10_000, 100, 300_000);
pub(super) const KEEP_ALIVE: Number =
    number("limits.keep_alive_ms", Milliseconds, 1_000, 50, 30_000);
pub(super) const CONNECT_TIMEOUT: Number =
    number("limits.connect_timeout_ms", Milliseconds, 1_000, 20, 30_000);
pub(super) const ENGINE_SILENCE: Number = number(
    "limits.engine_silence_ms",
    Milliseconds,
    15_000,
    100,
    300_000,
);
pub(super) const SERVICE_TIMEOUT: Number = number(
    "limits.service_timeout_ms",
    Milliseconds,
    30_000,
    100,
    600_000,
);
pub(super) const SERVICE_ANSWER_BYTES: Number = number(
    "limits.service_answer_bytes",
    Bytes,
    16_777_216,
    1_024,
    268_435_456,
);
pub(super) const ORDER_TIMEOUT: Number = number(
    "limits.order_timeout_ms",
    Milliseconds,
    30_000,
    100,
    300_000,
);
pub(super) const PEER_QUEUE: Number = number("limits.peer_queue", Messages, 16_384, 64, 1_048_576);
pub(super) const FLUSH_TIMEOUT: Number =
    number("limits.flush_timeout_ms", Milliseconds, 30_000, 0, 600_000);

/// All settings that are whole numbers.
pub const NUMBERS: &[Number] = &[
    PLATFORM_TIMEOUT,
    HEARTBEAT,
    SUSPECT,
    STANDING,
    DRIFT,
    MAP_READ,
    LIST,
    ENTRY_MAX_AGE,
    RATE_PATIENCE,
    QUEUE_PATIENCE,
    PERMIT_START,
    OUTCOME_RETENTION,
    REPORT,
    STORE_RATE,
    STORE_IN_FLIGHT,
    BODY_BYTES,
    BODY_MEMORY_BYTES,
    BODY_TIMEOUT,
    KEEP_ALIVE,
    CONNECT_TIMEOUT,
    ENGINE_SILENCE,
    SERVICE_TIMEOUT,
    SERVICE_ANSWER_BYTES,
    ORDER_TIMEOUT,
    PEER_QUEUE,
    FLUSH_TIMEOUT,
];

const ADDRESS: &str = "IP number and port";

/// All settings that are text.
pub const TEXTS: &[Text] = &[
    text("instance", "name", None),
    text("failure_domain", "name", None),
    text("caller_address", ADDRESS, None),
    text("peer_address", ADDRESS, None),
    text("admin_address", ADDRESS, None),
    text(
        "admin_tokens",
        "list of SHA-256 digests, 64 hex digits each",
        None,
    ),
    text("platform.url", "`http://` and host, port", None),
    text("platform.namespace", "name", Some("bluebellstage")),
    text("platform.pod", "name", Some("the instance's name")),
    text(
        "policies.grouping",
        "`engine`, `failure_domain` or `pool`",
        Some("failure_domain"),
    ),
    text(
        "policies.placement",
        "`affinity`, `random`, `least_loaded` or `hash_only`",
        Some("affinity"),
    ),
    text("policies.queue", "`fair` or `first_come`", Some("fair")),
    text(
        "policies.rates",
        "`shares`, `even_split` or `round_trip`",
        Some("shares"),
    ),
];
