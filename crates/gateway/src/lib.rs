//! Direct dispatch of requests to targets.
//!
//! Each instance decides locally where to send a request, based on the configuration, the list of targets,
//! the state that its peers publish, and the outcomes that it observed at each target. [`decide`] makes
//! these decisions with plain state machines without sockets, clocks or tasks; [`net`] carries them out. A
//! deployment supplies the formats through the traits of [`edge`].

pub mod clock;
pub mod decide;
pub mod edge;
pub mod error;
pub mod log_line;
pub mod net;
pub mod packet;
pub mod settings;

pub use self::error::GatewayError;
