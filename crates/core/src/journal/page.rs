//! A page of a journal at its home: read, claimed, written, split.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::platform::{Expected, PlatformReply, Versioned};
use crate::{CallId, CoreError, MemberRef, ObjectName, ObjectVersion, Time, WorkspaceId};

use super::batch::{Batch, Item, Reply};
use super::content::{Content, PageName};

/// A page longer than this is split. Each write sends the whole page: shorter pages cost fewer
/// bytes and longer ones fewer writes, see docs/design/journal.md for what both were measured at.
const SPLIT_BYTES: usize = 128 * 1024;

/// After the platform refused a call, the page is left alone for this time.
const RETRY: Duration = Duration::from_millis(200);

/// Outcomes wait this long for an intent to share its write: nobody waits for them.
const LINGER: Duration = Duration::from_millis(50);

/// What the page wants next.
#[derive(Debug)]
pub enum PageStep {
    /// Nothing now.
    Rest,
    /// Read the object.
    Read,
    /// Write this page's object.
    Write {
        /// The new value.
        value: Box<str>,
        /// The state it must be in.
        expected: Expected,
    },
    /// Create the object of a new page that takes a half of this one.
    Create {
        /// The new page.
        page: PageName,
        /// Its value.
        value: Box<str>,
    },
    /// Say this; nothing had to be written.
    Say(Vec<Reply>),
}

#[derive(Debug)]
enum Flight {
    Read,
    Write {
        batch: Box<Batch>,
        built_at: Time,
        bytes: usize,
    },
    Child {
        parent: Box<Content>,
    },
}

#[derive(Debug)]
struct Loaded {
    content: Content,
    version: Option<ObjectVersion>,
    // Written under this home's epoch: nobody else's earlier write can take effect any more.
    is_claimed: bool,
    clock_since: Time,
    bytes: usize,
}

impl Loaded {
    fn is_too_long(&self) -> bool {
        self.is_claimed && self.bytes > SPLIT_BYTES && self.content.records.len() > 1
    }
}

/// One page, with what waits to be recorded in it. At most one call to the platform is in flight.
#[derive(Debug)]
pub struct Page {
    loaded: Option<Loaded>,
    waiting: VecDeque<Item>,
    moved: Vec<(PageName, Item)>,
    // This page after a split whose new page is created already.
    halved: Option<Box<Content>>,
    flight: Option<(CallId, Flight)>,
    retry_at: Time,
    used_at: Time,
    outcomes_since: Option<Time>,
}

impl Page {
    /// A page not read yet.
    pub const fn new(now: Time) -> Self {
        Self {
            loaded: None,
            waiting: VecDeque::new(),
            moved: Vec::new(),
            halved: None,
            flight: None,
            retry_at: now,
            used_at: now,
            outcomes_since: None,
        }
    }

    /// Lets an item wait for the next write; one that waits already is not doubled.
    pub fn push(&mut self, now: Time, item: Item) {
        self.used_at = now;
        if self.is_superseded(&item) {
            return;
        }
        // Once the outcome is reported the sender wants no `Go` any more.
        if !item.is_ask() {
            self.waiting
                .retain(|other| other.request() != item.request());
            self.outcomes_since.get_or_insert(now);
        }
        self.waiting.push_back(item);
    }

    // Whether the same item waits, or the outcome of the call that it asks for.
    fn is_superseded(&self, item: &Item) -> bool {
        let mut same = self
            .waiting
            .iter()
            .filter(|other| other.request() == item.request());
        same.any(|other| item.is_ask() || !other.is_ask())
    }

    /// Items found to belong to other pages.
    pub fn take_moved(&mut self) -> Vec<(PageName, Item)> {
        std::mem::take(&mut self.moved)
    }

    /// Whether anything waits or is in flight.
    pub fn is_busy(&self) -> bool {
        self.flight.is_some() || !self.waiting.is_empty() || self.halved.is_some()
    }

    /// Whether the page was not used since `before` and has nothing to do.
    pub fn is_idle_since(&self, before: Time) -> bool {
        !self.is_busy() && self.used_at < before
    }

    /// The page's content, as far as it is known.
    pub fn content(&self) -> Option<&Content> {
        self.loaded.as_ref().map(|loaded| &loaded.content)
    }

    /// The call that the page's last step asked for goes out under this number.
    pub fn sent(&mut self, call: CallId) {
        if let Some((id, _flight)) = &mut self.flight {
            *id = call;
        }
    }

    /// What to do next; only asked while the home may act.
    pub fn next(
        &mut self,
        now: Time,
        retention: Duration,
        members: &BTreeSet<MemberRef>,
    ) -> PageStep {
        if self.flight.is_some() || now < self.retry_at {
            return PageStep::Rest;
        }
        let Some(loaded) = &mut self.loaded else {
            if self.waiting.is_empty() {
                return PageStep::Rest;
            }
            self.flight = Some((CallId(0), Flight::Read));
            return PageStep::Read;
        };
        if let (Some(halved), Some(version)) = (self.halved.take(), loaded.version) {
            let batch = Batch::bare(*halved);
            return self.put(now, batch, Expected::Version(version));
        }
        if loaded.is_too_long() {
            let (page, child, parent) = loaded.content.split();
            let value = child.value();
            let parent = Box::new(parent);
            self.flight = Some((CallId(0), Flight::Child { parent }));
            return PageStep::Create { page, value };
        }
        if self.waiting.is_empty() {
            return PageStep::Rest;
        }
        self.write(now, retention, members)
    }

    fn write(&mut self, now: Time, retention: Duration, members: &BTreeSet<MemberRef>) -> PageStep {
        let Some(loaded) = &mut self.loaded else {
            return PageStep::Rest;
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
            return PageStep::Rest;
        }
        if !batch.is_changed && loaded.is_claimed {
            return PageStep::Say(batch.replies);
        }
        // The first write after a read raises the epoch, whatever else it holds: from then on a
        // former home's write conflicts. Nothing is said to anyone before it took effect.
        if !loaded.is_claimed {
            batch.proposed.epoch += 1;
        }
        let expected = loaded.version.map_or(Expected::Absent, Expected::Version);
        self.put(now, batch, expected)
    }

    fn put(&mut self, now: Time, batch: Batch, expected: Expected) -> PageStep {
        let value = batch.proposed.value();
        let flight = Flight::Write {
            batch: Box::new(batch),
            built_at: now,
            bytes: value.len(),
        };
        self.flight = Some((CallId(0), flight));
        PageStep::Write { value, expected }
    }

    /// Whether the call in flight has this number.
    pub fn awaits(&self, call: CallId) -> bool {
        self.flight
            .as_ref()
            .is_some_and(|(id, _flight)| *id == call)
    }

    /// Whether [`Page::next`] may have something to do.
    pub fn can_go_on(&self, now: Time) -> bool {
        let can_split = self.loaded.as_ref().is_some_and(Loaded::is_too_long);
        let can_write = !self.waiting.is_empty() && !self.lingers(now);
        let has_work = can_write || self.halved.is_some() || can_split;
        has_work && self.flight.is_none() && now >= self.retry_at
    }

    fn lingers(&self, now: Time) -> bool {
        let since = self.outcomes_since;
        let is_early = since.is_some_and(|since| now < since + LINGER);
        is_early && !self.waiting.iter().any(Item::is_ask)
    }

    /// Takes the answer to the call in flight; what it says is to be sent now.
    ///
    /// # Errors
    /// [`CoreError::MalformedObject`] if the object does not parse; it is read again later.
    pub fn answered(
        &mut self,
        now: Time,
        reply: PlatformReply,
        name: &ObjectName,
        workspace: &WorkspaceId,
    ) -> Result<Vec<Reply>, CoreError> {
        let Some((_id, flight)) = self.flight.take() else {
            return Ok(Vec::new());
        };
        let is_away = reply == PlatformReply::Unavailable;
        let mut replies = Vec::new();
        match flight {
            Flight::Read => self.read(now, reply, name, workspace)?,
            Flight::Write {
                batch,
                built_at,
                bytes,
            } => replies = self.written(now, reply, *batch, built_at, bytes),
            Flight::Child { parent } => self.child_created(now, &reply, parent),
        }
        if is_away {
            replies.extend(self.waiting.iter().filter_map(Item::platform_away));
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
            self.retry_at = now + RETRY;
            return Ok(());
        };
        let (content, version, bytes) = match found {
            None => (Content::new(workspace.clone()), None, 0),
            Some(Versioned { value, version }) => {
                let parsed = Content::parse(name, workspace, &value);
                if parsed.is_err() {
                    self.retry_at = now + RETRY;
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

    // A write whose fate is not known is never assumed either way. Its items wait again and the
    // object is read anew: what took effect is found there, and what did not yet can't any more
    // once the claim that follows the read is written, because it expects an older version.
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
            (PlatformReply::Unavailable, _) => self.retry_at = now + RETRY,
            (PlatformReply::Conflict, _) => self.unload(),
            _ => {
                self.unload();
                self.retry_at = now + RETRY;
            }
        }
        self.wait_again(batch.items);
        Vec::new()
    }

    fn wait_again(&mut self, items: Vec<Item>) {
        for item in items.into_iter().rev() {
            if !self.is_superseded(&item) {
                self.waiting.push_front(item);
            }
        }
    }

    fn child_created(&mut self, now: Time, reply: &PlatformReply, parent: Box<Content>) {
        if matches!(reply, PlatformReply::Written(_)) {
            self.halved = Some(parent);
            return;
        }
        // Under a new epoch the next try has another name, free for certain.
        self.unload();
        self.retry_at = now + RETRY;
    }

    fn unload(&mut self) {
        self.loaded = None;
        self.halved = None;
    }
}
