//! Adapters: which are resident where, which to load and how long to wait for that.

pub mod adapter;
pub(super) mod choice;
pub mod load_wait;
pub mod loader;
pub mod residency;
pub mod versions;
