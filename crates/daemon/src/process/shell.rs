//! The shell around the decision core: feeds it events and carries its actions out.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bluebellstage_core::catalogue::ApplyOutcome;
use bluebellstage_core::{
    CallerRequest, ChangeId, Event, Finish, Instance, Notice, RequestAction, RequestEvent,
    RequestId, Time, Tokens,
};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot, watch};

use crate::connection::{CallerSockets, Peers};
use crate::request::BodyMemory;
use crate::settings::Settings;

use super::platform::PlatformClient;
use super::{Clock, Metrics, TargetClients};

/// One decision core with the tables and clients that carry its actions out.
///
/// # Lock order
/// `core`, then `requests`, then `changes`, then a peer's queue. Nothing waits while it holds one:
/// a step of the core is short, and carrying an action out only starts a task or sends on a channel.
/// Actions are carried out under `core`, so that one request's actions keep the order of the steps
/// that gave them.
#[derive(Debug)]
pub(crate) struct Shell {
    pub(crate) clock: Clock,
    pub(crate) settings: Settings,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) targets: TargetClients,
    pub(crate) sockets: CallerSockets,
    /// What callers' bodies take.
    pub(crate) bodies: Arc<BodyMemory>,
    pub(super) platform: PlatformClient,
    pub(super) peers: Peers,
    pub(super) runtime: Handle,
    pub(super) requests: Mutex<HashMap<RequestId, mpsc::UnboundedSender<RequestAction>>>,
    pub(super) changes: Mutex<HashMap<ChangeId, Vec<oneshot::Sender<ApplyOutcome>>>>,
    pub(super) drained: watch::Sender<bool>,
    core: Mutex<Instance>,
}

/// What a [`Shell`] is made of.
pub(super) struct Parts {
    pub(super) clock: Clock,
    pub(super) settings: Settings,
    pub(super) metrics: Arc<Metrics>,
    pub(super) targets: TargetClients,
    pub(super) sockets: CallerSockets,
    pub(super) platform: PlatformClient,
    pub(super) peers: Peers,
    pub(super) core: Instance,
}

impl Shell {
    pub(super) fn new(parts: Parts) -> Self {
        let bodies = BodyMemory::new(&parts.settings.limits, parts.clock);
        Self {
            clock: parts.clock,
            settings: parts.settings,
            metrics: parts.metrics,
            targets: parts.targets,
            sockets: parts.sockets,
            bodies: Arc::new(bodies),
            platform: parts.platform,
            peers: parts.peers,
            runtime: Handle::current(),
            requests: Mutex::default(),
            changes: Mutex::default(),
            drained: watch::Sender::new(false),
            core: Mutex::new(parts.core),
        }
    }

    /// Tells the core what happened and carries out what it decides.
    pub(crate) fn feed(self: &Arc<Self>, event: Event) {
        let notices = self.step(event);
        // Written without the lock: a full pipe behind the log must not hold up decisions.
        for notice in &notices {
            self.note(notice);
        }
    }

    fn step(self: &Arc<Self>, event: Event) -> Vec<Notice> {
        let mut core = self.core();
        // Read under the lock: the core's time never runs backwards.
        let now = self.clock.now();
        let actions = core.step(now, event);
        self.carry_out(actions)
    }

    /// Reads from the core.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Instance, Time) -> T) -> T {
        let core = self.core();
        read(&core, self.clock.now())
    }

    /// Whether a dispatch may still be sent, asked right before its first byte leaves.
    pub(crate) fn may_send(&self, request: RequestId) -> bool {
        let mut core = self.core();
        let now = self.clock.now();
        core.may_send(now, request)
    }

    /// Runs a task that outlives the connection it is about.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.runtime.spawn(task);
    }

    /// Requests under way.
    pub(crate) fn open_requests(&self) -> usize {
        self.requests().len()
    }

    pub(super) fn requests(
        &self,
    ) -> MutexGuard<'_, HashMap<RequestId, mpsc::UnboundedSender<RequestAction>>> {
        // A table entry is put in or taken out whole: a panic elsewhere leaves the table sound.
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn changes(
        &self,
    ) -> MutexGuard<'_, HashMap<ChangeId, Vec<oneshot::Sender<ApplyOutcome>>>> {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn core(&self) -> MutexGuard<'_, Instance> {
        // A core that panicked in the middle of a step may hold half a decision. Going on with it
        // could run a filing twice, so every later use panics as well and the process ends.
        self.core.lock().expect("the decision core is sound")
    }
}

/// A caller's request as the core knows it, for as long as the caller waits.
#[derive(Debug)]
pub(crate) struct RequestHandle {
    shell: Arc<Shell>,
    id: RequestId,
    actions: mpsc::UnboundedReceiver<RequestAction>,
    delivered: Tokens,
    is_ended: bool,
}

impl RequestHandle {
    /// Tells the core that a request arrived.
    pub(crate) fn open(shell: &Arc<Shell>, id: RequestId, request: CallerRequest) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        shell.requests().insert(id, tx);
        let handle = Self {
            shell: Arc::clone(shell),
            id,
            actions: rx,
            delivered: Tokens(0),
            is_ended: false,
        };
        handle.feed(RequestEvent::Arrived(request));
        handle
    }

    /// The request's name.
    pub(crate) const fn id(&self) -> RequestId {
        self.id
    }

    /// The shell that serves it.
    pub(crate) const fn shell(&self) -> &Arc<Shell> {
        &self.shell
    }

    /// The next step that the core decides on.
    pub(crate) async fn action(&mut self) -> RequestAction {
        let action = self.actions.recv().await;
        // The sender stays in the shell's table until this handle is dropped.
        let action = action.expect("the handle's own entry is in the table");
        // After a cut the core still waits to hear that the dispatch ended, and with it the permit.
        self.is_ended = matches!(action, RequestAction::Replay(_) | RequestAction::Refuse(_));
        action
    }

    /// Tells the core how far the answer got.
    pub(crate) fn progress(&mut self, delivered: Tokens) {
        self.delivered = delivered;
        self.feed(RequestEvent::Progress(delivered));
    }

    /// Notes how far the answer got, to be told when it ends.
    pub(crate) const fn note_delivered(&mut self, delivered: Tokens) {
        self.delivered = delivered;
    }

    /// Tells the core how a dispatch ended.
    pub(crate) fn finished(&mut self, finish: Finish) {
        self.is_ended = matches!(finish, Finish::Complete { .. } | Finish::CallerGone { .. });
        self.feed(RequestEvent::Finished(finish));
    }

    /// Whether the core expects nothing more of this request.
    pub(crate) const fn is_ended(&self) -> bool {
        self.is_ended
    }

    fn feed(&self, event: RequestEvent) {
        self.shell.feed(Event::Request { id: self.id, event });
    }
}

impl Drop for RequestHandle {
    // A vanished caller shows only by the drop of whatever served it. Without this the core would
    // hold the request's permit and place in a queue for good.
    fn drop(&mut self) {
        self.shell.requests().remove(&self.id);
        if !self.is_ended {
            let delivered = self.delivered;
            self.feed(RequestEvent::Finished(Finish::CallerGone { delivered }));
        }
    }
}
