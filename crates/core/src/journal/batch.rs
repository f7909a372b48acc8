//! One write of a page: the items that waited, applied in order.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::{IdempotencyKey, InstanceId, MemberRef, RequestId};

use super::content::{Content, PageName, Record, RecordState};
use super::message::{JournalMessage, Verdict};
use super::{CallOutcome, JournalAsk};

/// Most items in one write.
const BATCH_ITEMS: usize = 256;

/// No further item goes into a write that has added this many bytes of answers; with the
/// length at which a page splits it keeps every value under a megabyte.
const BATCH_ANSWER_BYTES: usize = 128 * 1024;

/// Something to be recorded, and who is to hear of it.
#[derive(Clone, Debug)]
pub struct Item {
    /// The instance that sent it.
    pub from: InstanceId,
    /// What it is.
    pub kind: ItemKind,
}

/// What is to be recorded.
#[derive(Clone, Debug)]
pub enum ItemKind {
    /// An intent.
    Ask {
        /// The life that alone may send the call.
        sender: MemberRef,
        /// The call.
        ask: JournalAsk,
    },
    /// An outcome.
    Report {
        /// The caller's name for the call.
        key: IdempotencyKey,
        /// Which request.
        request: RequestId,
        /// How it ended.
        outcome: CallOutcome,
    },
}

impl Item {
    /// The request it is about.
    pub const fn request(&self) -> RequestId {
        match &self.kind {
            ItemKind::Ask { ask, .. } => ask.request,
            ItemKind::Report { request, .. } => *request,
        }
    }

    /// Whether it is an intent.
    pub const fn is_ask(&self) -> bool {
        matches!(self.kind, ItemKind::Ask { .. })
    }

    /// Tells the asker of an intent that the platform does not take it now.
    pub fn platform_away(&self) -> Option<Reply> {
        let message = JournalMessage::Verdict {
            request: self.request(),
            verdict: Verdict::PlatformAway,
        };
        self.is_ask().then(|| Reply {
            to: self.from.clone(),
            message,
        })
    }

    const fn key(&self) -> &IdempotencyKey {
        match &self.kind {
            ItemKind::Ask { ask, .. } => &ask.key,
            ItemKind::Report { key, .. } => key,
        }
    }
}

/// What to say to whom once the write took effect.
#[derive(Clone, Debug)]
pub struct Reply {
    /// To which instance.
    pub to: InstanceId,
    /// What to say.
    pub message: JournalMessage,
}

/// The outcome of applying items to a page.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The page as it is to be written.
    pub proposed: Content,
    /// Whether it differs from what is written.
    pub is_changed: bool,
    /// What the write settles.
    pub items: Vec<Item>,
    /// What to say then.
    pub replies: Vec<Reply>,
    /// Items that belong to another page.
    pub moved: Vec<(PageName, Item)>,
}

impl Batch {
    /// A write that settles no item.
    pub const fn bare(proposed: Content) -> Self {
        Self {
            proposed,
            is_changed: true,
            items: Vec::new(),
            replies: Vec::new(),
            moved: Vec::new(),
        }
    }

    /// Applies waiting items to `content` at its clock's reading `clock`.
    pub fn build(
        content: &Content,
        clock: u64,
        retention: Duration,
        members: &BTreeSet<MemberRef>,
        waiting: &mut VecDeque<Item>,
    ) -> Self {
        let mut batch = Self::bare(content.clone());
        batch.is_changed = false;
        batch.proposed.clock = clock;
        batch.proposed.prune(retention);
        let mut bytes = 0;
        while batch.items.len() < BATCH_ITEMS && bytes < BATCH_ANSWER_BYTES {
            let Some(item) = waiting.pop_front() else {
                break;
            };
            if let Some(page) = batch.proposed.elsewhere(item.key()) {
                let page = page.clone();
                batch.moved.push((page, item));
                continue;
            }
            bytes += batch.apply(&item, members);
            batch.items.push(item);
        }
        batch
    }

    // Returns how many bytes of answer were added.
    fn apply(&mut self, item: &Item, members: &BTreeSet<MemberRef>) -> usize {
        match &item.kind {
            ItemKind::Ask { sender, ask } => {
                let verdict = self.ask(sender, ask, members);
                self.reply(
                    item,
                    JournalMessage::Verdict {
                        request: ask.request,
                        verdict,
                    },
                );
                0
            }
            ItemKind::Report {
                key,
                request,
                outcome,
            } => {
                let bytes = self.report(key, *request, outcome);
                self.reply(item, JournalMessage::Recorded { request: *request });
                bytes
            }
        }
    }

    fn reply(&mut self, item: &Item, message: JournalMessage) {
        self.replies.push(Reply {
            to: item.from.clone(),
            message,
        });
    }

    fn ask(
        &mut self,
        sender: &MemberRef,
        ask: &JournalAsk,
        members: &BTreeSet<MemberRef>,
    ) -> Verdict {
        if let Some(record) = self.proposed.records.get(&ask.key) {
            return judge(record, ask, members);
        }
        let record = Record {
            request: ask.request,
            service: ask.service.clone(),
            fingerprint: ask.fingerprint,
            sender: sender.clone(),
            at: self.proposed.clock,
            state: RecordState::Intent,
        };
        self.proposed.records.insert(ask.key.clone(), record);
        self.is_changed = true;
        Verdict::Go
    }

    // A sender reports one outcome for a request, ever, so a report about another request than the
    // recorded one, or about a record that has its outcome, has nothing to add.
    fn report(&mut self, key: &IdempotencyKey, request: RequestId, outcome: &CallOutcome) -> usize {
        let Some(record) = self.proposed.records.get_mut(key) else {
            return 0;
        };
        if record.request != request || record.state != RecordState::Intent {
            return 0;
        }
        self.is_changed = true;
        record.at = self.proposed.clock;
        match outcome {
            CallOutcome::Answered(answer) => {
                let body = serde_json::to_string(&answer.body).map_or(0, |body| body.len());
                record.state = RecordState::Answered(answer.clone());
                body
            }
            CallOutcome::Unknown => {
                record.state = RecordState::Unknown;
                0
            }
            CallOutcome::NotRun => {
                self.proposed.records.remove(key);
                0
            }
        }
    }
}

// An ask for the recorded request itself gets its `Go` again: its sender alone may send it, and
// sends it once however many `Go` it gets.
fn judge(record: &Record, ask: &JournalAsk, members: &BTreeSet<MemberRef>) -> Verdict {
    if !record.is_same_call(ask) {
        return Verdict::KeyReused;
    }
    match &record.state {
        RecordState::Answered(answer) => Verdict::Replay(answer.clone()),
        RecordState::Intent if record.request == ask.request => Verdict::Go,
        RecordState::Intent if members.contains(&record.sender) => Verdict::InProgress,
        RecordState::Intent | RecordState::Unknown => Verdict::InDoubt,
    }
}
