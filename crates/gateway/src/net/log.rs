//! The numbered log events of the gateway; docs/EVENTS.md is held to this list by a test.

use std::sync::Mutex;
use std::time::{Duration, Instant};

pub use bluebellstage_telemetry::LOG_TARGET;

/// Events about requests and orders that are written in one second; more are counted and left out, so that a
/// storm of refusals doesn't spend the processor on telling of it.
const REQUEST_EVENTS_PER_SECOND: u32 = 60;

/// Events from this number on come with each request or order to an engine.
const FIRST_FREQUENT_CODE: u16 = 3_303;

bluebellstage_telemetry::log_events! {
    /// The instance serves.
    Started = 3001, Info, "instance started";
    /// A planned stop was asked for.
    StopAsked = 3002, Info, "planned stop asked for";
    /// The instance ends.
    Stopped = 3003, Info, "instance stopped";
    /// A socket option can't be set.
    SocketOption = 3004, Warn, "socket option can't be set";
    /// A datagram was dropped because too many wait.
    DatagramDropped = 3005, Warn, "datagram dropped: too many wait";
    /// A datagram doesn't parse.
    DatagramMalformed = 3006, Warn, "datagram doesn't parse";
    /// Events were left out.
    EventsLeftOut = 3007, Warn, "log events left out";
    /// A new connection can't be accepted.
    AcceptFailed = 3008, Warn, "connection can't be accepted";
    /// The metrics' port can't be opened.
    MetricsPortRefused = 3009, Warn, "metrics port can't be opened";

    /// Settings were read again.
    SettingsReloaded = 3010, Info, "settings read again";
    /// Settings can't be used; those in force stay.
    SettingsRefused = 3011, Warn, "settings refused";

    /// A newer configuration is in force.
    ConfigAdopted = 3101, Info, "configuration in force";
    /// A target registered.
    TargetAdded = 3102, Info, "target registered";
    /// A target leaves.
    TargetLeaving = 3103, Info, "target leaves: no new work for it";
    /// A target's registration is gone.
    TargetGone = 3104, Info, "target's registration is gone";
    /// An object names nothing.
    ObjectMalformed = 3105, Warn, "object doesn't parse and is ignored";
    /// A newer version of an adapter was announced.
    VersionAnnounced = 3106, Info, "adapter version announced";
    /// A target is left alone for a while.
    TargetEjected = 3107, Warn, "target ejected";
    /// A target's process ended while it ran requests.
    TargetEnded = 3108, Warn, "target ended under requests";
    /// A request is no longer sent to targets.
    RequestQuarantined = 3109, Warn, "request quarantined: targets end under it";
    /// A quarantined request is sent to targets again.
    QuarantineCleared = 3110, Info, "quarantined request let through again";
    /// A target named a limit, or another one.
    TargetLimited = 3111, Warn, "target names a limit";
    /// A target names no limit any more.
    TargetUnlimited = 3112, Info, "target names no limit any more";

    /// The store can't be reached.
    StoreLost = 3201, Warn, "store can't be reached";
    /// The store answers again.
    StoreBack = 3202, Info, "store answers again";
    /// A peer's copy was taken over.
    PeerCopyTaken = 3203, Info, "newer state taken from a peer";
    /// A peer's copy can't be read.
    PeerCopyFailed = 3204, Warn, "peer's state can't be read";
    /// A list or watch of the store ended.
    StoreCallEnded = 3205, Debug, "call to the store ended";
    /// This instance begins or ends to follow the store.
    FollowChanged = 3206, Info, "store is followed here, or no longer";
    /// This instance begins or ends to relay news.
    RelayChanged = 3207, Info, "news are relayed here, or no longer";

    /// A loader shard is held.
    LeaseTaken = 3301, Info, "loader lease taken";
    /// A loader shard is no longer held.
    LeaseLost = 3302, Warn, "loader lease lost";
    /// A load or unload was ordered.
    OrderSent = 3303, Debug, "order sent to engine";
    /// An engine did not take an order.
    OrderFailed = 3304, Info, "order not taken by engine";

    /// A request was refused.
    RequestRefused = 3401, Info, "request refused";
    /// A target did not run a request; it goes elsewhere.
    RequestNotRun = 3402, Info, "target did not run request";
    /// An attempt failed.
    AttemptFailed = 3403, Info, "attempt failed";
    /// A stream goes on at another target.
    StreamResumed = 3404, Info, "stream goes on at another target";
    /// A stream broke off and can't go on.
    StreamBroken = 3405, Warn, "stream broken off";
    /// A target's limit is no number.
    LimitMalformed = 3407, Info, "target's limit is no number";
    /// A request was answered.
    RequestAnswered = 3406, Debug, "request answered";
}

impl LogEvent {
    /// Whether it comes with each request or order, so that its volume must be bounded.
    #[must_use]
    pub const fn is_frequent(self) -> bool {
        self.code() >= FIRST_FREQUENT_CODE
    }
}

struct RateLimit {
    window_start: Option<Instant>,
    written: u32,
    left_out: u32,
}

static RATE_LIMIT: Mutex<RateLimit> = Mutex::new(RateLimit {
    window_start: None,
    written: 0,
    left_out: 0,
});

/// Writes an event with its fields.
pub fn event(event: LogEvent, fields: &[(&'static str, &str)]) {
    if !log::log_enabled!(target: LOG_TARGET, event.level()) {
        return;
    }
    if event.is_frequent() && !is_within_rate_limit() {
        return;
    }
    write(event, fields);
}

fn write(event: LogEvent, fields: &[(&'static str, &str)]) {
    let code = event.code();
    let pairs = fields
        .iter()
        .map(|(name, value)| (*name, log::kv::Value::from(*value)))
        .collect::<Vec<_>>();
    log::logger().log(
        &log::Record::builder()
            .args(format_args!("{}", event.summary()))
            .level(event.level())
            .target(LOG_TARGET)
            .key_values(&Fields {
                code,
                pairs: &pairs,
            })
            .build(),
    );
}

struct Fields<'a> {
    code: u16,
    pairs: &'a [(&'static str, log::kv::Value<'a>)],
}

impl log::kv::Source for Fields<'_> {
    fn visit<'kvs>(
        &'kvs self,
        visitor: &mut dyn log::kv::VisitSource<'kvs>,
    ) -> Result<(), log::kv::Error> {
        visitor.visit_pair("code".into(), self.code.into())?;
        for (name, value) in self.pairs {
            visitor.visit_pair((*name).into(), value.clone())?;
        }
        Ok(())
    }
}

fn is_within_rate_limit() -> bool {
    let mut rate_limit = RATE_LIMIT
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let is_new_window = rate_limit
        .window_start
        .is_none_or(|window_start| window_start.elapsed() > Duration::from_secs(1));
    if is_new_window {
        let left_out = std::mem::take(&mut rate_limit.left_out);
        rate_limit.window_start = Some(Instant::now());
        rate_limit.written = 0;
        if left_out > 0 {
            write(LogEvent::EventsLeftOut, &[("count", &left_out.to_string())]);
        }
    }
    if rate_limit.written >= REQUEST_EVENTS_PER_SECOND {
        rate_limit.left_out += 1;
        return false;
    }
    rate_limit.written += 1;
    true
}
