//! The settings file: raw text, checked values, and what is wrong with them.

mod check;
mod problem;
mod raw;
mod reference;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bluebellstage_core::{FailureDomain, InstanceId, Tuning};

use crate::connection::AdminToken;

pub use self::problem::{Problem, SettingsError};
pub use self::reference::{NUMBERS, Number, TEXTS, Text, Unit};

/// Checked settings of one instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other instances connect.
    pub peer_address: SocketAddr,
    /// Where operators connect.
    pub admin_address: SocketAddr,
    /// Digests of the tokens that operators may come with.
    pub admin_tokens: Vec<AdminToken>,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// Settings of the decision cores.
    pub tuning: Tuning,
    /// Bounds on what callers and targets may do to this process.
    pub limits: Limits,
}

/// How to reach the platform's object API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Its base URL without a path, such as `http://10.0.0.1:8001`.
    pub url: Box<str>,
    /// Namespace of our objects.
    pub namespace: Box<str>,
    /// Name of this instance's own pod.
    pub pod: Box<str>,
    /// How long a call may take.
    pub timeout: Duration,
}

/// Bounds on what callers and targets may do to this process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Longest body of a caller's request, in bytes.
    pub body_bytes: u64,
    /// Bytes of callers' bodies that are held at once; four bodies of the longest length if that is more.
    pub body_memory_bytes: u64,
    /// How long a caller may take to send its body.
    pub body_timeout: Duration,
    /// A stream without tokens gets a comment this often; it is how a vanished caller is noticed.
    pub keep_alive: Duration,
    /// How long connecting to a target may take.
    pub connect_timeout: Duration,
    /// How long an engine may be silent in the middle of an answer.
    pub engine_silence: Duration,
    /// How long a plain service may take for a call.
    pub service_timeout: Duration,
    /// Longest answer of a plain service, in bytes.
    pub service_answer_bytes: u64,
    /// How long an order to an engine may take.
    pub order_timeout: Duration,
    /// Messages that may wait for one peer; the oldest goes when there are more.
    pub peer_queue: usize,
    /// After a planned stop: how long connections may take for the last bytes of their answers.
    pub flush_timeout: Duration,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// [`SettingsError`] with all that is wrong, each with file, line, key and remedy.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&name, &text),
            Err(cause) => Err(SettingsError::unreadable(&name, &cause)),
        }
    }

    /// Checks the text of a settings file; `name` is what errors call the file.
    ///
    /// # Errors
    /// [`SettingsError`] with all that is wrong, each with file, line, key and remedy.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsError> {
        raw::RawSettings::parse(text)
            .and_then(|raw| check::check(&raw))
            .map_err(|problems| SettingsError::new(name, problems))
    }
}

impl Default for Limits {
    fn default() -> Self {
        let millis = |number: &Number| Duration::from_millis(number.default);
        Self {
            body_bytes: reference::BODY_BYTES.default,
            body_memory_bytes: reference::BODY_MEMORY_BYTES.default,
            body_timeout: millis(&reference::BODY_TIMEOUT),
            keep_alive: millis(&reference::KEEP_ALIVE),
            connect_timeout: millis(&reference::CONNECT_TIMEOUT),
            engine_silence: millis(&reference::ENGINE_SILENCE),
            service_timeout: millis(&reference::SERVICE_TIMEOUT),
            service_answer_bytes: reference::SERVICE_ANSWER_BYTES.default,
            order_timeout: millis(&reference::ORDER_TIMEOUT),
            peer_queue: usize::try_from(reference::PEER_QUEUE.default).unwrap_or(usize::MAX),
            flush_timeout: millis(&reference::FLUSH_TIMEOUT),
        }
    }
}
