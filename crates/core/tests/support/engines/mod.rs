//! Several engines' cores in virtual time, with fake engines, a faulty network and a scripted map.

#![allow(
    dead_code,
    reason = "each test binary uses a part of the shared support"
)]

pub mod chaos;
pub mod engine;
pub mod fleet;
pub mod lone;
pub mod membership;
pub mod node;
pub mod record;
pub mod serving;
pub mod shell;
pub mod standing;
pub mod world;
