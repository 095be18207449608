//! Max-min fair shares of plain servers' slots among workspaces, and rank within a workspace.
//!
//! A request takes up a slot for as long as it runs, so a share of the slots is a share of slots
//! and time. Each router counts its own requests and adds what the others last reported.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hibiscusrail_macros::{id, value};
use prost::Message;

use crate::event::RequestKey;
use crate::quota::fair_share;
use crate::window::Window;

/// Time of a plain request until one has been observed.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(20);
/// Moving average weight of the newest observed service time.
const TIME_WEIGHT: f64 = 0.1;
/// Window of the demand that was refused. Callers return within it, so that their demand does not
/// seem to end between two tries.
const UNMET_WINDOW: Duration = Duration::from_secs(1);
/// Part of a share, or of what higher ranks leave of it, that the demand of lower ranks may claim,
/// so that they get at least a quarter of the others' rate.
const LOWER_PART: f64 = 0.25;
/// Places that are shared, relative to the slots. The other places of the servers' queues are for
/// workspaces that return while others use all of this.
const SHARED_PLACES: f64 = 1.5;
/// Minimum retry delay: about the time of a caller's connection and head.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Maximum retry delay: a third of a caller's time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Unit of reported slots.
const SLOT_UNITS: f64 = 1e3;

/// Requests that are counted together.
#[id]
pub struct Class {
    /// Hash of the service's name.
    pub service: u32,
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Rank within the workspace; 0 is the highest.
    pub rank: u32,
}

/// Use of a plain service by one class of the sender's requests; a present value, not a total.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PlainUse {
    /// Hash of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Hash of the workspace's name.
    #[prost(fixed64, tag = "2")]
    pub workspace: u64,
    /// Rank within the workspace.
    #[prost(uint32, tag = "3")]
    pub rank: u32,
    /// Number of requests in progress.
    #[prost(uint32, tag = "4")]
    pub running: u32,
    /// Thousandths of slots that recently refused requests would have used.
    #[prost(uint32, tag = "5")]
    pub unmet: u32,
}

impl PlainUse {
    fn class(&self) -> Class {
        Class {
            service: self.service,
            workspace: self.workspace,
            rank: self.rank,
        }
    }
}

/// Use of a service by other routers.
#[derive(Debug, Clone, Copy, Default)]
struct PeerUse {
    running: u64,
    unmet: u64,
}

/// Newest report of one router.
#[derive(Debug)]
struct Reported {
    at: Instant,
    incarnation: u64,
    zone: u32,
    uses: Vec<PlainUse>,
}

/// Standing of a request whose servers have all slots in use, for the decision and the log.
#[value]
pub struct Standing {
    /// Requests of the workspace in progress at all routers.
    pub running: f64,
    /// Those of them that have the request's rank.
    pub of_rank: f64,
    /// Slots of the share that are kept for the demand of other ranks of the workspace.
    pub reserved: f64,
    /// Slots that refused requests of the workspace would have used within the last second.
    pub unmet: f64,
    /// Share of the workspace in slots; at most all that are shared.
    pub share: f64,
    /// Mean time of a request at a server.
    pub service_time: Duration,
    /// Time left until the request's deadline.
    pub left: Duration,
}

impl Standing {
    /// Returns whether the request may use a place in a server's queue.
    #[must_use]
    pub fn is_within(&self) -> bool {
        self.running < self.share && self.of_rank + self.reserved < self.share
    }

    /// Returns whether a server with `slots` that has `running` requests answers one more before
    /// the deadline.
    #[must_use]
    pub fn is_in_time(&self, running: u32, slots: u32) -> bool {
        let slots = slots.max(1);
        let ahead = (running + 1).saturating_sub(slots);
        let waits = f64::from(ahead) / f64::from(slots);
        self.service_time.mul_f64(1.0 + waits) <= self.left
    }

    /// Returns the time in which the share answers the unmet demand and one more request.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        let work = UNMET_WINDOW.mul_f64(self.unmet) + self.service_time;
        // A share is less than one slot if there are more workspaces than slots.
        let time = work.as_secs_f64() / self.share.max(0.1);
        Duration::from_secs_f64(time.min(1e3)).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}

/// Use of plain services by this router's requests and, as reported, by others'.
#[derive(Debug, Default)]
pub struct Room {
    /// Requests in progress that were sent to a server at least once.
    requests: BTreeMap<RequestKey, Class>,
    running: BTreeMap<Class, u32>,
    unmet: BTreeMap<Class, Window>,
    service_times: BTreeMap<u32, Duration>,
    reported: BTreeMap<u32, Reported>,
    /// Sums of `reported`.
    peers: BTreeMap<Class, PeerUse>,
}

impl Room {
    /// Counts a request that is sent to a server, once however often it is sent.
    pub fn sent(&mut self, key: RequestKey, class: Class) {
        if self.requests.insert(key, class).is_none() {
            *self.running.entry(class).or_default() += 1;
        }
    }

    /// Uncounts a request that ended.
    pub fn ended(&mut self, key: RequestKey) {
        let Some(class) = self.requests.remove(&key) else {
            return;
        };
        if let Some(running) = self.running.get_mut(&class) {
            *running = running.saturating_sub(1);
            if *running == 0 {
                self.running.remove(&class);
            }
        }
    }

    /// Updates a service's time with that of a request which did not wait at its server.
    pub fn observe_time(&mut self, service: u32, took: Duration) {
        let mean = self.service_times.entry(service).or_insert(took);
        *mean = mean.mul_f64(1.0 - TIME_WEIGHT) + took.mul_f64(TIME_WEIGHT);
    }

    /// Returns the mean time of a request at a server of a service.
    #[must_use]
    pub fn service_time(&self, service: u32) -> Duration {
        let time = self.service_times.get(&service).copied();
        time.unwrap_or(INITIAL_SERVICE_TIME)
    }

    /// Counts a request that was refused as no server had room for it.
    pub fn refused(&mut self, now: Instant, class: Class) {
        let slots = self.service_time(class.service).as_secs_f64() / UNMET_WINDOW.as_secs_f64();
        let window = self.unmet.entry(class);
        window
            .or_insert_with(|| Window::new(UNMET_WINDOW))
            .add(now, slots);
    }

    /// Returns the standing of a request whose service has `slots`; without a class it has no share
    /// and may use all.
    #[must_use]
    pub fn standing(
        &self,
        now: Instant,
        key: RequestKey,
        (service, class): (u32, Option<Class>),
        slots: u32,
        left: Duration,
    ) -> Standing {
        let places = f64::from(slots) * SHARED_PLACES;
        let mut standing = Standing {
            running: 0.0,
            of_rank: 0.0,
            reserved: 0.0,
            unmet: 0.0,
            share: places,
            service_time: self.service_time(service),
            left,
        };
        let Some(class) = class else {
            return standing;
        };
        let mut demands: BTreeMap<u64, f64> = BTreeMap::from([(class.workspace, 1.0)]);
        let (mut higher, mut lower) = (0.0, 0.0);
        for (used, running, unmet) in self.uses(now, service) {
            *demands.entry(used.workspace).or_default() += running + unmet;
            if used.workspace == class.workspace {
                standing.running += running;
                standing.unmet += unmet;
                match used.rank.cmp(&class.rank) {
                    Ordering::Less => higher += running + unmet,
                    Ordering::Equal => standing.of_rank += running,
                    Ordering::Greater => lower += running + unmet,
                }
            }
        }
        if self.requests.contains_key(&key) {
            standing.running -= 1.0;
            standing.of_rank -= 1.0;
        }
        let mut sorted: Vec<f64> = demands.into_values().collect();
        sorted.sort_by(f64::total_cmp);
        standing.share = fair_share(&sorted, places).min(places);
        let higher = higher.min(standing.share * (1.0 - LOWER_PART));
        let lower = lower.min((standing.share - higher) * LOWER_PART);
        standing.reserved = higher + lower;
        standing
    }

    /// Returns the classes that use a service, each with its requests in progress and unmet slots.
    #[allow(clippy::cast_precision_loss)]
    fn uses(&self, now: Instant, service: u32) -> impl Iterator<Item = (Class, f64, f64)> {
        let range = Class {
            service,
            workspace: 0,
            rank: 0,
        }..=Class {
            service,
            workspace: u64::MAX,
            rank: u32::MAX,
        };
        let running = self.running.range(range.clone());
        let running = running.map(|(class, n)| (*class, f64::from(*n), 0.0));
        let unmet = self.unmet.range(range.clone());
        let unmet = unmet.map(move |(class, window)| (*class, 0.0, window.peek(now)));
        let peers = self.peers.range(range);
        let peers = peers.map(|(class, p)| (*class, p.running as f64, p.unmet as f64 / SLOT_UNITS));
        running.chain(unmet).chain(peers)
    }

    /// Returns the uses by this router's requests for a report.
    pub fn report(&mut self, now: Instant) -> Vec<PlainUse> {
        self.unmet.retain(|_, window| window.sum(now) > 0.0);
        let mut uses: BTreeMap<Class, PlainUse> = BTreeMap::new();
        let entry = |class: &Class| PlainUse {
            service: class.service,
            workspace: class.workspace,
            rank: class.rank,
            running: 0,
            unmet: 0,
        };
        for (class, running) in &self.running {
            uses.entry(*class).or_insert_with(|| entry(class)).running = *running;
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        for (class, window) in &self.unmet {
            let unmet = (window.peek(now) * SLOT_UNITS) as u32;
            uses.entry(*class).or_insert_with(|| entry(class)).unmet = unmet;
        }
        uses.into_values().collect()
    }

    /// Replaces what another router reported by its newer full report.
    pub fn apply_report(
        &mut self,
        now: Instant,
        (sender, incarnation): (u32, u64),
        zone: u32,
        uses: &[PlainUse],
    ) {
        self.drop_reported(sender);
        if uses.is_empty() {
            return;
        }
        for used in uses {
            let peer = self.peers.entry(used.class()).or_default();
            peer.running += u64::from(used.running);
            peer.unmet += u64::from(used.unmet);
        }
        let reported = Reported {
            at: now,
            incarnation,
            zone,
            uses: uses.to_vec(),
        };
        self.reported.insert(sender, reported);
    }

    /// Drops what an earlier process of a router reported.
    pub fn restarted(&mut self, sender: u32, incarnation: u64) {
        let earlier = |r: &Reported| r.incarnation != incarnation;
        if self.reported.get(&sender).is_some_and(earlier) {
            self.drop_reported(sender);
        }
    }

    /// Drops what routers reported whose last report is older than their zone's TTL.
    pub fn expire(&mut self, now: Instant, ttl: impl Fn(u32) -> Duration) {
        let is_expired = |r: &Reported| now.saturating_duration_since(r.at) > ttl(r.zone);
        let expired = self.reported.iter().filter(|(_, r)| is_expired(r));
        let expired: Vec<u32> = expired.map(|(sender, _)| *sender).collect();
        for sender in expired {
            self.drop_reported(sender);
        }
    }

    fn drop_reported(&mut self, sender: u32) {
        let Some(reported) = self.reported.remove(&sender) else {
            return;
        };
        for used in &reported.uses {
            let class = used.class();
            let Some(peer) = self.peers.get_mut(&class) else {
                continue;
            };
            peer.running -= u64::from(used.running);
            peer.unmet -= u64::from(used.unmet);
            if peer.running == 0 && peer.unmet == 0 {
                self.peers.remove(&class);
            }
        }
    }
}
