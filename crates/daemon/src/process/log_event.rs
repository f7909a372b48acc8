//! The numbered log events; docs/EVENTS.md is held to this list by a test.

pub(crate) use bluebellstage_telemetry::LOG_TARGET;

bluebellstage_telemetry::log_events! {
    /// The ports are open and the instance is joining.
    Started = 1001, Info, "instance started", ["instance", "incarnation", "caller", "peer", "admin"];
    /// A planned stop was asked for.
    StopAsked = 1002, Info, "planned stop asked for", ["by"];
    /// Homes are handed over and the map entry is gone.
    Drained = 1003, Info, "drained; waiting for open answers", ["requests"];
    /// The process ends.
    Stopped = 1004, Info, "instance stopped", ["waited_ms"];
    /// Connections were still open when the flush timeout ran out.
    FlushTimeout = 1005, Warn, "connections still open at the end of the flush timeout", ["connections"];
    /// A port could not be opened.
    PortRefused = 1006, Error, "port can't be opened", ["address", "cause"];

    /// A newer map is in force.
    MapAdopted = 1101, Info, "map adopted", ["revision", "members"];
    /// Standing was lost.
    StandingLost = 1102, Warn, "standing lost: not acting as a home", [];
    /// Standing is back.
    StandingRegained = 1103, Info, "standing regained", [];
    /// A peer is silent.
    PeerSuspected = 1104, Warn, "peer is silent and proposed to be dropped", ["peer"];
    /// A failure domain has no instance left.
    DomainLost = 1105, Error, "failure domain lost all its instances", ["failure_domain"];
    /// A workspace's share moved.
    ShareMoved = 1106, Debug, "share of a rate moved", ["call"];
    /// The map's terms hold, not this instance's settings.
    TermsDiffer = 1107, Warn, "settings differ from the map's terms, which hold", ["standing_ms", "drift_ms"];

    /// A newer catalogue is in force.
    CatalogueAdopted = 1201, Info, "catalogue adopted", ["revision"];
    /// An operator's change was decided.
    ChangeDecided = 1202, Info, "catalogue change decided", ["change", "outcome"];
    /// A platform object does not parse.
    ObjectMalformed = 1203, Error, "platform object does not parse", ["object"];
    /// The platform showed an older catalogue than the one in force.
    CatalogueBehind = 1204, Error, "platform shows an older catalogue; it is ignored", ["revision"];

    /// The platform can't be reached.
    PlatformLost = 1301, Warn, "platform call failed", ["call", "cause"];
    /// The platform answers again.
    PlatformBack = 1302, Info, "platform answers again", [];
    /// The watch ended and is opened again.
    WatchEnded = 1303, Debug, "watch ended", ["cause"];
    /// A pod in a list lacks what it must have.
    PodMalformed = 1304, Warn, "pod in the platform's list is malformed", ["pod", "cause"];
    /// The own pod is not there.
    PodMissing = 1305, Warn, "own pod is unknown to the platform", ["pod"];

    /// A peer can't be reached.
    PeerLost = 1401, Warn, "peer can't be reached", ["peer", "cause"];
    /// A peer answers again.
    PeerBack = 1402, Info, "peer reached", ["peer"];

    /// A load was ordered.
    LoadOrdered = 1501, Info, "adapter load ordered", ["target", "adapter"];
    /// A load ended.
    LoadEnded = 1502, Info, "adapter load ended", ["target", "adapter", "loaded"];
    /// An adapter was ordered out.
    Evicted = 1503, Info, "adapter evicted", ["target", "adapter"];
    /// An engine refused an old fencing number.
    OrderFenced = 1504, Warn, "engine refused an old fencing number", ["target"];
    /// An engine restarted.
    EngineRestarted = 1505, Warn, "engine restarted: its slots are empty", ["target"];
    /// An engine ran another adapter or version than asked.
    WrongAdapter = 1506, Error, "engine ran another adapter or version", ["request", "target", "asked"];

    /// A request was answered.
    RequestEnded = 1601, Debug, "request answered", ["request", "tokens", "ms"];
    /// A request was refused.
    RequestRefused = 1602, Debug, "request refused", ["request", "kind", "ran"];
    /// A caller went away.
    CallerGone = 1603, Info, "caller went away; its work is cancelled", ["request", "delivered"];
    /// An answer broke off.
    AnswerBrokenOff = 1604, Warn, "answer broke off", ["request", "target", "delivered"];
    /// An answer goes on after a break.
    AnswerResumed = 1605, Info, "answer goes on after a break", ["request", "target", "delivered"];
    /// A stream was cut by a withdrawn key.
    StreamCut = 1606, Info, "stream cut: its key was withdrawn", ["request"];
    /// A call that may not be repeated is in doubt.
    CallInDoubt = 1607, Error, "call that may not be repeated is in doubt", ["request"];

    /// An operator's token was refused.
    TokenRefused = 1701, Warn, "operator token refused", ["remote"];
}

/// Writes a numbered event with its fields to the log.
macro_rules! log_event {
    ($event:ident $(, $field:literal = $value:expr)* $(,)?) => {{
        let event = $crate::process::LogEvent::$event;
        if ::log::log_enabled!(target: $crate::process::LOG_TARGET, event.level()) {
            ::log::logger().log(
                &::log::Record::builder()
                    .target($crate::process::LOG_TARGET)
                    .level(event.level())
                    .key_values(&[
                        ("code", ::log::kv::Value::from(event.code())),
                        $(($field, ::log::kv::Value::from_display(&$value)),)*
                    ])
                    .args(format_args!("{}", event.summary()))
                    .build(),
            );
            debug_assert_eq!(event.fields(), [$($field),*] as [&str; _], "fields of {event:?}");
        }
    }};
}

pub(crate) use log_event;
