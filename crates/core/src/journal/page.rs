//! A journal page at its owner: reading, claiming, writing and splitting.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::platform::{Expected, PlatformReply, Versioned};
use crate::{CallId, CoreError, MemberRef, ObjectName, ObjectVersion, Time, WorkspaceId};

use super::batch::{Batch, Item, Reply};
use super::content::{PageContent, PageName};

/// A page longer than this is split. Each write sends the whole page, so shorter pages cost fewer
/// bytes and longer pages cost fewer writes; docs/design/journal.md has the measured costs.
const SPLIT_BYTES: usize = 128 * 1024;

/// Delay before the page is read or written again after a failed platform call.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// How long outcomes wait to share a write with an intent. No caller waits for an outcome's write.
const OUTCOME_LINGER: Duration = Duration::from_millis(50);

/// The next action of a page.
#[derive(Debug)]
pub enum PageStep {
    /// Nothing to do.
    Idle,
    /// Read the object.
    Read,
    /// Write the page's object.
    Write {
        /// The new value.
        value: Box<str>,
        /// The expected state of the object before the write.
        expected: Expected,
    },
    /// Create the object of a new page that receives half of this page's records.
    Create {
        /// The name of the new page.
        page: PageName,
        /// The value of the new page's object.
        value: Box<str>,
    },
    /// Send these replies; nothing had to be written.
    Reply(Vec<Reply>),
}

#[derive(Debug)]
enum PlatformCallInFlight {
    Read,
    Write {
        batch: Box<Batch>,
        built_at: Time,
        bytes: usize,
    },
    Child {
        parent: Box<PageContent>,
    },
}

#[derive(Debug)]
struct Loaded {
    content: PageContent,
    version: Option<ObjectVersion>,
    // Whether the page was written under this owner's epoch. An earlier write of another owner can
    // then no longer take effect.
    is_claimed: bool,
    clock_since: Time,
    bytes: usize,
}

impl Loaded {
    fn is_too_long(&self) -> bool {
        self.is_claimed && self.bytes > SPLIT_BYTES && self.content.records.len() > 1
    }
}

/// A page and the items that wait to be recorded in it. At most one platform call is in flight.
#[derive(Debug)]
pub struct Page {
    loaded: Option<Loaded>,
    waiting: VecDeque<Item>,
    moved: Vec<(PageName, Item)>,
    // The content of this page after a split, not written yet; the new page exists already.
    split_parent: Option<Box<PageContent>>,
    in_flight: Option<(CallId, PlatformCallInFlight)>,
    retry_at: Time,
    used_at: Time,
    outcomes_since: Option<Time>,
}

impl Page {
    /// Creates a page that has not been read.
    pub const fn new(now: Time) -> Self {
        Self {
            loaded: None,
            waiting: VecDeque::new(),
            moved: Vec::new(),
            split_parent: None,
            in_flight: None,
            retry_at: now,
            used_at: now,
            outcomes_since: None,
        }
    }

    /// Queues an item for the next write, unless the same item waits already.
    pub fn push(&mut self, now: Time, item: Item) {
        self.used_at = now;
        if self.is_superseded(&item) {
            return;
        }
        // A sender that has reported the outcome no longer needs a `Send`.
        if !item.is_intent() {
            self.waiting
                .retain(|other| other.request() != item.request());
            self.outcomes_since.get_or_insert(now);
        }
        self.waiting.push_back(item);
    }

    // Whether the same item waits, or, for an intent, the outcome of the same call.
    fn is_superseded(&self, item: &Item) -> bool {
        let mut same = self
            .waiting
            .iter()
            .filter(|other| other.request() == item.request());
        same.any(|other| item.is_intent() || !other.is_intent())
    }

    /// Takes the items that were found to belong to other pages.
    pub fn take_moved(&mut self) -> Vec<(PageName, Item)> {
        std::mem::take(&mut self.moved)
    }

    /// Whether an item or a split waits or a platform call is in flight.
    pub fn is_busy(&self) -> bool {
        self.in_flight.is_some() || !self.waiting.is_empty() || self.split_parent.is_some()
    }

    /// Whether the page has not been used since `before` and has nothing to do.
    pub fn is_idle_since(&self, before: Time) -> bool {
        !self.is_busy() && self.used_at < before
    }

    /// Returns the page's content, or `None` if the page is not loaded.
    pub fn content(&self) -> Option<&PageContent> {
        self.loaded.as_ref().map(|loaded| &loaded.content)
    }

    /// Sets the id of the platform call that the last step requested.
    pub fn set_call_id(&mut self, call: CallId) {
        if let Some((id, _flight)) = &mut self.in_flight {
            *id = call;
        }
    }

    /// Returns the next step. Must only be called while the owner may act.
    pub fn next(
        &mut self,
        now: Time,
        retention: Duration,
        members: &BTreeSet<MemberRef>,
    ) -> PageStep {
        if self.in_flight.is_some() || now < self.retry_at {
            return PageStep::Idle;
        }
        let Some(loaded) = &mut self.loaded else {
            if self.waiting.is_empty() {
                return PageStep::Idle;
            }
            self.in_flight = Some((CallId(0), PlatformCallInFlight::Read));
            return PageStep::Read;
        };
        if let (Some(split_parent), Some(version)) = (self.split_parent.take(), loaded.version) {
            let batch = Batch::without_items(*split_parent);
            return self.put(now, batch, Expected::Version(version));
        }
        if loaded.is_too_long() {
            let (page, child, parent) = loaded.content.split();
            let value = child.value();
            let parent = Box::new(parent);
            self.in_flight = Some((CallId(0), PlatformCallInFlight::Child { parent }));
            return PageStep::Create { page, value };
        }
        if self.waiting.is_empty() {
            return PageStep::Idle;
        }
        self.write(now, retention, members)
    }

    fn write(&mut self, now: Time, retention: Duration, members: &BTreeSet<MemberRef>) -> PageStep {
        let Some(loaded) = &mut self.loaded else {
            return PageStep::Idle;
        };
        let passed = now.since(loaded.clock_since).as_millis();
        let clock = loaded.content.clock + u64::try_from(passed).unwrap_or(0);
        let mut batch = Batch::build(
            &loaded.content,
            clock,
            retention,
            members,
            &mut self.waiting,
        );
        self.moved.append(&mut batch.moved);
        self.outcomes_since = None;
        if batch.items.is_empty() && loaded.is_claimed {
            return PageStep::Idle;
        }
        if !batch.is_changed && loaded.is_claimed {
            return PageStep::Reply(batch.replies);
        }
        // The first write after a read raises the epoch, whatever else it contains. From then on,
        // writes of a former owner conflict. No reply is sent before this write has taken effect.
        if !loaded.is_claimed {
            batch.proposed.epoch += 1;
        }
        let expected = loaded.version.map_or(Expected::Absent, Expected::Version);
        self.put(now, batch, expected)
    }

    fn put(&mut self, now: Time, batch: Batch, expected: Expected) -> PageStep {
        let value = batch.proposed.value();
        let in_flight = PlatformCallInFlight::Write {
            batch: Box::new(batch),
            built_at: now,
            bytes: value.len(),
        };
        self.in_flight = Some((CallId(0), in_flight));
        PageStep::Write { value, expected }
    }

    /// Whether the platform call in flight has this id.
    pub fn is_awaiting(&self, call: CallId) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|(id, _flight)| *id == call)
    }

    /// Whether [`Page::next`] may return a step other than [`PageStep::Idle`].
    pub fn has_next_step(&self, now: Time) -> bool {
        let can_split = self.loaded.as_ref().is_some_and(Loaded::is_too_long);
        let can_write = !self.waiting.is_empty() && !self.is_lingering(now);
        let has_work = can_write || self.split_parent.is_some() || can_split;
        has_work && self.in_flight.is_none() && now >= self.retry_at
    }

    fn is_lingering(&self, now: Time) -> bool {
        let since = self.outcomes_since;
        let is_early = since.is_some_and(|since| now < since + OUTCOME_LINGER);
        is_early && !self.waiting.iter().any(Item::is_intent)
    }

    /// Handles the platform's reply to the call in flight and returns the messages to send now.
    ///
    /// # Errors
    /// [`CoreError::MalformedObject`] if the object can't be parsed; it is read again later.
    pub fn handle_platform_reply(
        &mut self,
        now: Time,
        reply: PlatformReply,
        name: &ObjectName,
        workspace: &WorkspaceId,
    ) -> Result<Vec<Reply>, CoreError> {
        let Some((_id, in_flight)) = self.in_flight.take() else {
            return Ok(Vec::new());
        };
        let is_away = reply == PlatformReply::Unavailable;
        let mut replies = Vec::new();
        match in_flight {
            PlatformCallInFlight::Read => self.read(now, reply, name, workspace)?,
            PlatformCallInFlight::Write {
                batch,
                built_at,
                bytes,
            } => replies = self.written(now, reply, *batch, built_at, bytes),
            PlatformCallInFlight::Child { parent } => self.child_created(now, &reply, parent),
        }
        if is_away {
            replies.extend(self.waiting.iter().filter_map(Item::unavailable_reply));
        }
        Ok(replies)
    }

    fn read(
        &mut self,
        now: Time,
        reply: PlatformReply,
        name: &ObjectName,
        workspace: &WorkspaceId,
    ) -> Result<(), CoreError> {
        let PlatformReply::Got(found) = reply else {
            self.retry_at = now + RETRY_DELAY;
            return Ok(());
        };
        let (content, version, bytes) = match found {
            None => (PageContent::new(workspace.clone()), None, 0),
            Some(Versioned { value, version }) => {
                let parsed = PageContent::parse(name, workspace, &value);
                if parsed.is_err() {
                    self.retry_at = now + RETRY_DELAY;
                }
                (parsed?, Some(version), value.len())
            }
        };
        self.loaded = Some(Loaded {
            content,
            version,
            is_claimed: false,
            clock_since: now,
            bytes,
        });
        Ok(())
    }

    // A write with an unknown result is assumed neither to have taken effect nor to have failed.
    // Its items are queued again and the object is read again. The read shows the write if it has
    // taken effect. If it has not, it no longer can once the claim that follows the read is
    // written, because it expects an older version.
    fn written(
        &mut self,
        now: Time,
        reply: PlatformReply,
        batch: Batch,
        built_at: Time,
        bytes: usize,
    ) -> Vec<Reply> {
        match (reply, &mut self.loaded) {
            (PlatformReply::Written(version), Some(loaded)) => {
                loaded.content = batch.proposed;
                loaded.version = Some(version);
                loaded.is_claimed = true;
                loaded.clock_since = built_at;
                loaded.bytes = bytes;
                return batch.replies;
            }
            (PlatformReply::Unavailable, _) => self.retry_at = now + RETRY_DELAY,
            (PlatformReply::Conflict, _) => self.unload(),
            _ => {
                self.unload();
                self.retry_at = now + RETRY_DELAY;
            }
        }
        self.requeue(batch.items);
        Vec::new()
    }

    fn requeue(&mut self, items: Vec<Item>) {
        for item in items.into_iter().rev() {
            if !self.is_superseded(&item) {
                self.waiting.push_front(item);
            }
        }
    }

    fn child_created(&mut self, now: Time, reply: &PlatformReply, parent: Box<PageContent>) {
        if matches!(reply, PlatformReply::Written(_)) {
            self.split_parent = Some(parent);
            return;
        }
        // The next attempt is made under a new epoch and thus a new page name, which is certainly
        // unused.
        self.unload();
        self.retry_at = now + RETRY_DELAY;
    }

    fn unload(&mut self) {
        self.loaded = None;
        self.split_parent = None;
    }
}
