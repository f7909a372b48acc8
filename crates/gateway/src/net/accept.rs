//! Accepts callers' connections and ends idle ones.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use http::{HeaderValue, Request, Response, header};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use crate::edge::Edge;

use super::caller_memory::CallerMemory;
use super::caller_stream::{CallerStream, CloseReason, SharedCloseReason};
use super::log::{LogEvent, event};
use super::memory::Memory;
use super::node::Node;
use super::peer_forwarding::REQUEST_HEADER;
use super::pool::MAX_IDLE;
use super::response_body::CountedBody;
use super::sockets::set_options;

/// Delay after a connection could not be accepted, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval of the checks of a connection's idle time.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// How long a connection that has not carried a request stays open once the instance closes: its first
/// request may be in transit and gets a response that says it was not run.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);

/// Least request head that fits a connection's buffer, in bytes.
const MIN_HEADER_BYTES: usize = 8 * 1_024;
/// Size of a connection's buffers, as a multiple of the longest request head.
const HEADS_IN_BUFFER: usize = 4;
/// The same if memory is limited.
const HEADS_IN_SMALL_BUFFER: usize = 2;

/// Which requests a listener serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ListenerKind {
    /// Callers' requests.
    Front,
    /// Address lookups of callers and readiness checks of the platform.
    Directory,
    /// Requests of peers and operators.
    Control,
}

/// Accepts and serves connections until the process ends.
pub(super) async fn serve<E: Edge>(
    node: Arc<Node<E>>,
    listener: TcpListener,
    listener_kind: ListenerKind,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if is_memory_used_up(&node, listener_kind) => drop(stream),
            Ok((stream, _)) => {
                set_options(&stream);
                tokio::spawn(connection(Arc::clone(&node), stream, listener_kind));
            }
            Err(err) => {
                event(LogEvent::AcceptFailed, &[("cause", &err.to_string())]);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Whether a connection must be closed unread: there is no memory left for a response that says so.
fn is_memory_used_up<E: Edge>(node: &Node<E>, listener_kind: ListenerKind) -> bool {
    let memory = node.memory.as_ref();
    listener_kind == ListenerKind::Front
        && memory.is_some_and(|memory| memory.budget().is_used_up())
}

/// Returns when the caller must be ended because memory is short.
async fn until_ended(caller: Option<&CallerMemory>) {
    match caller {
        Some(caller) => caller.until_ended().await,
        None => std::future::pending().await,
    }
}

/// Requests in progress on a connection, and its idle time.
#[derive(Debug, Default)]
struct Activity {
    open_requests: AtomicUsize,
    /// When the last response ended, in milliseconds of [`Node::now`].
    idle_since: AtomicU64,
    /// Whether a request has arrived.
    was_used: AtomicBool,
}

impl Activity {
    fn idle_time<E: Edge>(&self, node: &Node<E>) -> Duration {
        let idle_since = self.idle_since.load(Ordering::Relaxed);
        Duration::from_millis(millis(node).saturating_sub(idle_since))
    }

    /// Returns how much longer the first request may take to arrive.
    fn first_request_wait<E: Edge>(&self, node: &Node<E>) -> Duration {
        if self.was_used.load(Ordering::Relaxed) {
            return Duration::ZERO;
        }
        FIRST_REQUEST_GRACE.saturating_sub(self.idle_time(node))
    }
}

fn millis<E: Edge>(node: &Node<E>) -> u64 {
    node.now().0 / 1_000
}

struct ConnectionGuard<E: Edge>(Arc<Node<E>>);

impl<E: Edge> ConnectionGuard<E> {
    fn new(node: &Arc<Node<E>>) -> Self {
        node.connections.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(node))
    }
}

impl<E: Edge> Drop for ConnectionGuard<E> {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn connection<E: Edge>(node: Arc<Node<E>>, stream: TcpStream, listener_kind: ListenerKind) {
    let connection_guard =
        (listener_kind == ListenerKind::Front).then(|| ConnectionGuard::new(&node));
    let limits = node.tables().routes.config().limits;
    let activity = Arc::new(Activity::default());
    activity.idle_since.store(millis(&node), Ordering::Relaxed);
    let memory = node.memory.as_ref();
    let memory = memory.filter(|_| listener_kind != ListenerKind::Directory);
    let caller = memory.map(Memory::open);
    let service = service_fn(|mut req| {
        if let Some(caller) = &caller {
            req.extensions_mut().insert(Arc::clone(caller));
        }
        let node = Arc::clone(&node);
        let activity = Arc::clone(&activity);
        async move { Ok::<_, Infallible>(respond(node, activity, req, listener_kind).await) }
    });
    let heads = match caller {
        Some(_) => HEADS_IN_SMALL_BUFFER,
        None => HEADS_IN_BUFFER,
    };
    let buf_size = limits.header_bytes.max(MIN_HEADER_BYTES) * heads;
    let close_reason = Arc::<SharedCloseReason>::default();
    let stream = CallerStream::new(stream, Arc::clone(&close_reason), Arc::clone(&node));
    let serving = http1::Builder::new()
        .max_buf_size(buf_size)
        .serve_connection(TokioIo::new(stream), service);
    let mut serving = pin!(serving);
    let mut is_shutting_down = false;
    let mut next_check = IDLE_CHECK_INTERVAL;
    loop {
        let tick = tokio::time::sleep(next_check);
        tokio::select! {
            // The caller of a broken connection can't be notified. Its request logged the failure.
            _ended = serving.as_mut() => break,
            () = until_ended(caller.as_deref()) => {
                close_reason.set(CloseReason::Memory);
                break;
            }
            () = tick => {}
            () = node.stop.notified(), if !is_shutting_down => {}
        }
        let unused = activity.open_requests.load(Ordering::Relaxed) == 0;
        let limit = idle_limit(&node, listener_kind);
        let first_request_wait = activity.first_request_wait(&node);
        if node.is_closing() && !first_request_wait.is_zero() {
            next_check = first_request_wait;
            continue;
        }
        next_check = IDLE_CHECK_INTERVAL;
        if !is_shutting_down && (node.is_closing() || unused && activity.idle_time(&node) > limit) {
            close_reason.set(if node.is_closing() {
                CloseReason::Stop
            } else {
                CloseReason::Idle
            });
            serving.as_mut().graceful_shutdown();
            is_shutting_down = true;
        }
    }
    drop(connection_guard);
}

/// Returns the idle time after which a connection is closed. Peers' pools keep connections by the configuration of
/// the last request, so that a shrunk limit would close those that they still use.
fn idle_limit<E: Edge>(node: &Node<E>, listener_kind: ListenerKind) -> Duration {
    let limit = node.tables().routes.config().limits.idle_timeout;
    match listener_kind {
        ListenerKind::Front | ListenerKind::Directory => limit,
        ListenerKind::Control => limit.max(MAX_IDLE * 2),
    }
}

async fn respond<E: Edge>(
    node: Arc<Node<E>>,
    activity: Arc<Activity>,
    req: Request<Incoming>,
    listener_kind: ListenerKind,
) -> Response<GuardedBody<E>> {
    activity.open_requests.fetch_add(1, Ordering::Relaxed);
    activity.was_used.store(true, Ordering::Relaxed);
    let guard = ActivityGuard {
        node: Arc::clone(&node),
        activity,
    };
    let caller = req.extensions().get::<Arc<CallerMemory>>().cloned();
    let is_forwarded = req.headers().contains_key(REQUEST_HEADER);
    let mut counted = None;
    let mut res = match listener_kind {
        ListenerKind::Front => super::serve::serve(Arc::clone(&node), req).await,
        ListenerKind::Control if is_forwarded => {
            counted = Some(ConnectionGuard::new(&node));
            super::serve::serve_forwarded(Arc::clone(&node), req).await
        }
        ListenerKind::Directory => super::directory::respond(&node, &req),
        ListenerKind::Control => super::control::respond(&node, &req),
    };
    if node.is_stopping() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res.map(|body| GuardedBody {
        body: CountedBody::new(body, caller),
        _guard: guard,
        _counted: counted,
    })
}

struct ActivityGuard<E: Edge> {
    node: Arc<Node<E>>,
    activity: Arc<Activity>,
}

impl<E: Edge> Drop for ActivityGuard<E> {
    fn drop(&mut self) {
        let now = millis(&self.node);
        self.activity.idle_since.store(now, Ordering::Relaxed);
        self.activity.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A response body that marks its connection as active until it is sent.
struct GuardedBody<E: Edge> {
    body: CountedBody,
    _guard: ActivityGuard<E>,
    /// Set for a request that a peer forwards: a planned stop waits for it as for callers' connections.
    _counted: Option<ConnectionGuard<E>>,
}

impl<E: Edge> Body for GuardedBody<E> {
    type Data = bytes::Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        std::pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
