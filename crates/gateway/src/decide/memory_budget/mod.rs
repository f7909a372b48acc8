//! Memory that an instance holds for callers: bodies of requests, buffered responses and what callers have not taken.
//!
//! Everything is counted exactly, by connection and workspace. Beyond the first mark of the budget only connections and
//! workspaces with less than their part get more, and callers that move nothing are ended; beyond the last one new
//! requests are refused.

mod awake_clock;
mod budget_parts;
mod connection;
mod ended_caller;
mod fair_level;
mod held_bytes;
mod held_kind;
mod mark;
mod memory_dump;
mod memory_limit;
mod receive_window;
mod reservation;
mod target_bytes;

use std::collections::BTreeMap;
use std::time::Duration;

use bluebellstage_core::{Time, WorkspaceId};
use slotmap::{SlotMap, new_key_type};

use self::awake_clock::AwakeClock;
use self::budget_parts::BudgetParts;
use self::connection::Connection;
pub use self::ended_caller::EndedCaller;
pub use self::fair_level::fair_level;
use self::held_bytes::HeldBytes;
pub use self::held_kind::HeldKind;
pub use self::mark::Mark;
pub use self::memory_dump::MemoryDump;
pub use self::memory_limit::{BadMemoryLimit, MemoryLimit};
pub use self::receive_window::{MIN_RECEIVE_WINDOW, kernel_bytes, window_for};
pub use self::reservation::Reservation;
pub use self::target_bytes::TargetBytes;

/// Bytes that a connection takes by itself: its task, the buffers of its request heads, and what the kernel has received
/// of it.
pub const CONNECTION_BYTES: u64 = 24 * 1_024 + kernel_bytes(MIN_RECEIVE_WINDOW) as u64;
/// Time without progress after which a caller is ended while memory is short. A target ends a response that is not read
/// for some seconds as well.
pub const STALL_TIME: Duration = Duration::from_secs(5);
/// One reservation may take at most one in this number of the bytes that are left below the last mark, so that large
/// ones leave room for small ones and for connections that come later.
const REST_DIVISOR: u64 = 4;
/// While others hold at most one in this number of the budget's bytes, a reservation may take more than that.
const CALM_DIVISOR: u64 = 8;
/// How long the fair levels are used before they are computed again.
const LEVELS_TTL: Duration = Duration::from_millis(50);

/// Returns how many connections a process with this limit may keep: by themselves they reach the first mark at most.
#[must_use]
pub fn max_connections(limit: MemoryLimit) -> usize {
    let connections = BudgetParts::of(limit).first_mark / CONNECTION_BYTES;
    usize::try_from(connections).unwrap_or(usize::MAX)
}

new_key_type! {
    /// Identifies a connection of a caller.
    pub struct ConnectionKey;
}

/// Max-min fair levels; nobody who holds less than the level has to wait for others.
#[derive(Clone, Copy, Debug, Default)]
struct Levels {
    connection: u64,
    workspace: u64,
}

/// Bytes held for callers and targets, against the budget.
#[derive(Debug)]
pub struct MemoryBudget {
    parts: BudgetParts,
    connections: SlotMap<ConnectionKey, Connection>,
    /// Bytes by workspace; only those that hold any.
    workspaces: BTreeMap<WorkspaceId, u64>,
    held: HeldBytes,
    clock: AwakeClock,
    levels: Option<(Time, Levels)>,
    mark: Mark,
    /// Bytes of requests at targets.
    pub targets: TargetBytes,
}

/// Result of a periodic check.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BudgetCheck {
    /// Callers whose connections must be closed.
    pub ended: Vec<EndedCaller>,
    /// The mark before this check, if it has changed.
    pub left: Option<Mark>,
}

impl MemoryBudget {
    /// Returns the budget of a process with this limit.
    #[must_use]
    pub fn new(limit: MemoryLimit) -> Self {
        Self::with_parts(BudgetParts::of(limit))
    }

    /// Returns a budget of `bytes` for callers alone, for a process that leaves the rest of its memory to others.
    #[must_use]
    pub fn of_bytes(bytes: u64) -> Self {
        Self::with_parts(BudgetParts::of_budget(bytes))
    }

    fn with_parts(parts: BudgetParts) -> Self {
        Self {
            parts,
            connections: SlotMap::with_key(),
            workspaces: BTreeMap::new(),
            held: HeldBytes::default(),
            clock: AwakeClock::default(),
            levels: None,
            mark: Mark::Below,
            targets: TargetBytes::default(),
        }
    }

    /// Records a new connection.
    pub fn open(&mut self) -> ConnectionKey {
        let key = self.connections.insert(Connection::default());
        self.hold(key, HeldKind::Connection, CONNECTION_BYTES);
        key
    }

    /// Records that a connection was closed. What it still holds stays counted until it is released.
    pub fn close(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.is_closed = true;
        }
        self.release(key, HeldKind::Connection, CONNECTION_BYTES);
    }

    /// Records that a connection begins a request of a workspace.
    pub fn start_request(&mut self, key: ConnectionKey, workspace: Option<&WorkspaceId>) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if connection.workspace.as_ref() == workspace {
            return;
        }
        let held = connection.held.total();
        let before = std::mem::replace(&mut connection.workspace, workspace.cloned());
        self.release_workspace(before.as_ref(), held);
        self.hold_workspace(workspace.cloned(), held);
    }

    /// Asks for more bytes. They are counted if the reservation is granted; a connection that has to wait counts as
    /// one that wants them until [`MemoryBudget::stop_waiting`].
    pub fn reserve(
        &mut self,
        key: ConnectionKey,
        kind: HeldKind,
        bytes: u64,
        now: Time,
    ) -> Reservation {
        if self.is_exhausted() || bytes > self.parts.last_mark {
            return Reservation::Refused;
        }
        if bytes == 0 {
            return Reservation::Granted;
        }
        if let Some(connection) = self.connections.get_mut(key) {
            connection.wanted = bytes;
        }
        if !self.has_room(key, bytes, now) {
            return Reservation::Wait;
        }
        self.stop_waiting(key);
        self.hold(key, kind, bytes);
        Reservation::Granted
    }

    /// Records that a connection no longer waits for bytes.
    pub fn stop_waiting(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.wanted = 0;
        }
    }

    /// Counts bytes that have been received already.
    pub fn hold(&mut self, key: ConnectionKey, kind: HeldKind, bytes: u64) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.held.add(kind, bytes);
        let workspace = connection.workspace.clone();
        self.held.add(kind, bytes);
        self.hold_workspace(workspace, bytes);
    }

    /// Gives back bytes.
    pub fn release(&mut self, key: ConnectionKey, kind: HeldKind, bytes: u64) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.held.sub(kind, bytes);
        let workspace = connection.workspace.clone();
        if connection.is_closed && connection.held.total() == 0 {
            self.connections.remove(key);
        }
        self.held.sub(kind, bytes);
        self.release_workspace(workspace.as_ref(), bytes);
    }

    fn hold_workspace(&mut self, workspace: Option<WorkspaceId>, bytes: u64) {
        if let Some(workspace) = workspace
            && bytes > 0
        {
            *self.workspaces.entry(workspace).or_default() += bytes;
        }
    }

    fn release_workspace(&mut self, workspace: Option<&WorkspaceId>, bytes: u64) {
        let Some(workspace) = workspace else { return };
        let Some(held) = self.workspaces.get_mut(workspace) else {
            return;
        };
        *held = held.saturating_sub(bytes);
        if *held == 0 {
            self.workspaces.remove(workspace);
        }
    }

    fn has_room(&mut self, key: ConnectionKey, bytes: u64, now: Time) -> bool {
        let is_below_first_mark = self.held.total() + bytes <= self.parts.first_mark;
        if is_below_first_mark && self.is_calm_beside(key) {
            return true;
        }
        let rest = self.parts.last_mark.saturating_sub(self.held.total());
        if bytes > rest / REST_DIVISOR {
            return false;
        }
        is_below_first_mark || self.is_within_part(key, bytes, now)
    }

    /// Whether other connections hold little, so that a single body of any legal length is let in.
    fn is_calm_beside(&self, key: ConnectionKey) -> bool {
        let own = self.connections.get(key);
        let own = own.map_or(0, |connection| connection.held.beside_connection());
        self.held.beside_connection() - own <= self.parts.budget / CALM_DIVISOR
    }

    /// Whether a connection and its workspace stay within their fair parts with `bytes` more.
    fn is_within_part(&mut self, key: ConnectionKey, bytes: u64, now: Time) -> bool {
        let levels = self.levels(now);
        let Some(connection) = self.connections.get(key) else {
            return false;
        };
        let of_workspace = connection.workspace.as_ref();
        let of_workspace = of_workspace.and_then(|name| self.workspaces.get(name));
        let of_workspace = of_workspace.copied().unwrap_or(0);
        connection.held.total() + bytes <= levels.connection
            && of_workspace + bytes <= levels.workspace
    }

    fn levels(&mut self, now: Time) -> Levels {
        if let Some((computed, levels)) = self.levels
            && now.since(computed) < LEVELS_TTL
        {
            return levels;
        }
        let demands = self.connections.values().map(Connection::demand);
        let connection = fair_level(demands, self.parts.last_mark);
        let mut workspaces = self.workspaces.clone();
        for connection in self.connections.values() {
            if let Some(workspace) = &connection.workspace {
                *workspaces.entry(workspace.clone()).or_default() += connection.wanted;
            }
        }
        let levels = Levels {
            connection,
            workspace: fair_level(workspaces.into_values(), self.parts.last_mark),
        };
        self.levels = Some((now, levels));
        levels
    }

    /// Returns whether new requests must be refused.
    #[must_use]
    pub fn is_exhausted(&self) -> bool {
        self.held.total() >= self.parts.last_mark
    }

    /// Returns whether new connections must be closed unread.
    #[must_use]
    pub fn is_used_up(&self) -> bool {
        self.held.total() >= self.parts.budget
    }

    /// Returns whether more of a response may be read before the caller has taken what there is.
    #[must_use]
    pub fn may_read_ahead(&self, key: ConnectionKey) -> bool {
        let untaken = self
            .connections
            .get(key)
            .map_or(0, |connection| connection.held.of(HeldKind::Untaken));
        untaken == 0 || self.held.total() <= self.parts.first_mark
    }

    /// Records that the instance waits for a caller to send or to take bytes.
    pub fn start_turn(&mut self, key: ConnectionKey) {
        let now = self.clock.awake();
        if let Some(connection) = self.connections.get_mut(key) {
            connection.start_turn(now);
        }
    }

    /// Records that a caller has sent or taken bytes.
    pub fn record_moved(&mut self, key: ConnectionKey, bytes: u64) {
        let now = self.clock.awake();
        if let Some(connection) = self.connections.get_mut(key) {
            connection.record_moved(bytes, now);
        }
    }

    /// Records that the instance no longer waits for what [`MemoryBudget::start_turn`] announced.
    pub fn end_turn(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.open_turns = connection.open_turns.saturating_sub(1);
        }
    }

    /// Returns which callers must be ended, and whether another mark was reached. To be called several times a second;
    /// a longer gap is one in which the instance was suspended, and does not count against callers.
    pub fn check(&mut self, now: Time) -> BudgetCheck {
        self.clock.advance(now);
        let mark = self.parts.mark(self.held.total(), self.mark);
        let before = std::mem::replace(&mut self.mark, mark);
        BudgetCheck {
            ended: self.end_stalled(),
            left: (before != mark).then_some(before),
        }
    }

    /// Ends callers that hold most for longest, until what is held and waited for fits below the first mark.
    fn end_stalled(&mut self) -> Vec<EndedCaller> {
        let running = self.connections.values();
        let running = running.filter(|connection| !connection.is_ended);
        let demand = running.map(Connection::demand).sum::<u64>();
        let mut excess = demand.saturating_sub(self.parts.first_mark);
        if excess == 0 {
            return Vec::new();
        }
        let awake = self.clock.awake();
        let stalled = self.connections.iter().filter_map(|(key, connection)| {
            let caller = EndedCaller {
                key,
                held: connection.held.total(),
                stalled: connection.stalled_for(awake)?,
            };
            (caller.stalled >= STALL_TIME).then_some(caller)
        });
        let mut stalled = stalled.collect::<Vec<_>>();
        stalled.sort_by_key(|caller| std::cmp::Reverse(caller.weight()));
        let mut ended = Vec::new();
        for caller in stalled {
            if excess == 0 {
                break;
            }
            excess = excess.saturating_sub(caller.held);
            self.connections[caller.key].is_ended = true;
            ended.push(caller);
        }
        ended
    }

    /// Returns the mark that the last check found.
    #[must_use]
    pub fn mark(&self) -> Mark {
        self.mark
    }

    /// Returns all bytes that are held.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.held.total()
    }

    /// Returns the bytes that a connection holds.
    #[must_use]
    pub fn held_by(&self, key: ConnectionKey) -> u64 {
        self.connections
            .get(key)
            .map_or(0, |connection| connection.held.total())
    }

    /// Returns how many bytes may be held.
    #[must_use]
    pub const fn budget(&self) -> u64 {
        self.parts.budget
    }

    /// Returns the state for operators.
    #[must_use]
    pub fn dump(&self) -> MemoryDump {
        let awake = self.clock.awake();
        let waiting = self.connections.values().filter(|known| known.wanted > 0);
        let stalled = self.connections.values();
        let stalled = stalled.filter_map(|known| known.stalled_for(awake));
        MemoryDump {
            budget: self.parts.budget,
            first_mark: self.parts.first_mark,
            last_mark: self.parts.last_mark,
            mark: self.mark,
            connections: self.held.of(HeldKind::Connection),
            request_bodies: self.held.of(HeldKind::RequestBody),
            responses: self.held.of(HeldKind::Response),
            untaken: self.held.of(HeldKind::Untaken),
            waiting: waiting.count(),
            stalled: stalled.filter(|stalled| *stalled >= STALL_TIME).count(),
        }
    }
}
