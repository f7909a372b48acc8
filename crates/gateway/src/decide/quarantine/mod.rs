//! Requests under which targets end.

mod fingerprint;

pub use self::fingerprint::{BadFingerprint, Fingerprint};
