//! Decisions as plain state machines: time and randomness come in as arguments.

pub mod adapter;
mod adapter_choice;
pub mod call;
pub mod change_log;
pub mod config;
pub mod dump;
pub mod event_stream;
pub mod health;
pub mod lease;
pub mod load_wait;
pub mod loader;
pub mod peers;
pub mod placement;
pub mod prompt_queues;
pub mod quota;
pub mod refusal;
pub mod registry;
pub mod reload;
pub mod rendezvous;
pub mod residency;
pub mod retry_budget;
pub mod routes;
pub mod stopping;
pub mod tables;
pub mod target;
pub mod versions;
