//! A workspace's journal at its home: its pages, and what is said and written about them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::platform::{Expected, PlatformResponse};
use crate::{
    Action, CallId, Cx, IdempotencyKey, InstanceId, MemberRef, Notice, ObjectName, OwnershipKey,
    PlatformCall, PlatformOp, PlatformPurpose, RequestId, Time, WorkspaceId,
};

use super::batch::{Item, ItemKind};
use super::content::{PageName, RecordState, object_name};
use super::core::Journal;
use super::page::{Page, PageStep};
use super::{CallOutcome, InDoubt, JournalAsk};

/// The page that each journal begins with.
const ROOT: &str = "0";

/// Pages not used for this long leave the memory, unless they hold a call in doubt.
const PAGE_KEPT: Duration = Duration::from_mins(2);

/// Time between two looks for pages to drop.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// The pages of one workspace's journal that are in memory.
#[derive(Debug, Default)]
pub struct Book {
    pages: BTreeMap<PageName, Page>,
}

impl Book {
    /// Its calls in doubt.
    pub fn in_doubt(&self, members: &BTreeSet<MemberRef>) -> Vec<InDoubt> {
        let mut doubts = Vec::new();
        for content in self.pages.values().filter_map(Page::content) {
            for (key, record) in &content.records {
                let is_orphan =
                    record.state == RecordState::Intent && !members.contains(&record.sender);
                if is_orphan || record.state == RecordState::Unknown {
                    doubts.push(InDoubt {
                        ask: record.ask(&content.workspace, key),
                        sender: record.sender.id.clone(),
                    });
                }
            }
        }
        doubts
    }

    fn is_busy(&self) -> bool {
        self.pages.values().any(Page::is_busy)
    }

    fn push(&mut self, now: Time, page: &str, item: Item) {
        let page = self
            .pages
            .entry(page.into())
            .or_insert_with(|| Page::new(now));
        page.push(now, item);
    }
}

impl Journal {
    /// As home: an intent is to be recorded.
    pub(super) fn asked(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        sender: MemberRef,
        ask: JournalAsk,
    ) {
        // An unlisted sender would be in doubt at once. It asks again, and by then the newer of
        // the two maps is known to both.
        if !self.members.contains(&sender) {
            return;
        }
        let workspace = ask.workspace.clone();
        let item = Item {
            from: from.clone(),
            kind: ItemKind::Ask { sender, ask },
        };
        self.enter(cx, &workspace, item);
    }

    /// As home: an outcome is to be recorded.
    pub(super) fn reported(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        workspace: &WorkspaceId,
        key: IdempotencyKey,
        request: RequestId,
        outcome: CallOutcome,
    ) {
        let item = Item {
            from: from.clone(),
            kind: ItemKind::Report {
                key,
                request,
                outcome,
            },
        };
        self.enter(cx, workspace, item);
    }

    fn enter(&mut self, cx: &mut Cx<'_>, workspace: &WorkspaceId, item: Item) {
        if !cx
            .ownership
            .may_act(cx.now, &OwnershipKey::Workspace(workspace.clone()))
        {
            return;
        }
        let book = self.books.entry(workspace.clone()).or_default();
        book.push(cx.now, ROOT, item);
        self.advance(cx, workspace);
    }

    /// Takes the platform's answer and goes on with the page it is about.
    pub(super) fn platform_answered(&mut self, cx: &mut Cx<'_>, answer: PlatformResponse) {
        let PlatformPurpose::Journal(workspace) = answer.purpose else {
            return;
        };
        let Some(book) = self.books.get_mut(&workspace) else {
            return;
        };
        let mut replies = Vec::new();
        let Some((name, page)) = book
            .pages
            .iter_mut()
            .find(|(_name, page)| page.awaits(answer.id))
        else {
            return;
        };
        let Some(name) = object_name(&workspace, name) else {
            return;
        };
        match page.answered(cx.now, answer.reply, &name, &workspace) {
            Ok(said) => replies = said,
            Err(_malformed) => cx.out.push(Action::Notice(Notice::ObjectMalformed(name))),
        }
        for reply in replies {
            self.say(cx, &reply.to, reply.message);
        }
        self.notice_doubts(cx);
        self.advance(cx, &workspace);
    }

    /// Goes on with all journals that have something to do.
    pub(super) fn advance_all(&mut self, cx: &mut Cx<'_>) {
        for workspace in self.busy.clone() {
            self.advance(cx, &workspace);
        }
    }

    /// Drops pages from memory that were not used for long.
    pub(super) fn sweep(&mut self, now: Time) {
        if now < self.swept_at + SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        let members = &self.members;
        self.books.retain(|_id, book| {
            let idle = book
                .pages
                .values()
                .all(|page| page.is_idle_since(now - PAGE_KEPT));
            !idle || !book.in_doubt(members).is_empty()
        });
    }

    fn advance(&mut self, cx: &mut Cx<'_>, workspace: &WorkspaceId) {
        let key = OwnershipKey::Workspace(workspace.clone());
        while let Some(name) = self.next_page(cx, workspace, &key) {
            self.step_page(cx, workspace, &name);
        }
        if self.books.get(workspace).is_some_and(Book::is_busy) {
            self.busy.insert(workspace.clone());
        } else {
            self.busy.remove(workspace);
        }
    }

    // A page that can go on, while this instance may act.
    //
    // Guards against a home that was paused: its standing is asked right before each call. The
    // journal would be safe without, by the versions; this keeps two homes from disturbing each
    // other.
    fn next_page(
        &self,
        cx: &Cx<'_>,
        workspace: &WorkspaceId,
        key: &OwnershipKey,
    ) -> Option<PageName> {
        if !cx.ownership.may_act(cx.now, key) {
            return None;
        }
        let mut pages = self.books.get(workspace)?.pages.iter();
        let ready = pages.find(|(_name, page)| page.can_go_on(cx.now))?;
        Some(ready.0.clone())
    }

    fn step_page(&mut self, cx: &mut Cx<'_>, workspace: &WorkspaceId, name: &PageName) {
        let Some(book) = self.books.get_mut(workspace) else {
            return;
        };
        let Some(page) = book.pages.get_mut(name) else {
            return;
        };
        let step = page.next(cx.now, self.retention, &self.members);
        for (child, item) in page.take_moved() {
            book.push(cx.now, &child, item);
        }
        match step {
            PageStep::Rest => {}
            PageStep::Say(replies) => {
                for reply in replies {
                    self.say(cx, &reply.to, reply.message);
                }
            }
            PageStep::Read => self.call(cx, workspace, name, name, |name| PlatformOp::Get { name }),
            PageStep::Write { value, expected } => {
                self.call(cx, workspace, name, name, |name| PlatformOp::Put {
                    name,
                    value,
                    expected,
                });
            }
            PageStep::Create { page, value } => {
                self.call(cx, workspace, name, &page, |name| PlatformOp::Put {
                    name,
                    value,
                    expected: Expected::Absent,
                });
            }
        }
    }

    // Calls the platform for `page` about the object of `object`.
    fn call(
        &mut self,
        cx: &mut Cx<'_>,
        workspace: &WorkspaceId,
        page: &PageName,
        object: &PageName,
        op: impl FnOnce(ObjectName) -> PlatformOp,
    ) {
        self.last_call = CallId(self.last_call.0 + 1);
        let book = self.books.get_mut(workspace);
        if let Some(page) = book.and_then(|book| book.pages.get_mut(page)) {
            page.sent(self.last_call);
        }
        let Some(name) = object_name(workspace, object) else {
            return;
        };
        cx.out.push(Action::Platform(PlatformCall {
            id: self.last_call,
            purpose: PlatformPurpose::Journal(workspace.clone()),
            op: op(name),
        }));
    }
}
