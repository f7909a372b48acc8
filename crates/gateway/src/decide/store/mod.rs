//! Following the store, and calling it at the rates that it allows.

pub mod access;
pub mod calls;
pub mod change_log;
pub mod follower;
pub mod kind;
pub mod position;
pub mod reload;
