//! One peer's queue and the task that delivers it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bluebellstage_core::{InstanceId, PeerMessage};
use tarpc::client::Config;
use tarpc::context;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::process::{Metrics, log_event};
use crate::retry::Backoff;

use super::counted::Counted;
use super::peer_server::{Delivery, codec};

type Client = tarpc::client::Channel<Delivery, ()>;

/// How long one delivery may take; the protocols between instances repeat what is lost.
const DELIVERY_DEADLINE: Duration = Duration::from_secs(1);

/// Messages in one delivery; a longer batch would hold up what comes after it.
const MAX_BATCH: usize = 512;

/// Messages on their way to one peer.
#[derive(Debug)]
pub(super) struct PeerLink {
    me: InstanceId,
    peer: InstanceId,
    address: SocketAddr,
    capacity: usize,
    metrics: Arc<Metrics>,
    queue: Mutex<VecDeque<PeerMessage>>,
    wake: Notify,
}

impl PeerLink {
    pub(super) fn new(
        me: InstanceId,
        peer: InstanceId,
        address: SocketAddr,
        capacity: usize,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            me,
            peer,
            address,
            capacity,
            metrics,
            queue: Mutex::default(),
            wake: Notify::new(),
        }
    }

    /// Where the peer listens.
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Puts a message into the queue; when it is full, the oldest goes.
    ///
    /// A dead peer must not fill the memory, and of two messages the newer says more.
    pub(super) fn push(&self, message: PeerMessage) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        if queue.len() >= self.capacity {
            queue.pop_front();
            self.metrics.messages_dropped(1);
        }
        queue.push_back(message);
        drop(queue);
        self.wake.notify_one();
    }

    /// Delivers until the task is dropped, connecting again whenever the connection ends.
    pub(super) async fn run(self: Arc<Self>) {
        let mut backoff = Backoff::default();
        let mut is_lost = false;
        loop {
            self.wait().await;
            let cause = match self.connect().await {
                Ok(client) => {
                    if is_lost {
                        log_event!(PeerBack, "peer" = self.peer);
                        is_lost = false;
                    }
                    let connected = Instant::now();
                    let cause = self.deliver(&client).await;
                    if connected.elapsed() > DELIVERY_DEADLINE {
                        backoff.reset();
                    }
                    cause
                }
                Err(cause) => cause,
            };
            if !is_lost {
                log_event!(PeerLost, "peer" = self.peer, "cause" = cause);
                is_lost = true;
            }
            sleep(backoff.next_delay()).await;
        }
    }

    async fn connect(&self) -> Result<Client, &'static str> {
        let connecting = TcpStream::connect(self.address);
        let stream = match timeout(DELIVERY_DEADLINE, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => return Err("no connection"),
            Err(_) => return Err("timeout"),
        };
        let _best_effort = stream.set_nodelay(true);
        let framed = codec().new_framed(Counted::new(stream, Arc::clone(&self.metrics)));
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        Ok(tarpc::client::new(Config::default(), transport).spawn())
    }

    /// Delivers batch after batch and gives the cause for which that ended.
    async fn deliver(&self, client: &Client) -> &'static str {
        loop {
            self.wait().await;
            let mut cx = context::current();
            cx.deadline = Instant::now() + DELIVERY_DEADLINE;
            let delivery = Delivery {
                from: self.me.clone(),
                messages: self.take_batch(),
            };
            if client.call(cx, delivery).await.is_err() {
                return "delivery failed";
            }
        }
    }

    /// Waits until there is something to deliver.
    async fn wait(&self) {
        loop {
            let woken = self.wake.notified();
            if !self.queue().is_empty() {
                return;
            }
            woken.await;
        }
    }

    fn take_batch(&self) -> Vec<PeerMessage> {
        let mut queue = self.queue();
        let count = queue.len().min(MAX_BATCH);
        queue.drain(..count).collect()
    }

    fn queue(&self) -> std::sync::MutexGuard<'_, VecDeque<PeerMessage>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
