//! Takes in what other instances tell.

use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::{InstanceId, Time};

use super::Reader;
use super::message::{Asks, Message};
use super::source::Source;
use crate::decide::news::{Alive, Loads, News, View};
use crate::decide::peers::{DOWN_AFTER, KnownOfStore, Peer, Vouched};
use crate::decide::rendezvous::ShortHash;
use crate::decide::status::{Role, Status};
use crate::decide::tables::Tables;

/// Time since its start in which nobody has counted what a peer spends.
const NEW_PEER: Duration = Duration::from_millis(1_500);
/// Time between the starts of instances that start together.
const STARTS_TOGETHER: Duration = Duration::from_millis(500);
/// Names asked for in one datagram.
const NAMES_ASKED: usize = 64;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Heard {
    New,
    Old,
    Unknown,
}

impl Tables {
    /// Takes in a message; gives what is to be answered to its sender.
    pub fn take_message(&mut self, message: Message, from: SocketAddr, now: Time) -> Vec<Message> {
        match message {
            Message::Own { status, asks } => self.take_own(*status, asks, from, now),
            Message::Statuses(statuses) => self.take_statuses(&statuses, from, now),
            Message::News(news) => self.take_news(*news, from, now),
            Message::Limits(words) => {
                self.take_limits(&words, now);
                Vec::new()
            }
            Message::RosterWanted => vec![Message::Roster(self.roster())],
            Message::Roster(roster) => {
                self.exchange.roster_digest = roster.digest();
                self.exchange.roster = roster;
                Vec::new()
            }
            Message::Introduction(member) => {
                if member.name != self.me.name {
                    self.peers.introduced(*member);
                }
                Vec::new()
            }
            Message::WhoIsThere => vec![Message::Introduction(Box::new(self.me.clone()))],
            Message::WhoAre(names) => {
                let known = names.iter().filter_map(|name| self.peers.by_hash(*name));
                let known = known.map(|peer| Box::new(peer.member.clone()));
                known.map(Message::Introduction).collect()
            }
        }
    }

    fn take_own(
        &mut self,
        status: Status,
        asks: Asks,
        from: SocketAddr,
        now: Time,
    ) -> Vec<Message> {
        let heard = self.peers.by_hash(status.from);
        let Some(peer) = heard.filter(|peer| peer.member.incarnation.0 == status.life) else {
            return self.ask_who(status.from);
        };
        if peer.member.gossip != from && !status.ended {
            return Vec::new();
        }
        let name = peer.member.name.clone();
        let near = peer.member.failure_domain == self.me.failure_domain;
        if self.take_status(&status, now) == Heard::New && near {
            self.note_reader(name, status, asks, now);
        }
        Vec::new()
    }

    /// An instance of the own failure domain told its status; one that asks gets news from now on.
    fn note_reader(&mut self, name: InstanceId, status: Status, asks: Asks, now: Time) {
        if self.exchange.role != Role::Relays || status.ended {
            self.exchange.readers.remove(&name);
            return;
        }
        if asks == Asks::Nothing {
            self.exchange.readers.remove(&name);
            return;
        }
        let reader = Reader {
            asked: now,
            all: asks == Asks::AllNews,
        };
        self.exchange.readers.insert(name.clone(), reader);
        // One that listens tells the other relays itself.
        if !status.role.hears_all() {
            self.exchange.pending.insert(name, (status, now));
        }
    }

    fn ask_who(&self, name: ShortHash) -> Vec<Message> {
        if name == ShortHash::of(self.me.name.as_str()) {
            return Vec::new();
        }
        vec![Message::WhoIsThere]
    }

    fn take_statuses(&mut self, statuses: &[Status], from: SocketAddr, now: Time) -> Vec<Message> {
        if self.peers.at(from).is_none() {
            return vec![Message::WhoIsThere];
        }
        ask_names(self.take_each(statuses, now))
    }

    /// Takes in a status that came directly or through a relay.
    fn take_status(&mut self, status: &Status, now: Time) -> Heard {
        if status.from == ShortHash::of(self.me.name.as_str()) {
            return Heard::Old;
        }
        let Some(known) = self.peers.by_hash(status.from) else {
            return Heard::Unknown;
        };
        if known.member.incarnation.0 != status.life {
            return Heard::Unknown;
        }
        let age = Duration::from_millis(u64::from(status.age_ms));
        let old = known.heard.is_some() && status.seq <= known.seq;
        if old || age >= DOWN_AFTER {
            return Heard::Old;
        }
        let member = known.member.clone();
        let heard = (now - age).max(known.heard.unwrap_or_default());
        let counts = self.peers.view().is_none();
        let uptime = Duration::from_millis(u64::from(status.uptime_ms));
        let after = uptime < NEW_PEER && uptime <= now.since(self.started) + STARTS_TOGETHER;
        for spent in &status.spent {
            let life = member.incarnation;
            self.quotas
                .record_peer_spending(&member.name, life, *spent, after, counts, now);
        }
        if status.ended {
            self.peers.ended(&member.name);
        } else {
            self.peers.heard(Peer::told(member, status, heard));
        }
        Heard::New
    }

    fn take_news(&mut self, news: News, from: SocketAddr, now: Time) -> Vec<Message> {
        let relay = self.peers.by_hash(news.relay.from);
        let relay = relay.filter(|peer| peer.member.incarnation.0 == news.relay.life);
        let Some(relay) = relay else {
            return vec![Message::WhoIsThere];
        };
        let name = relay.member.name.clone();
        let asked = self.exchange.source.as_ref();
        let asked = asked.filter(|source| source.relay == name && source.seq < news.relay.seq);
        let Some(since) = asked.map(|source| source.since) else {
            return Vec::new();
        };
        if relay.member.gossip != from || self.exchange.role == Role::Relays {
            return Vec::new();
        }
        self.exchange.source = Some(Source {
            relay: name.clone(),
            since,
            seq: news.relay.seq,
            heard: now,
        });
        let lag = Duration::from_millis(u64::from(news.lag_ms));
        let first = self.peers.view().is_none();
        for (workspace, left) in news.left.iter().filter(|_| first) {
            self.quotas.set_remaining(*workspace, *left);
        }
        self.take_sums(name, &news.relay, news.loads, &news.spent, lag, now);
        if self.exchange.role != Role::Asks {
            // It listens: everyone is heard one by one, too.
            return Vec::new();
        }
        self.take_status(&news.relay, now);
        let mut unknown = self.take_each(&news.others, now);
        let mut answers = Vec::new();
        if let Some(alive) = news.alive {
            if alive.roster == self.exchange.roster_digest {
                unknown.extend(self.take_alive(&alive, &news.relay, now));
            } else {
                answers.push(Message::RosterWanted);
            }
        }
        answers.extend(ask_names(unknown));
        answers
    }

    /// Takes in statuses; gives whose are not known.
    fn take_each(&mut self, statuses: &[Status], now: Time) -> Vec<ShortHash> {
        let mut unknown = Vec::new();
        for status in statuses {
            if self.take_status(status, now) == Heard::Unknown {
                unknown.push(status.from);
            }
        }
        unknown
    }

    /// Puts a relay's sums in place of what this instance heard itself.
    fn take_sums(
        &mut self,
        name: InstanceId,
        relay: &Status,
        loads: Loads,
        spent: &[(ShortHash, i64)],
        lag: Duration,
        now: Time,
    ) {
        let before = self.peers.view().map(|view| (view.relay.clone(), view.at));
        match before {
            // What was spent between the last news of one relay and the first ones of the next is not
            // told by either.
            Some((former, at)) if former != name => self.quotas.extrapolate(now.since(at), now),
            Some(_) => {}
            None => self.quotas.reset_peer_baselines(),
        }
        for (workspace, count) in spent {
            let from = (relay.from, relay.life);
            self.quotas
                .record_relay_count(from, *workspace, *count, now);
        }
        let targets = self.registry.order().collect::<Vec<_>>();
        if let Some(loads) = loads.unpack(&targets, self.registry.digest()) {
            self.peers.set_view(Some(View {
                relay: name,
                at: now,
                lag,
                loads,
            }));
        }
    }

    /// Takes in who lives; gives those that are not known.
    fn take_alive(&mut self, alive: &Alive, relay: &Status, now: Time) -> Vec<ShortHash> {
        let store = KnownOfStore {
            config: relay.config,
            targets: relay.targets,
            targets_digest: relay.targets_digest,
            versions: relay.versions,
            verdicts_digest: relay.verdicts_digest,
        };
        let me = ShortHash::of(self.me.name.as_str());
        let mut unknown = Vec::new();
        for (idx, entry) in self.exchange.roster.entries.iter().enumerate() {
            if entry.name == me || entry.name == relay.from {
                continue;
            }
            let known = self.peers.by_hash(entry.name);
            if !known.is_some_and(|peer| entry.is_life(peer.member.incarnation.0)) {
                unknown.push(entry.name);
                continue;
            }
            let word = Vouched {
                live: alive.live.get(idx),
                ready: alive.ready.get(idx),
                store_answers: alive.store_answers.get(idx),
                store: alive.same.get(idx).then_some(store),
            };
            self.peers.vouched(entry.name, word, now);
        }
        unknown
    }
}

fn ask_names(mut names: Vec<ShortHash>) -> Vec<Message> {
    names.truncate(NAMES_ASKED);
    if names.is_empty() {
        return Vec::new();
    }
    vec![Message::WhoAre(names)]
}
