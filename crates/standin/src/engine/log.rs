//! What an engine saw and did.

use serde::{Deserialize, Serialize};

use crate::{Micros, SeenRequest};

/// What an engine saw and did.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EngineLog {
    /// All requests, unless only what ran was kept.
    pub seen: Vec<SeenRequest>,
    /// All generations that it took in.
    pub runs: Vec<EngineRun>,
    /// All orders.
    pub orders: Vec<EngineOrder>,
    /// Adapters unloaded while in use.
    pub violations: u64,
    /// Loads that ended well.
    pub loads: u64,
    /// Restarts, counted from 1.
    pub boot: u64,
    /// What its batch did.
    pub batch: BatchTotals,
}

/// One generation.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EngineRun {
    /// The request's name.
    pub request_id: Box<str>,
    /// What was asked for, as `adapter@version`.
    pub asked: Box<str>,
    /// What ran, as `adapter@version`.
    pub ran: Box<str>,
    /// Lower goes first.
    pub priority: u8,
    /// Length of the prompt.
    pub prompt_tokens: usize,
    /// Length of the whole answer.
    pub answer_tokens: usize,
    /// Tokens of it that were delivered elsewhere before.
    pub begun: usize,
    /// Tokens generated.
    pub produced: usize,
    /// When it was taken in.
    pub arrived: Micros,
    /// When it entered the batch.
    pub started: Option<Micros>,
    /// When its first token was there.
    pub first_token: Option<Micros>,
    /// When it ended.
    pub ended: Option<Micros>,
    /// How it ended.
    pub end: Option<RunEnd>,
}

/// How a generation ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// All tokens were generated.
    Complete,
    /// It was cancelled.
    Cancelled,
    /// Nobody read it for too long.
    Abandoned,
    /// Its adapter was unloaded.
    Unloaded,
    /// The engine restarted.
    Restarted,
}

/// One order.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EngineOrder {
    /// When it arrived.
    pub at: Micros,
    /// When it was done or refused.
    pub ended: Micros,
    /// What it asked for.
    pub kind: OrderKind,
    /// `adapter@version`.
    pub adapter: Box<str>,
    /// Its fencing number.
    pub fencing: Option<u64>,
    /// Its fencing number was older than one seen before.
    pub stale: bool,
    /// What became of it.
    pub result: OrderResult,
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load an adapter.
    Load,
    /// Unload an adapter.
    Unload,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResult {
    /// Done.
    Done,
    /// There was nothing to do: it was loaded already.
    Already,
    /// Its fencing number was too old.
    Fenced,
    /// All slots are taken.
    NoSlot,
    /// The weight store refused or failed.
    LoadFailed,
    /// The adapter is in no slot.
    NotLoaded,
}

/// What a batch did.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct BatchTotals {
    /// Steps taken.
    pub steps: u64,
    /// Requests in the batch, summed over the steps.
    pub occupied: u64,
    /// Places in the batch, summed over the steps.
    pub places: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Prompt tokens prefilled.
    pub prefilled: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached: u64,
    /// Time spent in steps, in microseconds.
    pub busy_us: u64,
}
