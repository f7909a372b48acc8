//! Counts headers of targets' responses that nothing reads.

use std::collections::HashSet;
use std::sync::{Mutex, PoisonError};

use bluebellstage_core::TargetId;
use http::{HeaderMap, HeaderName};

use crate::edge::{Edge, Protocol};

use super::log::{LogEvent, event};
use super::node::Node;

/// Max number of names that are told apart; further ones are counted together.
const MAX_NAMES: usize = 64;
/// Label of further names in metrics.
const OTHER_NAMES: &str = "other";

/// Names of unknown headers that were seen.
#[derive(Debug, Default)]
pub(super) struct UnknownHeaders {
    seen: Mutex<HashSet<HeaderName>>,
}

/// Whether the name of a header was seen before.
enum Sighting {
    First,
    Repeated,
    /// Too many names were seen to tell.
    Untracked,
}

impl UnknownHeaders {
    fn record(&self, name: &HeaderName) -> Sighting {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if seen.contains(name) {
            return Sighting::Repeated;
        }
        if seen.len() >= MAX_NAMES {
            return Sighting::Untracked;
        }
        seen.insert(name.clone());
        Sighting::First
    }
}

/// Counts the headers of a target's response that nothing reads, and logs each name once.
pub(super) fn record_unknown_headers<E: Edge>(
    node: &Node<E>,
    target: &TargetId,
    headers: &HeaderMap,
) {
    for name in node.protocol.unknown_headers(headers) {
        let label = match node.unknown_headers.record(&name) {
            Sighting::First => {
                let fields = [("name", name.as_str()), ("target", target.as_str())];
                event(LogEvent::UnknownHeader, &fields);
                name.as_str()
            }
            Sighting::Repeated => name.as_str(),
            Sighting::Untracked => OTHER_NAMES,
        };
        node.metrics.unknown_header(label);
    }
}
