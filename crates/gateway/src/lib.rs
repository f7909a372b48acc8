//! Direct dispatch of requests to targets.
//!
//! Each instance decides by itself where a request goes: by the configuration, the list of targets,
//! what its peers tell, and what it saw of each target. [`decide`] holds these decisions as plain
//! state machines without sockets, clocks or tasks; [`net`] carries them out. A deployment supplies
//! the formats through the traits of [`edge`].

pub mod clock;
pub mod decide;
pub mod edge;
pub mod error;
pub mod log_line;
pub mod net;
pub mod packet;
pub mod settings;

pub use self::error::GatewayError;
