//! A workspace's tokens as the tool counts them: what was refused although it was within the rate.

use super::catalogue::SERVICE_CHARGE;
use super::scenario::Workspace;
use super::variant::Record;
use crate::Micros;
use crate::caller::{Attempt, Outcome, Work};

/// Bytes of text that count as a token, and tokens for a message's frame, as the daemon estimates.
const BYTES_PER_TOKEN: usize = 4;
const TOKENS_PER_MESSAGE: usize = 4;

/// Kinds of refusals that are the caller's own fault or no refusal of new work.
const NOT_COUNTED: [&str; 9] = [
    "key_missing",
    "key_refused",
    "not_found",
    "version_unknown",
    "malformed",
    "too_large",
    "in_progress",
    "in_doubt",
    "key_reused",
];

/// What the ledger finds.
#[derive(Debug, Default)]
pub(super) struct Findings {
    /// Kinds of the refusals that came although the workspace was within its rate.
    pub(super) wrongful: Vec<Box<str>>,
    /// Tokens used, over burst and rate for the whole run.
    pub(super) limit_used: f64,
}

#[derive(Debug)]
struct Entry {
    at: Micros,
    // Money comes back before it is spent again at the same moment.
    step: Step,
}

#[derive(Debug)]
enum Step {
    Refund(f64),
    Charge(f64),
    Refused(f64, Box<str>),
}

impl Step {
    const fn order(&self) -> u8 {
        match self {
            Self::Refund(_) => 0,
            Self::Charge(_) => 1,
            Self::Refused(..) => 2,
        }
    }
}

/// Goes through all attempts of one workspace; refusals before `counted_from` are not counted.
pub(super) fn audit<'a>(
    workspace: &Workspace,
    records: impl Iterator<Item = &'a Record>,
    begun: Micros,
    counted_from: Micros,
) -> Findings {
    let mut entries = Vec::new();
    for record in records {
        for attempt in &record.trace.attempts {
            enter(&mut entries, &record.arrival.asked, attempt);
        }
    }
    entries.sort_by_key(|entry| (entry.at, entry.step.order()));
    let mut ledger = Ledger::new(workspace, begun);
    let mut findings = Findings::default();
    for entry in entries {
        ledger.accrue(entry.at);
        match entry.step {
            Step::Refund(tokens) => ledger.refund(tokens),
            Step::Charge(tokens) => ledger.charge(tokens),
            Step::Refused(tokens, kind) => {
                if ledger.level >= tokens && entry.at >= counted_from {
                    findings.wrongful.push(kind);
                }
            }
        }
    }
    let seconds = seconds(ledger.at.saturating_sub(begun));
    findings.limit_used = ledger.used / (ledger.burst + ledger.rate * seconds);
    findings
}

fn enter(entries: &mut Vec<Entry>, asked: &Work, attempt: &Attempt) {
    let need = need(asked);
    let mut enter = |at, step| entries.push(Entry { at, step });
    match &attempt.outcome {
        Outcome::NotConnected | Outcome::Nowhere => {}
        Outcome::Answered | Outcome::Broken | Outcome::HungUp | Outcome::Failed(_) => {
            enter(attempt.sent, Step::Charge(need));
            enter(attempt.ended, Step::Refund(unused(asked, attempt)));
        }
        Outcome::Refused(refused) if NOT_COUNTED.contains(&&*refused.kind) => {}
        Outcome::Refused(refused) => {
            enter(attempt.sent, Step::Refused(need, refused.kind.clone()));
            // One that waited before it was refused held its tokens meanwhile.
            if &*refused.kind != "rate_exceeded" {
                enter(attempt.sent, Step::Charge(need));
                enter(attempt.ended, Step::Refund(need));
            }
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of tokens are small")]
fn need(asked: &Work) -> f64 {
    match asked {
        Work::Draft(draft) => {
            let prompt = draft.prompt.len().div_ceil(BYTES_PER_TOKEN) + TOKENS_PER_MESSAGE;
            (prompt + draft.max_tokens) as f64
        }
        Work::Call(_) => SERVICE_CHARGE as f64,
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of tokens are small")]
fn unused(asked: &Work, attempt: &Attempt) -> f64 {
    match asked {
        Work::Draft(draft) => {
            let spoken = attempt.text.split_whitespace().count();
            draft.max_tokens.saturating_sub(spoken) as f64
        }
        Work::Call(_) => 0.0,
    }
}

#[expect(clippy::cast_precision_loss, reason = "a run lasts minutes")]
fn seconds(micros: Micros) -> f64 {
    micros as f64 / 1e6
}

#[derive(Debug)]
struct Ledger {
    rate: f64,
    burst: f64,
    level: f64,
    used: f64,
    at: Micros,
}

impl Ledger {
    #[expect(clippy::cast_precision_loss, reason = "rates are small")]
    const fn new(workspace: &Workspace, begun: Micros) -> Self {
        let burst = workspace.burst as f64;
        Self {
            rate: workspace.rate as f64,
            burst,
            level: burst,
            used: 0.0,
            at: begun,
        }
    }

    fn accrue(&mut self, at: Micros) {
        let gained = seconds(at.saturating_sub(self.at)) * self.rate;
        self.level = (self.level + gained).min(self.burst);
        self.at = self.at.max(at);
    }

    fn charge(&mut self, tokens: f64) {
        self.level -= tokens;
        self.used += tokens;
    }

    fn refund(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.burst);
        self.used -= tokens;
    }
}
