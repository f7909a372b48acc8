//! The owner's side of a workspace's journal: its pages, platform calls and replies.

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
use super::{CallIntent, CallOutcome, InDoubt};

/// Name of the first page of each journal.
const ROOT: &str = "0";

/// A journal whose pages were all idle for this long is dropped from memory, unless a page holds a
/// call in doubt.
const PAGE_IDLE_TIMEOUT: Duration = Duration::from_mins(2);

/// Interval between two checks for idle journals.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// The pages of a workspace's journal that are in memory.
#[derive(Debug, Default)]
pub struct WorkspaceJournal {
    pages: BTreeMap<PageName, Page>,
}

impl WorkspaceJournal {
    /// Returns the calls in doubt in the loaded pages.
    pub fn in_doubt(&self, members: &BTreeSet<MemberRef>) -> Vec<InDoubt> {
        let mut calls_in_doubt = Vec::new();
        for content in self.pages.values().filter_map(Page::content) {
            for (key, record) in &content.records {
                let is_orphan =
                    record.state == RecordState::Intent && !members.contains(&record.sender);
                if is_orphan || record.state == RecordState::Unknown {
                    calls_in_doubt.push(InDoubt {
                        intent: record.intent(&content.workspace, key),
                        sender: record.sender.id.clone(),
                    });
                }
            }
        }
        calls_in_doubt
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
    /// Records an intent, as owner.
    pub(super) fn handle_intent(
        &mut self,
        cx: &mut Cx<'_>,
        from: &InstanceId,
        sender: MemberRef,
        intent: CallIntent,
    ) {
        // The call of a sender that is not in the map would be in doubt at once. The sender repeats
        // the intent, and by then both instances know the newer of the two maps.
        if !self.members.contains(&sender) {
            return;
        }
        let workspace = intent.workspace.clone();
        let item = Item {
            from: from.clone(),
            kind: ItemKind::Intent { sender, intent },
        };
        self.enqueue(cx, &workspace, item);
    }

    /// Records an outcome, as owner.
    pub(super) fn handle_outcome(
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
            kind: ItemKind::Outcome {
                key,
                request,
                outcome,
            },
        };
        self.enqueue(cx, workspace, item);
    }

    fn enqueue(&mut self, cx: &mut Cx<'_>, workspace: &WorkspaceId, item: Item) {
        if !cx
            .ownership
            .may_act(cx.now, &OwnershipKey::Workspace(workspace.clone()))
        {
            return;
        }
        let workspace_journal = self.journals.entry(workspace.clone()).or_default();
        workspace_journal.push(cx.now, ROOT, item);
        self.advance(cx, workspace);
    }

    /// Handles a platform reply and advances the journal that made the call.
    pub(super) fn handle_platform_reply(&mut self, cx: &mut Cx<'_>, answer: PlatformResponse) {
        let PlatformPurpose::Journal(workspace) = answer.purpose else {
            return;
        };
        let Some(workspace_journal) = self.journals.get_mut(&workspace) else {
            return;
        };
        let mut replies = Vec::new();
        let Some((name, page)) = workspace_journal
            .pages
            .iter_mut()
            .find(|(_name, page)| page.is_awaiting(answer.id))
        else {
            return;
        };
        let Some(name) = object_name(&workspace, name) else {
            return;
        };
        match page.handle_platform_reply(cx.now, answer.reply, &name, &workspace) {
            Ok(due) => replies = due,
            Err(_malformed) => cx.out.push(Action::Notice(Notice::ObjectMalformed(name))),
        }
        for reply in replies {
            self.send(cx, &reply.to, reply.message);
        }
        self.report_new_doubts(cx);
        self.advance(cx, &workspace);
    }

    /// Advances all journals that have work to do.
    pub(super) fn advance_all(&mut self, cx: &mut Cx<'_>) {
        for workspace in self.busy.clone() {
            self.advance(cx, &workspace);
        }
    }

    /// Drops idle journals from memory.
    pub(super) fn sweep(&mut self, now: Time) {
        if now < self.swept_at + SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        let members = &self.members;
        self.journals.retain(|_id, workspace_journal| {
            let idle = workspace_journal
                .pages
                .values()
                .all(|page| page.is_idle_since(now - PAGE_IDLE_TIMEOUT));
            !idle || !workspace_journal.in_doubt(members).is_empty()
        });
    }

    fn advance(&mut self, cx: &mut Cx<'_>, workspace: &WorkspaceId) {
        let key = OwnershipKey::Workspace(workspace.clone());
        while let Some(name) = self.next_page(cx, workspace, &key) {
            self.step_page(cx, workspace, &name);
        }
        if self
            .journals
            .get(workspace)
            .is_some_and(WorkspaceJournal::is_busy)
        {
            self.busy.insert(workspace.clone());
        } else {
            self.busy.remove(workspace);
        }
    }

    // Returns a page that has a next step, if this instance may act.
    //
    // Guards against an owner that was paused, by checking its lease right before each platform
    // call. Object versions alone keep the journal safe; this check keeps two owners from
    // disturbing each other.
    fn next_page(
        &self,
        cx: &Cx<'_>,
        workspace: &WorkspaceId,
        key: &OwnershipKey,
    ) -> Option<PageName> {
        if !cx.ownership.may_act(cx.now, key) {
            return None;
        }
        let mut pages = self.journals.get(workspace)?.pages.iter();
        let ready = pages.find(|(_name, page)| page.has_next_step(cx.now))?;
        Some(ready.0.clone())
    }

    fn step_page(&mut self, cx: &mut Cx<'_>, workspace: &WorkspaceId, name: &PageName) {
        let Some(workspace_journal) = self.journals.get_mut(workspace) else {
            return;
        };
        let Some(page) = workspace_journal.pages.get_mut(name) else {
            return;
        };
        let step = page.next(cx.now, self.retention, &self.members);
        for (child, item) in page.take_moved() {
            workspace_journal.push(cx.now, &child, item);
        }
        match step {
            PageStep::Idle => {}
            PageStep::Reply(replies) => {
                for reply in replies {
                    self.send(cx, &reply.to, reply.message);
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

    // Calls the platform on behalf of `page` for the object that stores the page `object`.
    fn call(
        &mut self,
        cx: &mut Cx<'_>,
        workspace: &WorkspaceId,
        page: &PageName,
        object: &PageName,
        op: impl FnOnce(ObjectName) -> PlatformOp,
    ) {
        self.last_call = CallId(self.last_call.0 + 1);
        let workspace_journal = self.journals.get_mut(workspace);
        if let Some(page) =
            workspace_journal.and_then(|workspace_journal| workspace_journal.pages.get_mut(page))
        {
            page.set_call_id(self.last_call);
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
