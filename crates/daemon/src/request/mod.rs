//! What lives as long as a caller's request.

mod body;
mod body_memory;
mod caller_key;
mod chunk;
mod collect;
mod engine;
mod generation;
mod id;
mod refused;
mod relay;
mod service;
mod service_end;
mod sse;
mod stream;
mod target_report;
mod transcript;

pub use self::refused::status_of;
pub use self::sse::{Block, BlockEnd, Scanner};

pub(crate) use self::body::read_body;
pub(crate) use self::body_memory::{BodyHold, BodyMemory};
pub(crate) use self::caller_key::CallerKey;
pub(crate) use self::collect::Collected;
pub(crate) use self::generation::{Endpoint, Generation};
pub(crate) use self::id::fresh_request_id;
pub(crate) use self::refused::Refused;
pub(crate) use self::relay::{Piece, Relay};
pub(crate) use self::service::{ServiceAnswer, ServiceRequest, call};
pub(crate) use self::stream::Streamed;
