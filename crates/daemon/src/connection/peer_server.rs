//! Taking messages from other instances.

use std::future::ready;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bluebellstage_core::{Event, InstanceId, PeerMessage};
use futures::StreamExt;
use serde::{Deserialize, Serialize};
use tarpc::RequestName;
use tarpc::server::{BaseChannel, Channel, serve};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::process::{Metrics, Shell};

use super::counted::Counted;

/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Largest frame between instances: a map or a batch, well under this.
pub(super) const MAX_FRAME: usize = 8 << 20;

/// What one instance asks of another: take these messages. The answer says only that they arrived.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Delivery {
    pub(super) from: InstanceId,
    pub(super) messages: Vec<PeerMessage>,
}

impl RequestName for Delivery {
    fn name(&self) -> &'static str {
        "deliver"
    }
}

/// Serves other instances' deliveries.
#[derive(Clone, Debug)]
pub(crate) struct PeerServer {
    shell: Arc<OnceLock<Arc<Shell>>>,
}

impl PeerServer {
    /// Takes a delivery.
    ///
    /// Nothing is awaited in here: the library drops a handler at its next await once its caller
    /// went away, and a batch that is half taken would, say, take a share back without lending it
    /// on.
    fn take(&self, delivery: Delivery) {
        let Some(shell) = self.shell.get() else {
            return;
        };
        for message in delivery.messages {
            shell.feed(Event::Message {
                from: delivery.from.clone(),
                message: Box::new(message),
            });
        }
    }

    pub(crate) const fn new(shell: Arc<OnceLock<Arc<Shell>>>) -> Self {
        Self { shell }
    }

    /// Accepts other instances until the task is dropped.
    pub(crate) async fn accept(self, listener: TcpListener, metrics: Arc<Metrics>) {
        // Dropped with this task: a connection must not go on feeding an instance that ended.
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        let server = self.clone();
                        connections.spawn(server.serve_connection(stream, Arc::clone(&metrics)));
                    }
                    // Out of descriptors or the like: it passes, and the port stays open.
                    Err(_) => sleep(ACCEPT_PAUSE).await,
                },
                Some(_ended) = connections.join_next() => {}
            }
        }
    }

    async fn serve_connection(self, stream: TcpStream, metrics: Arc<Metrics>) {
        let _best_effort = stream.set_nodelay(true);
        let framed = codec().new_framed(Counted::new(stream, metrics));
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let channel = BaseChannel::with_defaults(transport);
        let handle = serve(move |_cx, delivery| {
            self.take(delivery);
            ready(Ok(()))
        });
        // Each in the connection's own task, so that one peer's batches keep their order.
        channel.execute(handle).for_each(|handler| handler).await;
    }
}

/// How messages are framed.
pub(super) fn codec() -> tarpc::tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME);
    builder
}
