//! Reports exchanged between routers.
//!
//! A full report holds the sender's complete present load and cumulative totals, so that a lost,
//! duplicated or reordered one has no lasting effect. An incremental report announces requests as
//! they are sent, since other routers choose among the same servers many times in a period; the
//! next full report makes up for a lost one.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, value};
use prost::Message;

use crate::engine::Load;
use crate::liveness::Heard;
use crate::model::{LearnedSpeed, SlowdownNotice};
use crate::pace::PaceNotice;
use crate::rollout::report::RolloutReport;
use crate::room::PlainUse;
use crate::suspects::Suspect;

/// Hash of a router's name.
#[id]
pub struct RouterHash(pub u32);

/// Receivers of a report.
#[id]
pub enum Scope {
    /// Routers of the sender's zone.
    Zone,
    /// All routers.
    All,
}

/// Load of the sender's requests at one server.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ServerLoad {
    /// Hash of the server's id.
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    /// Prompt tokens sent for prefill whose first output token has not arrived yet.
    #[prost(uint64, tag = "2")]
    pub pending_prefill: u64,
    /// Number of requests in progress.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Prompt tokens sent for prefill since the sender's start.
    #[prost(uint64, tag = "4")]
    pub sent_tokens: u64,
    /// Time per output token of the sender's streams in microseconds; zero without a recent
    /// observation.
    #[prost(uint32, tag = "5")]
    pub token_interval: u32,
    /// Requests sent since the sender's start.
    #[prost(uint64, tag = "6")]
    pub sent_requests: u64,
}

/// What a server's newest response at the sender said about the rate that it accepts.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RateNotice {
    /// Hash of the server's id.
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    /// Requests per second from all routers together; none if the server no longer names a rate.
    #[prost(double, optional, tag = "2")]
    pub rate: Option<f64>,
    /// Milliseconds since the response was received.
    #[prost(uint64, tag = "3")]
    pub age: u64,
}

/// Placement of a recent prompt of the sender.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Placement {
    /// Id of the last shared part of the prompt.
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
    /// Tokens requested.
    #[prost(uint64, tag = "2")]
    pub requested: u64,
    /// Tokens of requests that servers began to run.
    #[prost(uint64, tag = "3")]
    pub admitted: u64,
    /// Tokens of the requests that were sent to servers and have not begun to run yet; a present
    /// value, not a total.
    #[prost(uint64, tag = "4")]
    pub pending: u64,
}

/// What a router learned from servers' responses.
#[derive(Clone, PartialEq, Message)]
pub struct Learned {
    /// Learned speeds of some servers, in turn.
    #[prost(message, repeated, tag = "1")]
    pub models: Vec<LearnedSpeed>,
    /// Momentary slowdowns that servers reported to the sender.
    #[prost(message, repeated, tag = "2")]
    pub slowdowns: Vec<SlowdownNotice>,
    /// Recent evidence about servers that have just started or recovered.
    #[prost(message, repeated, tag = "3")]
    pub paces: Vec<PaceNotice>,
}

/// Server of which a restored store still has a registration from before it left.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Outdated {
    /// Hash of the server's id.
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    /// Start time of the server in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub born: u64,
    /// Sequence number of its last registration that the sender knows.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
}

/// What a router knows that a restored store may lack.
#[derive(Clone, PartialEq, Message)]
pub struct Restored {
    /// Version that the operator gave the sender's deployment configuration.
    #[prost(uint64, tag = "1")]
    pub deployment: u64,
    /// Servers that left, and that the server list has again.
    #[prost(message, repeated, tag = "2")]
    pub outdated: Vec<Outdated>,
}

/// Report of a router to the other routers.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// Hash of the sender's name.
    #[prost(fixed32, tag = "1")]
    pub sender: u32,
    /// Start time of the sender's process in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Sequence number of the report.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Revision of the sender's operator configuration.
    #[prost(uint64, tag = "4")]
    pub orders: u64,
    /// Revision of the sender's server list.
    #[prost(uint64, tag = "5")]
    pub servers: u64,
    /// Load of the sender's requests at the servers.
    #[prost(message, repeated, tag = "6")]
    pub loads: Vec<ServerLoad>,
    /// Totals of the workspaces that changed recently.
    #[prost(message, repeated, tag = "7")]
    pub totals: Vec<Total>,
    /// Hash of the sender's availability zone.
    #[prost(fixed32, tag = "9")]
    pub zone: u32,
    /// Milliseconds since the store last answered the sender.
    #[prost(uint64, tag = "10")]
    pub store_age: u64,
    /// Whether the report is incremental: only changed loads and new placements.
    #[prost(bool, tag = "11")]
    pub incremental: bool,
    /// Hashes of the ids of servers that recently left, according to the sender's server list.
    #[prost(fixed32, repeated, tag = "12")]
    pub departed: Vec<u32>,
    /// Requests and prompt parts on which servers failed.
    #[prost(message, repeated, tag = "13")]
    pub suspects: Vec<Suspect>,
    /// Prompt parts that were suspected and that the sender saw answered.
    #[prost(fixed64, repeated, tag = "14")]
    pub cleared: Vec<u64>,
    /// Rates that servers accept, or accepted until recently.
    #[prost(message, repeated, tag = "15")]
    pub rates: Vec<RateNotice>,
    /// Milliseconds since the store confirmed the sender's server list, as far as it knows; none if
    /// it does not.
    #[prost(uint64, optional, tag = "16")]
    pub list_age: Option<u64>,
    /// Fingerprints of requests that were suspected and that the sender saw answered.
    #[prost(fixed64, repeated, tag = "17")]
    pub cleared_requests: Vec<u64>,
    /// Milliseconds since the store confirmed the sender's operator configuration, as far as it knows;
    /// none if it does not.
    #[prost(uint64, optional, tag = "18")]
    pub config_age: Option<u64>,
    /// Milliseconds since the store had answered the sender's own reads of both the operator
    /// configuration and the servers; none unless it goes on to read them for its zone.
    #[prost(uint64, optional, tag = "19")]
    pub read_age: Option<u64>,
    /// What the sender learned from servers' responses.
    #[prost(message, optional, boxed, tag = "40")]
    pub learned: Option<Box<Learned>>,
    /// Rollouts of software versions.
    #[prost(message, repeated, tag = "30")]
    pub rollouts: Vec<RolloutReport>,
    /// Placements within the last few report periods.
    #[prost(message, repeated, tag = "8")]
    pub placed: Vec<Placement>,
    /// Use of the plain services by the sender's requests; none in incremental reports.
    #[prost(message, repeated, tag = "60")]
    pub plain_uses: Vec<PlainUse>,
    /// What the sender knows that the store may lack; none in incremental reports, and if the store
    /// was never restored from a copy.
    #[prost(message, optional, boxed, tag = "70")]
    pub restored: Option<Box<Restored>>,
    /// Servers that were heard of late; none in incremental reports.
    #[prost(message, optional, boxed, tag = "80")]
    pub heard: Option<Box<Heard>>,
}

/// State from the reports of one router.
#[derive(Debug)]
pub struct PeerState {
    /// When the last report was received.
    pub received_at: Instant,
    incarnation: u64,
    sequence: u64,
    zone: u32,
    /// When the store last answered the router.
    store_answered_at: Option<Instant>,
    /// When the store had answered the router's reads of both the configuration and the servers; none
    /// if the router does not read them.
    read_at: Option<Instant>,
    /// Load at servers by the hash of their id.
    pub loads: BTreeMap<u32, Load>,
    totals: BTreeMap<u64, Total>,
    /// Tokens and requests sent to servers, by the hash of their id.
    sent: BTreeMap<u32, Sent>,
}

/// Requests sent to a server and their prompt tokens.
#[value]
#[derive(Default)]
pub struct Sent {
    /// Prompt tokens sent for prefill.
    pub tokens: u64,
    /// Number of requests.
    pub requests: u64,
}

impl Sent {
    /// Returns what was sent since an earlier count.
    fn since(self, earlier: Self) -> Self {
        Self {
            tokens: self.tokens.saturating_sub(earlier.tokens),
            requests: self.requests.saturating_sub(earlier.requests),
        }
    }
}

/// Change of a workspace's tokens at one router.
#[value]
pub struct WorkspaceChange {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Tokens requested since the last report.
    pub requested: u64,
    /// Tokens of requests that began to run since the last report.
    pub admitted: u64,
    /// Difference of the tokens of requests that have not begun.
    pub pending: f64,
}

/// State of a router that no longer counts since its reports ended.
#[derive(Debug, Default)]
pub struct Expired {
    /// Loads at servers, by the hash of their id.
    pub loads: BTreeMap<u32, Load>,
    /// Tokens of requests that have not begun, by the hash of the workspace's name.
    pub pending: Vec<(u64, u64)>,
}

/// Changes that a report brings.
#[derive(Debug, Default)]
pub struct Change {
    /// Loads to subtract, by server.
    pub old_loads: BTreeMap<u32, Load>,
    /// Loads to add instead, by server.
    pub new_loads: BTreeMap<u32, Load>,
    /// Changes of the workspaces' tokens.
    pub workspaces: Vec<WorkspaceChange>,
    /// Requests sent since the last report, by server.
    pub sent: Vec<(u32, Sent)>,
    /// Whether the sender was not known before, or restarted.
    pub joined: bool,
}

impl Total {
    /// Returns the change since an earlier total of the same incarnation.
    #[allow(clippy::cast_precision_loss)]
    fn since(&self, previous: Option<Self>) -> WorkspaceChange {
        // The first total of an incarnation does not tell when its tokens were requested.
        let before = previous.unwrap_or(Self {
            pending: 0,
            ..*self
        });
        WorkspaceChange {
            workspace: self.workspace,
            requested: self.requested.saturating_sub(before.requested),
            admitted: self.admitted.saturating_sub(before.admitted),
            pending: self.pending as f64 - before.pending as f64,
        }
    }

    /// Returns the change if the router no longer counts.
    fn dropped(&self) -> WorkspaceChange {
        let none = Self {
            pending: 0,
            ..*self
        };
        none.since(Some(*self))
    }
}

impl PeerState {
    /// Takes what no longer counts once the router's reports have ended.
    fn expire(&mut self) -> Expired {
        let pending = self.totals.values_mut().filter(|t| t.pending > 0);
        Expired {
            loads: std::mem::take(&mut self.loads),
            pending: pending
                .map(|t| (t.workspace, std::mem::take(&mut t.pending)))
                .collect(),
        }
    }
}

/// State of all other routers, from their reports.
#[derive(Debug, Default)]
pub struct Peers {
    states: BTreeMap<RouterHash, PeerState>,
}

impl Peers {
    /// Applies a report and returns its changes; none if it is not newer than the last one.
    pub fn apply(&mut self, now: Instant, report: &Report) -> Option<Change> {
        let sender = RouterHash(report.sender);
        let stale =
            |s: &PeerState| (report.incarnation, report.sequence) <= (s.incarnation, s.sequence);
        if self.states.get(&sender).is_some_and(stale) {
            return None;
        }
        let previous_state = self.states.remove(&sender);
        let same_incarnation = previous_state
            .as_ref()
            .is_some_and(|s| s.incarnation == report.incarnation);
        // An incremental report does not say when the store last answered.
        let (store_answered_at, read_at) = if report.incremental {
            previous_state
                .as_ref()
                .filter(|_| same_incarnation)
                .map_or((None, None), |s| (s.store_answered_at, s.read_at))
        } else {
            let before = |age| now.checked_sub(Duration::from_millis(age));
            (before(report.store_age), report.read_age.and_then(before))
        };
        let (mut old_loads, mut totals, mut counts) = previous_state
            .map(|s| (s.loads, s.totals, s.sent))
            .unwrap_or_default();
        let mut workspaces = Vec::new();
        if !same_incarnation {
            workspaces.extend(totals.values().map(Total::dropped));
            totals.clear();
            counts.clear();
        }
        let mut sent = Vec::new();
        for load in &report.loads {
            let count = Sent {
                tokens: load.sent_tokens,
                requests: load.sent_requests,
            };
            if let Some(previous) = counts.insert(load.server, count) {
                sent.push((load.server, count.since(previous)));
            }
        }
        for total in &report.totals {
            let previous = totals.insert(total.workspace, *total);
            workspaces.push(total.since(previous));
        }
        let loads = report.loads.iter().map(|l| {
            let load = Load {
                pending_prefill: l.pending_prefill,
                running: l.running,
            };
            (l.server, load)
        });
        let new_loads: BTreeMap<u32, Load> = loads.collect();
        let mut all_loads = new_loads.clone();
        if report.incremental {
            all_loads = old_loads.clone();
            all_loads.extend(&new_loads);
            old_loads.retain(|server, _| new_loads.contains_key(server));
        }
        self.states.insert(
            sender,
            PeerState {
                received_at: now,
                incarnation: report.incarnation,
                zone: report.zone,
                store_answered_at,
                read_at,
                sequence: report.sequence,
                loads: all_loads,
                totals,
                sent: counts,
            },
        );
        Some(Change {
            old_loads,
            new_loads,
            workspaces,
            sent,
            joined: !same_incarnation,
        })
    }

    /// Removes and returns the state of routers whose last report is older than their zone's TTL.
    pub fn expire(&mut self, now: Instant, ttl: impl Fn(u32) -> Duration) -> Vec<Expired> {
        let is_expired =
            |s: &&mut PeerState| now.saturating_duration_since(s.received_at) > ttl(s.zone);
        self.states
            .values_mut()
            .filter(is_expired)
            .map(PeerState::expire)
            .filter(|e| !e.loads.is_empty() || !e.pending.is_empty())
            .collect()
    }

    /// Returns the routers whose last report was received since `since`; all without it.
    pub fn heard_since(&self, since: Option<Instant>) -> impl Iterator<Item = u32> + '_ {
        let states = self.states.iter();
        states
            .filter(move |(_, state)| since.is_none_or(|at| state.received_at >= at))
            .map(|(router, _)| router.0)
    }

    /// Counts the routers accepted by `is_member` whose last report is within their zone's TTL.
    #[must_use]
    pub fn reporting(
        &self,
        now: Instant,
        ttl: impl Fn(u32) -> Duration,
        is_member: impl Fn(u32) -> bool,
    ) -> usize {
        let is_current =
            |s: &PeerState| now.saturating_duration_since(s.received_at) <= ttl(s.zone);
        let states = self.states.iter();
        states
            .filter(|(router, state)| is_member(router.0) && is_current(state))
            .count()
    }

    /// Returns whether all reports received since `since`, one at least, tell that the store has
    /// not answered their senders since `answered`.
    #[must_use]
    pub fn tell_outage(&self, since: Instant, answered: Instant) -> bool {
        let mut current = self
            .states
            .values()
            .filter(|s| s.received_at >= since)
            .peekable();
        current.peek().is_some()
            && current.all(|s| s.store_answered_at.is_none_or(|at| at < answered))
    }

    /// Counts the routers of a zone accepted by `is_ahead` that have read the store's tables since
    /// `since`.
    pub fn watchers(&self, zone: u32, since: Instant, is_ahead: impl Fn(u32) -> bool) -> usize {
        let states = self.states.iter();
        states
            .filter(|(router, state)| {
                state.zone == zone
                    && is_ahead(router.0)
                    && state.read_at.is_some_and(|at| at >= since)
            })
            .count()
    }

    /// Returns the hash of the zone that a router reports; none before its first report.
    #[must_use]
    pub fn zone(&self, router: u32) -> Option<u32> {
        self.states.get(&RouterHash(router)).map(|s| s.zone)
    }
}
