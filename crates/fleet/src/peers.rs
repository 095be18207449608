//! What the other routers report.
//!
//! Loads are the sender's whole present state and totals are cumulative, so a
//! report that is lost, repeated or overtaken changes nothing that lasts. What
//! was just sent to a server is told at once in a partial report, since other
//! routers choose among the same servers many times in a period; the next whole
//! report heals one that is lost.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hibiscusrail_macros::id;
use prost::Message;

use crate::engine::Load;

/// A router by the hash of its name.
#[id]
pub struct RouterHash(pub u32);

/// Who receives a report.
#[id]
pub enum Scope {
    /// The routers of the sender's zone.
    Zone,
    /// All routers.
    All,
}

/// Work that the sender has at one server.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ServerLoad {
    /// Hash of the server's id.
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    /// Prompt tokens without a first token.
    #[prost(uint64, tag = "2")]
    pub unread: u64,
    /// Requests under way.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Prompt tokens sent there to be read since the sender's start.
    #[prost(uint64, tag = "4")]
    pub sent: u64,
}

/// A prompt that the sender sent to a server lately.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Placement {
    /// Last part of the prompt that other requests share.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Hash of the server's id.
    #[prost(fixed32, tag = "2")]
    pub server: u32,
}

/// Tokens of a workspace at the sender since its start.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Total {
    /// Hash of the workspace's name.
    #[prost(fixed64, tag = "1")]
    pub workspace: u64,
    /// Tokens asked for.
    #[prost(uint64, tag = "2")]
    pub asked: u64,
    /// Tokens admitted.
    #[prost(uint64, tag = "3")]
    pub admitted: u64,
}

/// A router's report to the others.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// Hash of the sender's name.
    #[prost(fixed32, tag = "1")]
    pub sender: u32,
    /// Start of the sender's process as Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Counts the sender's reports.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Revision of the operator's orders that the sender has.
    #[prost(uint64, tag = "4")]
    pub orders: u64,
    /// Revision of the servers' entries that the sender has.
    #[prost(uint64, tag = "5")]
    pub servers: u64,
    /// Its work at the servers.
    #[prost(message, repeated, tag = "6")]
    pub loads: Vec<ServerLoad>,
    /// Tokens of the workspaces that changed lately.
    #[prost(message, repeated, tag = "7")]
    pub totals: Vec<Total>,
    /// Hash of its availability zone.
    #[prost(fixed32, tag = "9")]
    pub zone: u32,
    /// Milliseconds since the store last answered it.
    #[prost(uint64, tag = "10")]
    pub store_age: u64,
    /// Whether the loads are only those that changed, and nothing else is told.
    #[prost(bool, tag = "11")]
    pub partial: bool,
    /// Prompts that it sent in its last few reports' time.
    #[prost(message, repeated, tag = "8")]
    pub placed: Vec<Placement>,
}

/// The last report of one router, as far as it still counts.
#[derive(Debug)]
pub struct PeerState {
    /// When it arrived.
    pub heard: Instant,
    incarnation: u64,
    sequence: u64,
    zone: u32,
    /// When the store last answered it.
    store_heard: Option<Instant>,
    /// Work at servers by the hash of their id.
    pub loads: BTreeMap<u32, Load>,
    totals: BTreeMap<u64, (u64, u64)>,
    sent: BTreeMap<u32, u64>,
}

/// What a report changes.
#[derive(Debug, Default)]
pub struct Change {
    /// Loads that no longer hold.
    pub before: BTreeMap<u32, Load>,
    /// Loads that hold instead.
    pub after: BTreeMap<u32, Load>,
    /// Tokens asked for and admitted since the last report, by workspace.
    pub tokens: Vec<(u64, u64, u64)>,
    /// Prompt tokens sent to be read since the last report, by server.
    pub reads: Vec<(u32, u64)>,
}

/// Everything heard from other routers.
#[derive(Debug, Default)]
pub struct Peers {
    states: BTreeMap<RouterHash, PeerState>,
}

impl Peers {
    /// Takes a report in; none when a newer one was there already.
    pub fn take(&mut self, now: Instant, report: &Report) -> Option<Change> {
        let sender = RouterHash(report.sender);
        let stale =
            |s: &PeerState| (report.incarnation, report.sequence) <= (s.incarnation, s.sequence);
        if self.states.get(&sender).is_some_and(stale) {
            return None;
        }
        let known = self.states.remove(&sender);
        let same = known
            .as_ref()
            .is_some_and(|s| s.incarnation == report.incarnation);
        // A partial report says nothing of the store.
        let store_heard = if report.partial {
            known.as_ref().filter(|_| same).and_then(|s| s.store_heard)
        } else {
            now.checked_sub(Duration::from_millis(report.store_age))
        };
        let (mut before, mut totals, mut sent) = known
            .map(|s| (s.loads, s.totals, s.sent))
            .unwrap_or_default();
        if !same {
            totals.clear();
            sent.clear();
        }
        let mut reads = Vec::new();
        for load in &report.loads {
            if let Some(before) = sent.insert(load.server, load.sent) {
                reads.push((load.server, load.sent.saturating_sub(before)));
            }
        }
        let mut tokens = Vec::new();
        for total in &report.totals {
            let newest = (total.asked, total.admitted);
            // The first total of an incarnation says nothing of when it grew.
            if let Some((asked, admitted)) = totals.insert(total.workspace, newest) {
                let asked = total.asked.saturating_sub(asked);
                let admitted = total.admitted.saturating_sub(admitted);
                tokens.push((total.workspace, asked, admitted));
            }
        }
        let loads = report.loads.iter().map(|l| {
            let load = Load {
                unread: l.unread,
                running: l.running,
            };
            (l.server, load)
        });
        let after: BTreeMap<u32, Load> = loads.collect();
        let mut all = after.clone();
        if report.partial {
            all = before.clone();
            all.extend(&after);
            before.retain(|server, _| after.contains_key(server));
        }
        self.states.insert(
            sender,
            PeerState {
                heard: now,
                incarnation: report.incarnation,
                zone: report.zone,
                store_heard,
                sequence: report.sequence,
                loads: all,
                totals,
                sent,
            },
        );
        Some(Change {
            before,
            after,
            tokens,
            reads,
        })
    }

    /// Drops the loads of routers that have not been heard for the `life` of their zone.
    pub fn expire(
        &mut self,
        now: Instant,
        life: impl Fn(u32) -> Duration,
    ) -> Vec<BTreeMap<u32, Load>> {
        let late = |s: &&mut PeerState| now.saturating_duration_since(s.heard) > life(s.zone);
        self.states
            .values_mut()
            .filter(late)
            .map(|s| std::mem::take(&mut s.loads))
            .filter(|l| !l.is_empty())
            .collect()
    }

    /// Returns how many routers of a zone, of those that `is_ahead` accepts, were
    /// answered by the store after `since`.
    pub fn watchers(&self, zone: u32, since: Instant, is_ahead: impl Fn(u32) -> bool) -> usize {
        let states = self.states.iter();
        states
            .filter(|(router, state)| {
                state.zone == zone
                    && is_ahead(router.0)
                    && state.store_heard.is_some_and(|at| at >= since)
            })
            .count()
    }
}
