//! Development-only stand-ins of the systems around bluebellstage.
//!
//! Small fakes of the platform's object API, an engine, a plain service and the weight store. They
//! speak the protocols of docs/TARGETS.md, take faults over `/control/…`, and record all that they
//! saw and did. Each runs as a process of its own or, by its `start`, inside a test.

mod clock;
mod faults;
mod hash;
mod pod;
mod reply;
mod seen;
mod server;

pub mod bench;
pub mod caller;
pub mod demo;
pub mod engine;
pub mod fleet;
pub mod load;
pub mod platform;
pub mod service;
pub mod store;

pub use self::clock::{Micros, now};
pub use self::faults::{CallKind, Fault, FaultKind, Faults};
pub use self::pod::{Pod, PodMetadata, PodStatus};
pub use self::seen::SeenRequest;
pub use self::server::Server;
