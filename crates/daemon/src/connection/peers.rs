//! Sending messages to other instances.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use bluebellstage_core::{InstanceId, Member, PeerMessage};
use tokio::runtime::Handle;
use tokio::task::AbortHandle;

use crate::process::Metrics;

use super::peer_link::PeerLink;

/// The queues to all other instances of the map in force.
#[derive(Debug)]
pub(crate) struct Peers {
    me: InstanceId,
    capacity: usize,
    metrics: Arc<Metrics>,
    runtime: Handle,
    links: Mutex<BTreeMap<InstanceId, RunningLink>>,
}

/// A queue with the task that delivers it.
#[derive(Debug)]
struct RunningLink {
    link: Arc<PeerLink>,
    task: AbortHandle,
}

impl Drop for RunningLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Peers {
    /// No peers known; tasks run on the current runtime.
    pub(crate) fn new(me: InstanceId, capacity: usize, metrics: Arc<Metrics>) -> Self {
        Self {
            me,
            capacity,
            metrics,
            runtime: Handle::current(),
            links: Mutex::default(),
        }
    }

    /// Follows a newer map: links to its members, none to those that left.
    pub(crate) fn adopt(&self, members: &[Member]) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.retain(|id, running| {
            let member = members.iter().find(|member| member.id == *id);
            member.is_some_and(|member| member.peer_address == running.link.address())
        });
        let others = members.iter().filter(|member| member.id != self.me);
        for member in others {
            if !links.contains_key(&member.id) {
                links.insert(member.id.clone(), self.open(member));
            }
        }
    }

    /// Puts a message on its way; one to an instance that no map names is dropped and counted.
    pub(crate) fn send(&self, to: &InstanceId, message: PeerMessage) {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        match links.get(to) {
            Some(running) => running.link.push(message),
            None => self.metrics.messages_dropped(1),
        }
    }

    fn open(&self, member: &Member) -> RunningLink {
        let link = Arc::new(PeerLink::new(
            self.me.clone(),
            member.id.clone(),
            member.peer_address,
            self.capacity,
            Arc::clone(&self.metrics),
        ));
        let task = self.runtime.spawn(Arc::clone(&link).run()).abort_handle();
        RunningLink { link, task }
    }
}
