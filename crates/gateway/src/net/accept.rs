//! Accepts callers' connections and ends idle ones.

use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use std::time::Duration;

use http::{HeaderValue, Request, Response, header};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use crate::decide::connection_cap::{Eviction, Purpose, eviction};
use crate::decide::refused_body::UploadBounds;
use crate::decide::streams::connection_end::{
    CHECK_INTERVAL, ConnectionState, NextStep, next_step,
};
use crate::edge::Edge;

use super::caller_memory::CallerMemory;
use super::caller_stream::{CallerStream, CloseReason};
use super::callers::{Place, admit};
use super::connection_activity::{Activity, OpenRequest};
use super::forwarded_request::REQUEST_HEADER;
use super::log::{LogEvent, event};
use super::memory::Memory;
use super::node::Node;
use super::pool::MAX_IDLE;
use super::refused_body::RefusedBody;
use super::request_body::RequestBody;
use super::response_body::CountedBody;
use super::sockets::set_options;

/// Delay after a connection could not be accepted, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Value of the header that says that a connection closes after its response.
const CLOSE: &str = "close";

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

impl ListenerKind {
    /// Returns what its connections are for; `None` if they are not callers'.
    const fn purpose(self) -> Option<Purpose> {
        match self {
            Self::Front => Some(Purpose::Requests),
            Self::Directory => Some(Purpose::Lookups),
            Self::Control => None,
        }
    }
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
                let activity = Activity::new(node.now(), idle_timeout(&node, listener_kind));
                let activity = Arc::new(activity);
                let place = match listener_kind.purpose() {
                    Some(purpose) => match admit(&node, &activity, purpose).await {
                        Some(place) => Some(place),
                        None => continue,
                    },
                    None => None,
                };
                set_options(&stream);
                let accepted = Accepted {
                    stream,
                    activity,
                    place,
                };
                tokio::spawn(connection(Arc::clone(&node), accepted, listener_kind));
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
    listener_kind != ListenerKind::Control
        && memory.is_some_and(|memory| memory.budget().is_used_up())
}

/// Returns when the caller must be ended because memory is short.
async fn until_ended(caller: Option<&CallerMemory>) {
    match caller {
        Some(caller) => caller.until_ended().await,
        None => std::future::pending().await,
    }
}

/// Returns when the connection has to make room for others.
async fn until_evicted(place: Option<&Place>) {
    match place {
        Some(place) => place.until_evicted().await,
        None => std::future::pending().await,
    }
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

/// A connection that was accepted.
struct Accepted {
    stream: TcpStream,
    activity: Arc<Activity>,
    /// Set for a connection of a caller.
    place: Option<Place>,
}

async fn connection<E: Edge>(node: Arc<Node<E>>, accepted: Accepted, listener_kind: ListenerKind) {
    let Accepted {
        stream,
        activity,
        place,
    } = accepted;
    let connection_guard =
        (listener_kind == ListenerKind::Front).then(|| ConnectionGuard::new(&node));
    let limits = node.tables().routes.config().limits;
    let memory = node.memory.as_ref();
    let caller = memory.map(Memory::open);
    let service = service_fn(|mut req| {
        if let Some(caller) = &caller {
            req.extensions_mut().insert(Arc::clone(caller));
        }
        let node = Arc::clone(&node);
        let activity = Arc::clone(&activity);
        let open_request = OpenRequest::begin(&node, &activity);
        async move {
            let res = respond(&node, &activity, open_request, req, listener_kind).await;
            activity.record_response(idle_timeout(&node, listener_kind), is_close_told(&res));
            Ok::<_, Infallible>(res)
        }
    });
    let heads = match caller {
        Some(_) => HEADS_IN_SMALL_BUFFER,
        None => HEADS_IN_BUFFER,
    };
    let buf_size = limits.header_bytes.max(MIN_HEADER_BYTES) * heads;
    let of_caller = (listener_kind != ListenerKind::Control).then(|| caller.clone());
    let stream = CallerStream::new(
        stream,
        Arc::clone(&activity),
        Arc::clone(&node),
        of_caller.flatten(),
    );
    let serving = http1::Builder::new()
        .max_buf_size(buf_size)
        .serve_connection(TokioIo::new(stream), service);
    let mut serving = pin!(serving);
    let mut next_check = CHECK_INTERVAL;
    loop {
        tokio::select! {
            // The caller of a broken connection can't be notified. Its request logged the failure.
            _ended = serving.as_mut() => break,
            () = until_ended(caller.as_deref()) => {
                activity.close(CloseReason::Memory);
                break;
            }
            () = until_evicted(place.as_ref()) => {
                match eviction(activity.current_use(node.now())) {
                    Eviction::Keep => {}
                    Eviction::CloseOnceRead => activity.close(CloseReason::Crowded),
                    Eviction::Cut => {
                        activity.close(CloseReason::Crowded);
                        break;
                    }
                }
            }
            () = tokio::time::sleep(next_check) => {}
            () = node.stop.notified() => {}
        }
        next_check = match next_step(connection_state(&node, &activity, listener_kind)) {
            NextStep::Keep(span) => span,
            NextStep::CloseOnceRead => {
                activity.close(if node.is_closing() {
                    CloseReason::Stop
                } else {
                    CloseReason::Idle
                });
                CHECK_INTERVAL
            }
            NextStep::Cut => {
                activity.close(CloseReason::SlowHead);
                break;
            }
        };
    }
    drop(connection_guard);
}

fn connection_state<E: Edge>(
    node: &Node<E>,
    activity: &Activity,
    listener_kind: ListenerKind,
) -> ConnectionState {
    let (told_timeout, is_close_told) = activity.told();
    ConnectionState {
        now: activity.current_use(node.now()),
        idle_timeout: idle_timeout(node, listener_kind).max(told_timeout),
        header_timeout: node.tables().routes.config().limits.header_timeout,
        closing_for: node.closing_for(),
        is_close_told,
    }
}

/// Returns the idle timeout that is in force. Peers' pools keep connections by the configuration of the last request,
/// so that a shrunk timeout would close those that they still use.
fn idle_timeout<E: Edge>(node: &Node<E>, listener_kind: ListenerKind) -> Duration {
    let timeout = node.tables().routes.config().limits.idle_timeout;
    match listener_kind {
        ListenerKind::Front | ListenerKind::Directory => timeout,
        ListenerKind::Control => timeout.max(MAX_IDLE * 2),
    }
}

/// Whether a response says that its connection closes.
fn is_close_told<B>(res: &Response<B>) -> bool {
    let value = res.headers().get(header::CONNECTION);
    value.is_some_and(|value| value == CLOSE)
}

async fn respond<E: Edge>(
    node: &Arc<Node<E>>,
    activity: &Arc<Activity>,
    open_request: OpenRequest<E>,
    req: Request<Incoming>,
    listener_kind: ListenerKind,
) -> Response<RespondedBody<E>> {
    let (head, body) = req.into_parts();
    let bounds = UploadBounds::of_anyone(&node.tables().routes.config().limits);
    let mut body = RequestBody::new(&head, body, node.now(), bounds, activity);
    let caller = head.extensions.get::<Arc<CallerMemory>>().cloned();
    let is_forwarded = head.headers.contains_key(REQUEST_HEADER);
    let mut counted = None;
    let mut res = match listener_kind {
        ListenerKind::Front => super::serve::serve(Arc::clone(node), head, &mut body).await,
        ListenerKind::Control if is_forwarded => {
            counted = Some(ConnectionGuard::new(node));
            super::serve::serve_forwarded(Arc::clone(node), head, &mut body).await
        }
        ListenerKind::Directory => super::directory::respond(node, &head),
        ListenerKind::Control => super::control::respond(node, &head),
    };
    let refused = RefusedBody::of(node, body, caller.clone());
    let must_close = refused.as_ref();
    let must_close = must_close.is_some_and(|refused| refused.must_close(node.now()));
    if node.is_stopping() || must_close {
        let close = HeaderValue::from_static(CLOSE);
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res.map(|body| RespondedBody {
        body: CountedBody::new(body, caller),
        failure: None,
        in_use: Arc::new(InUse {
            _request: open_request,
            _counted: counted,
        }),
        refused: refused.map(|refused| (refused, Arc::clone(node), Arc::clone(activity))),
    })
}

/// A connection is in use until its response is sent and the body of its request is read or dropped.
struct InUse<E: Edge> {
    _request: OpenRequest<E>,
    /// Set for a request that a peer forwards: a planned stop waits for it as for callers' connections.
    _counted: Option<ConnectionGuard<E>>,
}

/// The body of a response. Its request is open until it is sent.
struct RespondedBody<E: Edge> {
    body: CountedBody,
    /// Why the body is cut, until it is told to the connection.
    failure: Option<std::io::Error>,
    in_use: Arc<InUse<E>>,
    /// What is left of the request's body, until the head of the response is written.
    refused: Option<(RefusedBody, Arc<Node<E>>, Arc<Activity>)>,
}

impl<E: Edge> RespondedBody<E> {
    /// Begins to drop what is left of the request's body.
    fn discard_refused(&mut self) {
        if let Some((refused, node, activity)) = self.refused.take() {
            refused.discard(node, activity, Arc::clone(&self.in_use));
        }
    }
}

impl<E: Edge> Drop for RespondedBody<E> {
    fn drop(&mut self) {
        self.discard_refused();
    }
}

impl<E: Edge> Body for RespondedBody<E> {
    type Data = bytes::Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        if let Some(err) = self.failure.take() {
            return Poll::Ready(Some(Err(err)));
        }
        self.discard_refused();
        match Pin::new(&mut self.body).poll_frame(cx) {
            // The connection drops what it has not sent yet once it knows of the failure, even the head.
            Poll::Ready(Some(Err(err))) => {
                self.failure = Some(err);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            polled => polled,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
