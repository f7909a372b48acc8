//! From raw settings to checked ones.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use bluebellstage_core::{CoreError, InstanceId, Tuning};

use crate::connection::AdminToken;

use super::raw::{RawLimits, RawPlatform, RawSettings, RawTiming, Value};
use super::reference::{self as keys, Number};
use super::{Limits, PlatformSettings, Problem, Settings};

/// Checks everything and gives either whole settings or all that is wrong.
pub(super) fn check(raw: &RawSettings) -> Result<Settings, Vec<Problem>> {
    let mut check = Check::default();
    let settings = check.settings(raw);
    match (settings, check.problems) {
        (Some(settings), problems) if problems.is_empty() => Ok(settings),
        (_, problems) => Err(problems),
    }
}

/// Collects problems, so that one run names them all.
#[derive(Default)]
struct Check {
    problems: Vec<Problem>,
}

impl Check {
    fn settings(&mut self, raw: &RawSettings) -> Option<Settings> {
        let timing = self.timing(&raw.timing);
        let weight_store = (
            self.small(&raw.weight_store.loads_per_second, &keys::STORE_RATE),
            self.small(&raw.weight_store.in_flight, &keys::STORE_IN_FLIGHT),
        );
        let limits = self.limits(&raw.limits);
        let instance: Option<InstanceId> = self.id("instance", &raw.instance);
        let failure_domain = self.id("failure_domain", &raw.failure_domain);
        let addresses = self.addresses(raw);
        let admin_tokens = self.tokens(&raw.admin_tokens);
        let platform = self.platform(&raw.platform, instance.as_ref().map(InstanceId::as_str));
        let [caller_address, peer_address, admin_address] = addresses?;
        let (store_loads_per_second, store_in_flight) = weight_store;
        Some(Settings {
            instance: instance?,
            failure_domain: failure_domain?,
            caller_address,
            peer_address,
            admin_address,
            admin_tokens,
            platform: platform?,
            tuning: Tuning {
                store_loads_per_second,
                store_in_flight,
                grouping: raw.policies.grouping.unwrap_or(timing.grouping),
                placement: raw.policies.placement.unwrap_or(timing.placement),
                queue: raw.policies.queue.unwrap_or(timing.queue),
                rates: raw.policies.rates.unwrap_or(timing.rates),
                ..timing
            },
            limits,
        })
    }

    fn timing(&mut self, raw: &RawTiming) -> Tuning {
        let tuning = Tuning {
            heartbeat_interval: self.millis(&raw.heartbeat_ms, &keys::HEARTBEAT),
            suspect_after: self.millis(&raw.suspect_ms, &keys::SUSPECT),
            lease_duration: self.millis(&raw.standing_ms, &keys::STANDING),
            max_clock_drift: self.millis(&raw.drift_ms, &keys::DRIFT),
            map_read_interval: self.millis(&raw.map_read_ms, &keys::MAP_READ),
            list_interval: self.millis(&raw.list_ms, &keys::LIST),
            entry_max_age: self.millis(&raw.entry_max_age_ms, &keys::ENTRY_MAX_AGE),
            max_rate_wait: self.millis(&raw.rate_patience_ms, &keys::RATE_PATIENCE),
            max_queue_wait: self.millis(&raw.queue_patience_ms, &keys::QUEUE_PATIENCE),
            permit_start_timeout: self.millis(&raw.permit_start_ms, &keys::PERMIT_START),
            outcome_retention: Duration::from_secs(
                self.number(&raw.outcome_retention_s, &keys::OUTCOME_RETENTION),
            ),
            report_interval: self.millis(&raw.report_ms, &keys::REPORT),
            ..Tuning::default()
        };
        self.relations(raw, &tuning);
        tuning
    }

    /// Bounds that one setting puts on another.
    fn relations(&mut self, raw: &RawTiming, tuning: &Tuning) {
        if tuning.suspect_after < tuning.heartbeat_interval * 2 {
            self.problem(
                raw.suspect_ms.line().or(raw.heartbeat_ms.line()),
                keys::SUSPECT.key,
                "a single lost heartbeat would drop an instance",
                "set it to at least twice timing.heartbeat_ms",
            );
        }
        if tuning.lease_duration <= tuning.map_read_interval {
            self.problem(
                raw.standing_ms.line().or(raw.map_read_ms.line()),
                keys::STANDING.key,
                "standing would lapse between two reads of the map",
                "set it above timing.map_read_ms",
            );
        }
    }

    fn limits(&mut self, raw: &RawLimits) -> Limits {
        Limits {
            body_bytes: self.number(&raw.body_bytes, &keys::BODY_BYTES),
            body_memory_bytes: self.number(&raw.body_memory_bytes, &keys::BODY_MEMORY_BYTES),
            body_timeout: self.millis(&raw.body_timeout_ms, &keys::BODY_TIMEOUT),
            keep_alive: self.millis(&raw.keep_alive_ms, &keys::KEEP_ALIVE),
            connect_timeout: self.millis(&raw.connect_timeout_ms, &keys::CONNECT_TIMEOUT),
            engine_silence: self.millis(&raw.engine_silence_ms, &keys::ENGINE_SILENCE),
            service_timeout: self.millis(&raw.service_timeout_ms, &keys::SERVICE_TIMEOUT),
            service_answer_bytes: self
                .number(&raw.service_answer_bytes, &keys::SERVICE_ANSWER_BYTES),
            order_timeout: self.millis(&raw.order_timeout_ms, &keys::ORDER_TIMEOUT),
            peer_queue: usize::try_from(self.number(&raw.peer_queue, &keys::PEER_QUEUE))
                .unwrap_or(usize::MAX),
            flush_timeout: self.millis(&raw.flush_timeout_ms, &keys::FLUSH_TIMEOUT),
        }
    }

    fn platform(&mut self, raw: &RawPlatform, instance: Option<&str>) -> Option<PlatformSettings> {
        let timeout = self.millis(&raw.timeout_ms, &keys::PLATFORM_TIMEOUT);
        let url = self.url(&raw.url);
        let namespace = self.label("platform.namespace", &raw.namespace, Some("bluebellstage"));
        let pod = self.label("platform.pod", &raw.pod, instance);
        Some(PlatformSettings {
            url: url?,
            namespace: namespace?,
            pod: pod?,
            timeout,
        })
    }

    fn url(&mut self, raw: &Value<Box<str>>) -> Option<Box<str>> {
        let key = "platform.url";
        let value = self.required(key, raw)?;
        let trimmed = value.trim_end_matches('/');
        let parsed = reqwest::Url::parse(trimmed).ok();
        let legal = parsed.is_some_and(|url| {
            url.scheme() == "http" && url.has_host() && url.path() == "/" && url.query().is_none()
        });
        if legal {
            return Some(trimmed.into());
        }
        self.problem(
            raw.line(),
            key,
            &format!("`{value}` is no base URL"),
            "write `http://`, host and port, such as http://10.0.0.1:8001",
        );
        None
    }

    /// A name that becomes part of a URL's path.
    fn label(
        &mut self,
        key: &str,
        raw: &Value<Box<str>>,
        default: Option<&str>,
    ) -> Option<Box<str>> {
        let value = raw.get().map(|value| &**value).or(default)?;
        let legal =
            |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '.');
        if !value.is_empty() && value.chars().all(legal) {
            return Some(value.into());
        }
        self.problem(
            raw.line(),
            key,
            &format!("`{value}` is no platform name"),
            "use lower-case letters, digits, - and .",
        );
        None
    }

    fn tokens(&mut self, raw: &Value<Vec<Box<str>>>) -> Vec<AdminToken> {
        let key = "admin_tokens";
        let Some(value) = raw.get() else {
            self.missing(key);
            return Vec::new();
        };
        if value.is_empty() {
            self.problem(
                raw.line(),
                key,
                "no operator could get in",
                "list the SHA-256 digest of at least one token",
            );
        }
        let parsed: Vec<_> = value.iter().filter_map(|raw| raw.parse().ok()).collect();
        if parsed.len() < value.len() {
            // The text is not shown: someone may have written the token itself.
            self.problem(
                raw.line(),
                key,
                "an entry is no SHA-256 digest",
                "write 64 hex digits, as `printf %s TOKEN | sha256sum` gives them",
            );
        }
        parsed
    }

    fn addresses(&mut self, raw: &RawSettings) -> Option<[SocketAddr; 3]> {
        let named = [
            ("caller_address", &raw.caller_address),
            ("peer_address", &raw.peer_address),
            ("admin_address", &raw.admin_address),
        ];
        let [caller, peer, admin] = named.map(|(key, value)| self.address(key, value));
        let addresses = [caller?, peer?, admin?];
        for (index, (key, value)) in named.iter().enumerate() {
            let earlier = &addresses[..index];
            if earlier.contains(&addresses[index]) {
                self.problem(
                    value.line(),
                    key,
                    &format!(
                        "{} is taken by another of this file's addresses",
                        addresses[index]
                    ),
                    "give each address a port of its own",
                );
            }
        }
        Some(addresses)
    }

    fn address(&mut self, key: &str, raw: &Value<Box<str>>) -> Option<SocketAddr> {
        let value = self.required(key, raw)?;
        let remedy = "write the IP number and port that others connect to, such as 10.0.0.5:8080";
        let Ok(address) = value.parse::<SocketAddr>() else {
            self.problem(raw.line(), key, &format!("`{value}` is no address"), remedy);
            return None;
        };
        if address.ip().is_unspecified() || address.port() == 0 {
            self.problem(
                raw.line(),
                key,
                &format!("others can't connect to `{value}`"),
                remedy,
            );
            return None;
        }
        Some(address)
    }

    fn id<T: FromStr<Err = CoreError>>(&mut self, key: &str, raw: &Value<Box<str>>) -> Option<T> {
        let value = self.required(key, raw)?;
        match value.parse() {
            Ok(id) => Some(id),
            Err(error) => {
                let text = error.to_string();
                let (cause, remedy) = text.split_once(": ").unwrap_or((&text, "correct it"));
                self.problem(raw.line(), key, cause, remedy);
                None
            }
        }
    }

    fn required<'a>(&mut self, key: &str, raw: &'a Value<Box<str>>) -> Option<&'a str> {
        let value = raw.get().map(|value| &**value);
        if value.is_none() {
            self.missing(key);
        }
        value
    }

    fn missing(&mut self, key: &str) {
        self.problem(
            None,
            key,
            "is missing",
            "add it; docs/SETTINGS.md says what it takes",
        );
    }

    fn millis(&mut self, raw: &Value<u64>, number: &Number) -> Duration {
        Duration::from_millis(self.number(raw, number))
    }

    fn small(&mut self, raw: &Value<u64>, number: &Number) -> u32 {
        u32::try_from(self.number(raw, number)).unwrap_or(u32::MAX)
    }

    fn number(&mut self, raw: &Value<u64>, number: &Number) -> u64 {
        let Some(&value) = raw.get() else {
            return number.default;
        };
        if (number.min..=number.max).contains(&value) {
            return value;
        }
        self.problem(
            raw.line(),
            number.key,
            &format!("{value} is out of bounds"),
            &format!("set {} to {} {}", number.min, number.max, number.unit),
        );
        number.default
    }

    fn problem(&mut self, line: Option<u64>, key: &str, cause: &str, remedy: &str) {
        self.problems.push(Problem {
            line,
            key: key.into(),
            cause: cause.into(),
            remedy: remedy.into(),
        });
    }
}
