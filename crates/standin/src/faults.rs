//! Faults that a stand-in is told to show.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use rocket::serde::json::Json;
use rocket::{State, delete, post, routes};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::reply::Reply;

/// Kind of a call, as faults name it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// Any call.
    All,
    /// The platform: a consistent read.
    Get,
    /// The platform: any write.
    Put,
    /// The platform: the lagging list.
    List,
    /// The platform: a watch.
    Watch,
    /// An engine: a generation.
    Generate,
    /// An engine or the store: a load.
    Load,
    /// An engine: an unload.
    Unload,
    /// An engine: its report.
    Report,
    /// An engine: a resume or a cancel.
    Resume,
    /// A plain service: any call.
    Call,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Answer 503 and do nothing.
    Refuse,
    /// Wait, then go on.
    Delay,
    /// Do not answer until the faults are deleted.
    Freeze,
    /// Do it, then close the connection without an answer.
    LoseAnswer,
    /// Close the connection after so many tokens; on other calls like [`FaultKind::LoseAnswer`].
    Cut,
}

/// A fault and the calls that meet it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Which calls.
    pub calls: CallKind,
    /// What goes wrong.
    pub fault: FaultKind,
    /// How long a delay is, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Tokens delivered before a cut.
    #[serde(default)]
    pub after_tokens: u64,
    /// How many calls meet it; none for all until it is deleted.
    #[serde(default)]
    pub count: Option<u64>,
}

impl Fault {
    /// A fault of all calls of a kind until it is deleted.
    #[must_use]
    pub const fn new(calls: CallKind, fault: FaultKind) -> Self {
        Self {
            calls,
            fault,
            delay_ms: 0,
            after_tokens: 0,
            count: None,
        }
    }

    /// Only so many calls meet it.
    #[must_use]
    pub const fn times(mut self, count: u64) -> Self {
        self.count = Some(count);
        self
    }

    /// A delay's length in milliseconds.
    #[must_use]
    pub const fn delay_ms(mut self, delay_ms: u64) -> Self {
        self.delay_ms = delay_ms;
        self
    }

    /// Tokens delivered before a cut.
    #[must_use]
    pub const fn after_tokens(mut self, after_tokens: u64) -> Self {
        self.after_tokens = after_tokens;
        self
    }

    fn meets(&self, call: CallKind) -> bool {
        self.calls == CallKind::All || self.calls == call
    }
}

/// What a call is to do after it met the faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Passage {
    Open,
    Refused,
    LoseAnswer,
    Cut { after_tokens: u64 },
}

/// The faults that a stand-in shows now.
#[derive(Debug)]
pub struct Faults {
    list: Mutex<Vec<Fault>>,
    // Counts deletions: frozen calls wait for the next one.
    deletions: watch::Sender<u64>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            list: Mutex::default(),
            deletions: watch::Sender::new(0),
        }
    }
}

impl Faults {
    /// Adds a fault.
    pub fn add(&self, fault: Fault) {
        self.lock().push(fault);
    }

    /// Deletes all faults; frozen calls go on.
    pub fn clear(&self) {
        self.lock().clear();
        self.deletions.send_modify(|count| *count += 1);
    }

    /// Lets a call meet the faults, in the order in which they were added.
    pub(crate) async fn enter(&self, call: CallKind) -> Passage {
        let mut deletions = self.deletions.subscribe();
        let met = self.take(call);
        let mut passage = Passage::Open;
        for fault in met {
            match fault.fault {
                FaultKind::Delay => tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await,
                FaultKind::Freeze => drop(deletions.changed().await),
                FaultKind::Refuse => return Passage::Refused,
                FaultKind::LoseAnswer => passage = Passage::LoseAnswer,
                FaultKind::Cut => {
                    passage = Passage::Cut {
                        after_tokens: fault.after_tokens,
                    };
                }
            }
        }
        passage
    }

    /// Waits while a freeze holds calls of this kind; for streams that are under way.
    pub(crate) async fn thaw(&self, call: CallKind) {
        loop {
            let mut deletions = self.deletions.subscribe();
            if !self.freezes(call) {
                return;
            }
            drop(deletions.changed().await);
        }
    }

    fn freezes(&self, call: CallKind) -> bool {
        self.lock().iter().any(|fault| {
            fault.fault == FaultKind::Freeze && fault.count.is_none() && fault.meets(call)
        })
    }

    fn take(&self, call: CallKind) -> Vec<Fault> {
        let mut list = self.lock();
        let mut met = Vec::new();
        for fault in list.iter_mut().filter(|fault| fault.meets(call)) {
            if let Some(count) = &mut fault.count {
                *count = count.saturating_sub(1);
            }
            met.push(fault.clone());
        }
        list.retain(|fault| fault.count != Some(0));
        met
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Fault>> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Does `effect` as the faults let it.
    pub(crate) async fn guard(&self, call: CallKind, effect: impl Future<Output = Reply>) -> Reply {
        match self.enter(call).await {
            Passage::Open => effect.await,
            Passage::Refused => Reply::unavailable(),
            Passage::LoseAnswer | Passage::Cut { .. } => {
                drop(effect.await);
                Reply::Hangup
            }
        }
    }
}

/// Routes that add and delete faults; they find the faults in the managed state.
#[expect(clippy::redundant_type_annotations, reason = "the macro writes them")]
pub(crate) fn control_routes() -> Vec<rocket::Route> {
    routes![add, clear]
}

#[post("/control/faults", data = "<fault>")]
fn add(faults: &State<std::sync::Arc<Faults>>, fault: Json<Fault>) -> Reply {
    faults.add(fault.into_inner());
    Reply::empty()
}

#[delete("/control/faults")]
fn clear(faults: &State<std::sync::Arc<Faults>>) -> Reply {
    faults.clear();
    Reply::empty()
}
