//! Builds one write of a page from the waiting items, applied in order.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::{IdempotencyKey, InstanceId, MemberRef, RequestId};

use super::content::{PageContent, PageName, Record, RecordState};
use super::message::{IntentReply, JournalMessage};
use super::{CallIntent, CallOutcome};

/// Maximum number of items in one write.
const MAX_BATCH_ITEMS: usize = 256;

/// A write takes no further items after it has added this many bytes of responses. Together with
/// the length at which a page splits, this keeps every value under a megabyte.
const MAX_BATCH_RESPONSE_BYTES: usize = 128 * 1024;

/// An intent or outcome to record, and the instance to reply to.
#[derive(Clone, Debug)]
pub struct Item {
    /// The instance that sent the item.
    pub from: InstanceId,
    /// The content of the item.
    pub kind: ItemKind,
}

/// The content of an [`Item`].
#[derive(Clone, Debug)]
pub enum ItemKind {
    /// An intent to send a call.
    Intent {
        /// The only incarnation that may send the call.
        sender: MemberRef,
        /// The call.
        intent: CallIntent,
    },
    /// The outcome of a call.
    Outcome {
        /// The caller's idempotency key for the call.
        key: IdempotencyKey,
        /// The request that made the call.
        request: RequestId,
        /// The outcome to record.
        outcome: CallOutcome,
    },
}

impl Item {
    /// Returns the id of the item's request.
    pub const fn request(&self) -> RequestId {
        match &self.kind {
            ItemKind::Intent { intent, .. } => intent.request,
            ItemKind::Outcome { request, .. } => *request,
        }
    }

    /// Whether the item is an intent.
    pub const fn is_intent(&self) -> bool {
        matches!(self.kind, ItemKind::Intent { .. })
    }

    /// For an intent, returns the reply that the platform is unavailable.
    pub fn unavailable_reply(&self) -> Option<Reply> {
        let message = JournalMessage::IntentReply {
            request: self.request(),
            reply: IntentReply::PlatformUnavailable,
        };
        self.is_intent().then(|| Reply {
            to: self.from.clone(),
            message,
        })
    }

    const fn key(&self) -> &IdempotencyKey {
        match &self.kind {
            ItemKind::Intent { intent, .. } => &intent.key,
            ItemKind::Outcome { key, .. } => key,
        }
    }
}

/// A message to send once the write has taken effect.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The receiving instance.
    pub to: InstanceId,
    /// The message.
    pub message: JournalMessage,
}

/// The result of applying items to a page.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The page content to write.
    pub proposed: PageContent,
    /// Whether `proposed` differs from the stored content.
    pub is_changed: bool,
    /// The items that the write records.
    pub items: Vec<Item>,
    /// The messages to send once the write has taken effect.
    pub replies: Vec<Reply>,
    /// Items that belong to another page.
    pub moved: Vec<(PageName, Item)>,
}

impl Batch {
    /// Creates a write that records no items.
    pub const fn without_items(proposed: PageContent) -> Self {
        Self {
            proposed,
            is_changed: true,
            items: Vec::new(),
            replies: Vec::new(),
            moved: Vec::new(),
        }
    }

    /// Applies waiting items to `content`, with the page clock at `clock`.
    pub fn build(
        content: &PageContent,
        clock: u64,
        retention: Duration,
        members: &BTreeSet<MemberRef>,
        waiting: &mut VecDeque<Item>,
    ) -> Self {
        let mut batch = Self::without_items(content.clone());
        batch.is_changed = false;
        batch.proposed.clock = clock;
        batch.proposed.prune(retention);
        let mut bytes = 0;
        while batch.items.len() < MAX_BATCH_ITEMS && bytes < MAX_BATCH_RESPONSE_BYTES {
            let Some(item) = waiting.pop_front() else {
                break;
            };
            if let Some(page) = batch.proposed.child_page_of(item.key()) {
                let page = page.clone();
                batch.moved.push((page, item));
                continue;
            }
            bytes += batch.apply(&item, members);
            batch.items.push(item);
        }
        batch
    }

    // Returns the number of response bytes that were added.
    fn apply(&mut self, item: &Item, members: &BTreeSet<MemberRef>) -> usize {
        match &item.kind {
            ItemKind::Intent { sender, intent } => {
                let reply = self.record_intent(sender, intent, members);
                self.reply(
                    item,
                    JournalMessage::IntentReply {
                        request: intent.request,
                        reply,
                    },
                );
                0
            }
            ItemKind::Outcome {
                key,
                request,
                outcome,
            } => {
                let bytes = self.record_outcome(key, *request, outcome);
                self.reply(item, JournalMessage::OutcomeRecorded { request: *request });
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

    fn record_intent(
        &mut self,
        sender: &MemberRef,
        intent: &CallIntent,
        members: &BTreeSet<MemberRef>,
    ) -> IntentReply {
        if let Some(record) = self.proposed.records.get(&intent.key) {
            return reply_for_known_key(record, intent, members);
        }
        let record = Record {
            request: intent.request,
            service: intent.service.clone(),
            fingerprint: intent.fingerprint,
            sender: sender.clone(),
            at: self.proposed.clock,
            state: RecordState::Intent,
        };
        self.proposed.records.insert(intent.key.clone(), record);
        self.is_changed = true;
        IntentReply::Send
    }

    // A sender reports only one outcome for a request. A report about another request than the
    // recorded one, or about a record that already has an outcome, is therefore ignored.
    fn record_outcome(
        &mut self,
        key: &IdempotencyKey,
        request: RequestId,
        outcome: &CallOutcome,
    ) -> usize {
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

// A repeated intent of the recorded request itself gets `Send` again. This is safe because only its
// sender may send the call, and sends it once however many `Send` replies it receives.
fn reply_for_known_key(
    record: &Record,
    intent: &CallIntent,
    members: &BTreeSet<MemberRef>,
) -> IntentReply {
    if !record.is_same_call(intent) {
        return IntentReply::KeyReused;
    }
    match &record.state {
        RecordState::Answered(answer) => IntentReply::Replay(answer.clone()),
        RecordState::Intent if record.request == intent.request => IntentReply::Send,
        RecordState::Intent if members.contains(&record.sender) => IntentReply::InProgress,
        RecordState::Intent | RecordState::Unknown => IntentReply::InDoubt,
    }
}
