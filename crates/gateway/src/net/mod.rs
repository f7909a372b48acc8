//! Carries decisions out: sockets, tasks, signals.
//!
//! One lock guards all tables of an instance and is never held over an await; so there is no lock
//! order to keep.

pub mod caller;
pub mod log;
pub mod node;
pub mod run;

mod accept;
mod answers;
mod attempt;
mod batches;
mod control;
mod copying;
mod directory;
mod ended;
mod follow;
mod front;
mod gossip;
mod leases;
mod loaders;
mod metrics;
mod pool;
mod quarantine;
mod refuse;
mod reload;
mod sockets;
mod stop;
mod stream;
mod sync;
mod words;
