//! What callers asked for and what they got.

use bluebellstage_core::{CallerWork, Refusal, StoredResponse, Tokens};

/// What a caller got in the end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The whole answer, from a run.
    Complete,
    /// The answer of an earlier run.
    Replayed(StoredResponse),
    /// A refusal.
    Refused(Refusal),
    /// The connection was ended in mid-answer.
    Cut(Refusal),
    /// The instance died with the connection.
    ConnectionLost,
}

/// One request of one caller.
#[derive(Clone, Debug)]
pub struct Caller {
    pub node: usize,
    pub key: String,
    pub work: CallerWork,
    pub asked: u64,
    pub answer: Option<Answer>,
    pub answered: u64,
}

impl Caller {
    /// Tokens of its whole answer.
    pub fn tokens(&self) -> Tokens {
        match &self.work {
            CallerWork::Generate { max_answer, .. } => max_answer.unwrap_or_default(),
            CallerWork::Call(_) => Tokens(0),
        }
    }
}
