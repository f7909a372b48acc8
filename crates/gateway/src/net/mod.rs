//! Carries out the decisions of [`crate::decide`] with sockets, tasks and signals.
//!
//! One lock guards all tables of an instance and is never held across an await, so there is no lock order
//! to maintain.

pub mod http_client;
pub mod keepalive;
pub mod log;
pub mod node;
pub mod run;

mod accept;
mod adapter_loads;
mod attempt;
mod attempts;
mod batches;
mod caller_memory;
mod caller_stream;
mod connection_activity;
mod connection_metrics;
mod control;
mod crash_check;
mod crash_metrics;
mod directory;
mod event_reader;
mod fair_shares;
mod follow;
mod framing;
mod front;
mod gossip;
mod held_buffer;
mod in_flight;
mod job_response;
mod leases;
mod loaders;
mod local_response;
mod memory;
mod memory_metrics;
mod metrics;
mod open_attempts;
mod origins;
mod pass_through;
mod paths;
mod peer_copy;
mod peer_forwarding;
mod pool;
mod quarantine;
mod refused_body;
mod reload;
mod request_body;
mod residency_updates;
mod response_body;
mod response_head;
mod restorations;
mod search;
mod search_outcome;
mod serve;
pub mod signals;
mod sockets;
mod stop;
mod stream;
mod stream_metrics;
mod stream_source;
mod sync;
mod target_connection;
mod target_socket;
mod unknown_headers;
mod wait_metrics;
mod wait_places;
