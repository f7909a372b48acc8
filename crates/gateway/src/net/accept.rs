//! Accepts callers' connections and ends idle ones.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use http::{HeaderValue, Request, Response, header};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use crate::edge::Edge;

use super::log::{LogEvent, event};
use super::node::Node;
use super::refuse::AnswerBody;
use super::sockets::tune;

/// Pause after a connection that could not be accepted, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Pause between looks at a connection's idle time.
const IDLE_LOOK: Duration = Duration::from_secs(2);

/// Which requests a listener serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Door {
    /// Callers' requests.
    Front,
    /// Questions of callers and the platform.
    Directory,
    /// Questions of peers.
    Control,
}

/// Serves connections until the process ends.
pub(super) async fn serve<E: Edge>(node: Arc<Node<E>>, listener: TcpListener, door: Door) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tune(&stream);
                tokio::spawn(connection(Arc::clone(&node), stream, door));
            }
            Err(err) => {
                event(LogEvent::AcceptFailed, &[("cause", &err.to_string())]);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// What goes on on a connection.
#[derive(Debug, Default)]
struct Activity {
    open: AtomicUsize,
    /// Milliseconds of the process's clock when the last answer ended.
    idle_since: AtomicU64,
}

fn millis<E: Edge>(node: &Node<E>) -> u64 {
    node.now().0 / 1_000
}

struct Counted<E: Edge>(Arc<Node<E>>);

impl<E: Edge> Drop for Counted<E> {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn connection<E: Edge>(node: Arc<Node<E>>, stream: TcpStream, door: Door) {
    let counted = (door == Door::Front).then(|| {
        node.connections.fetch_add(1, Ordering::Relaxed);
        Counted(Arc::clone(&node))
    });
    let limits = node.tables().routes.config().limits;
    let activity = Arc::new(Activity::default());
    activity.idle_since.store(millis(&node), Ordering::Relaxed);
    let service = service_fn(|req| {
        let node = Arc::clone(&node);
        let activity = Arc::clone(&activity);
        async move { Ok::<_, Infallible>(respond(node, activity, req, door).await) }
    });
    let serving = http1::Builder::new()
        .max_buf_size(limits.header_bytes.max(8 * 1_024) * 4)
        .serve_connection(TokioIo::new(stream), service);
    let mut serving = pin!(serving);
    let mut asked_to_end = false;
    loop {
        let look = tokio::time::sleep(IDLE_LOOK);
        tokio::select! {
            // A broken connection has nobody left to tell; its request logged what it met.
            _ended = serving.as_mut() => break,
            () = look => {}
            () = node.stop.notified(), if !asked_to_end => {}
        }
        let idle = millis(&node).saturating_sub(activity.idle_since.load(Ordering::Relaxed));
        let idle = Duration::from_millis(idle);
        let unused = activity.open.load(Ordering::Relaxed) == 0;
        let limit = node.tables().routes.config().limits.idle_timeout;
        let closing = node.closing();
        if !asked_to_end && (closing || unused && idle > limit) {
            serving.as_mut().graceful_shutdown();
            asked_to_end = true;
        }
    }
    drop(counted);
}

async fn respond<E: Edge>(
    node: Arc<Node<E>>,
    activity: Arc<Activity>,
    req: Request<Incoming>,
    door: Door,
) -> Response<Held<E>> {
    activity.open.fetch_add(1, Ordering::Relaxed);
    let hold = Hold {
        node: Arc::clone(&node),
        activity,
    };
    let mut res = match door {
        Door::Front => super::front::serve(Arc::clone(&node), req).await,
        Door::Directory => super::directory::answer(&node, &req),
        Door::Control => super::control::answer(&node, &req),
    };
    if node.stopping() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res.map(|body| Held { body, _hold: hold })
}

struct Hold<E: Edge> {
    node: Arc<Node<E>>,
    activity: Arc<Activity>,
}

impl<E: Edge> Drop for Hold<E> {
    fn drop(&mut self) {
        let now = millis(&self.node);
        self.activity.idle_since.store(now, Ordering::Relaxed);
        self.activity.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A body that marks its connection as busy until it is sent.
struct Held<E: Edge> {
    body: AnswerBody,
    _hold: Hold<E>,
}

impl<E: Edge> Body for Held<E> {
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
