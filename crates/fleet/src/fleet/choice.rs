//! Which server receives a request, and what is refused.
//!
//! A request goes where it would begin soonest, counting the tokens that the
//! server would have to read for it. Requests of workspaces that have their
//! share already only use what is free; a request that no server can begin in
//! time is refused at once, with the time after which it could be.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::engine::{Load, Prompt, Server};
use crate::event::{Decision, Inputs, Reason, RequestKey};
use crate::objects::{CopyFacts, Service};
use crate::peers::Placement;
use crate::placement;
use crate::quota::Standing;
use crate::roster::ServerKey;

use super::{Attempt, Fleet, Refusal, Request, limits};

/// Wait named to a caller whose request may succeed elsewhere or a little later.
pub(super) const SHORT_WAIT: Duration = Duration::from_millis(300);
/// Least and longest wait named to a caller; a caller waits a third of its time at most.
const WAITS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(3_000));
/// How many times slower than its data sheet an engine is believed to be.
const PACE_DOUBT: u32 = 2;
/// Tokens whose time counts as a detour when engines are compared.
const PACE_DETOUR: u32 = 25;
/// Wait named to a caller while engines read as much as they may.
const BUSY_WAIT: Duration = Duration::from_millis(500);
/// How much a token that is read again weighs against one that waits: it takes
/// an engine's time from everybody.
const READ_WEIGHT: f64 = 2.0;
/// Spread of the scores where many routers choose among the same servers: those
/// that learn late of each other's choices must not all take the same one.
const STALE_SPREAD: Duration = Duration::from_millis(30);
/// Detour that a server of another zone is worth whose load is known late.
const FAR_DETOUR: Duration = Duration::from_millis(100);
/// Tokens that are worth a copy: reading them takes twice the time until it begins.
const LEAST_COPY: u32 = 600;
/// Detour that a copy from an engine of the same zone is worth: the time that
/// both engines and their link spend on it.
const COPY_DETOUR: Duration = Duration::from_millis(20);
/// The same from another zone, over links that are shared and priced.
const FAR_COPY_DETOUR: Duration = Duration::from_millis(40);
/// Detour that an error rate of one is worth.
const ERROR_DETOUR: Duration = Duration::from_millis(2_000);
/// Detour that a server in another zone is worth: both ways between zones, and priced bytes.
const ZONE_DETOUR: Duration = Duration::from_millis(4);
/// Part of the fleet's bound on a cold server that is used.
const COLD_USED: f64 = 0.85;
/// Requests a second that each of the routers of a cold server takes at least.
const COLD_EACH: f64 = 3.0;
/// Part of an engine's places from which one that is taken counts as a detour.
const CROWDED: f64 = 0.6;
/// Detour that an engine without a free place is worth: a stream ends there
/// after about this time.
const CROWD_DETOUR: Duration = Duration::from_millis(300);
/// Requests that a plain server may have under way for each slot.
const PLAIN_DEPTH: f64 = 2.0;

/// A server that could take a request.
#[derive(Clone, Copy)]
struct Candidate {
    key: ServerKey,
    /// Weight against other candidates; the least wins.
    score: Duration,
    /// How long it would wait for others before.
    wait: Duration,
    source: Option<SocketAddr>,
    inputs: Inputs,
}

/// A server that may receive requests, before it is weighed.
#[derive(Clone, Copy)]
struct Open<'a> {
    key: ServerKey,
    server: &'a Server,
    /// Tokens of the prompt's shared prefix that it holds.
    held: u32,
    /// Whether it is to be the home of the prompt's shared prefix.
    home: bool,
    /// From where it copies what it lacks of the prefix.
    source: Option<Source<'a>>,
}

/// A server that others copy a prefix from.
#[derive(Clone, Copy)]
struct Source<'a> {
    server: &'a Server,
    /// Tokens of the prefix that it holds.
    held: u32,
}

/// What all candidates for one request have in common.
struct Situation<'a> {
    now: Instant,
    request: RequestKey,
    service: &'a Service,
    prompt: Option<&'a Prompt>,
    /// Tokens of the prompt that other requests share.
    shared: u32,
    standing: Standing,
    routers: usize,
}

/// The best of the servers that were weighed.
#[derive(Default)]
struct Candidates {
    /// The one with the least score.
    best: Option<Candidate>,
    /// The one where the request begins first.
    soonest: Option<Candidate>,
    /// The one with the least to read among those without room.
    full: Option<Inputs>,
}

impl Situation<'_> {
    /// Returns how the service's engines copy prompts from each other, if they do.
    fn copies(&self) -> Option<CopyFacts> {
        self.service.engine.as_ref()?.copies
    }
}

impl Candidates {
    fn add(&mut self, candidate: Candidate) {
        if self.best.is_none_or(|b| candidate.score < b.score) {
            self.best = Some(candidate);
        }
        let sooner = |s: Candidate| candidate.inputs.begin < s.inputs.begin;
        if self.soonest.is_none_or(sooner) {
            self.soonest = Some(candidate);
        }
    }

    fn pass_over(&mut self, inputs: Inputs) {
        if self.full.is_none_or(|f| inputs.unread < f.unread) {
            self.full = Some(inputs);
        }
    }

    /// Returns the inputs of the best server, with room or without; none when there is no server.
    fn inputs(&self) -> Option<Inputs> {
        self.best.map(|b| b.inputs).or(self.full)
    }
}

impl Fleet {
    /// Sends a request to the best server, or gives it up.
    pub(super) fn dispatch(&mut self, now: Instant, key: RequestKey) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        if now >= request.ask.deadline {
            return self.give_up(key, Reason::Expired, Duration::ZERO);
        }
        let standing = self.standing(now, key);
        let charge = new_charge(self.requests.get(&key));
        let within = standing.is_within();
        if charge.is_some_and(|c| !self.pressure.bears_stream(within, c)) {
            return self.give_up(key, Reason::RouterBusy, SHORT_WAIT);
        }
        match self.choose(now, key, standing) {
            Ok(candidate) => self.send(now, key, candidate),
            Err(refusal) => self.refuse(key, *refusal),
        }
    }

    fn standing(&mut self, now: Instant, key: RequestKey) -> Standing {
        let deployment = self.orders.deployment.as_ref();
        let throughput = deployment.map_or(0.0, |d| d.limits.throughput);
        let request = self.requests.get(&key);
        let engine = request.filter(|r| r.ask.prompt.is_some());
        match engine.and_then(|r| r.ask.workspace) {
            Some(workspace) => self.quota.standing(now, workspace, throughput),
            None => Standing::Within,
        }
    }

    fn choose(
        &mut self,
        now: Instant,
        key: RequestKey,
        standing: Standing,
    ) -> Result<Candidate, Box<Refusal>> {
        let plain = |reason| {
            Box::new(Refusal {
                reason,
                retry_after: SHORT_WAIT,
                inputs: None,
            })
        };
        let Some(request) = self.requests.get(&key) else {
            return Err(plain(Reason::Expired));
        };
        let Some(service) = self.service(&request.ask.service) else {
            return Err(plain(Reason::NotReady));
        };
        let situation = Situation {
            now,
            request: key,
            service,
            prompt: request.ask.prompt.as_ref(),
            shared: request.ask.prompt.as_ref().map_or(0, Prompt::shared_tokens),
            standing,
            routers: self.routers(),
        };
        let candidates = self.candidates(&situation, request);
        let Some(inputs) = candidates.inputs() else {
            return Err(plain(Reason::NoServer));
        };
        let refusal = |wait: Duration| {
            Box::new(Refusal {
                reason: match standing {
                    Standing::Within => Reason::Busy,
                    Standing::Beyond { .. } => Reason::OverShare,
                },
                retry_after: match standing {
                    Standing::Within => wait,
                    Standing::Beyond { .. } => wait.max(self.params.quota_window / 4),
                },
                inputs: Some(inputs),
            })
        };
        let (Some(best), Some(soonest)) = (candidates.best, candidates.soonest) else {
            return Err(refusal(BUSY_WAIT));
        };
        let allowed = limits::allowance(now, &request.ask, request.begun, standing);
        if limits::fits(best.inputs.begin, best.wait, allowed) {
            return Ok(best);
        }
        if limits::fits(soonest.inputs.begin, soonest.wait, allowed) {
            return Ok(soonest);
        }
        let wait = (soonest.inputs.begin - allowed).clamp(WAITS.0, WAITS.1);
        Err(refusal(wait))
    }

    /// Weighs the servers that may receive the request.
    ///
    /// Most servers of a busy fleet are full; they are passed over before
    /// anything is worked out that only their weight needs.
    fn candidates(&self, situation: &Situation<'_>, request: &Request) -> Candidates {
        let mut candidates = Candidates::default();
        for open in self.open(situation, request) {
            if !self.has_place(situation, open.server) {
                continue;
            }
            let inputs = self.inputs(situation, &open);
            let holds = open.home || open.source.is_some() || situation.prompt.is_none();
            if request.begun || limits::has_room(&inputs, holds, situation.standing) {
                candidates.add(self.weigh(situation, &open, inputs));
            } else {
                candidates.pass_over(inputs);
            }
        }
        candidates
    }

    /// Returns the servers that may receive anything, each with what it holds of the prompt.
    ///
    /// Those that hold the whole shared prefix are its homes. Where none is known
    /// to hold it, all routers take the same one; in a wide deployment, all of a zone.
    fn open(&self, situation: &Situation<'_>, request: &Request) -> Vec<Open<'_>> {
        let servers = self.roster.of(&request.ask.service);
        let mut open: Vec<Open<'_>> = servers
            .filter(|(key, server)| self.is_open(situation, request, *key, server))
            .map(|(key, server)| Open {
                key,
                server,
                held: situation
                    .prompt
                    .map_or(0, |p| server.held(p, memory(situation))),
                home: false,
                source: None,
            })
            .collect();
        let Some((prompt, part)) = situation.prompt.and_then(|p| Some((p, p.shared()?))) else {
            return open;
        };
        let whole = prompt.shared_tokens();
        let mut known = false;
        for server in &mut open {
            server.home = server.held >= whole;
            known |= server.home;
        }
        if situation.copies().is_some() {
            find_sources(&mut open);
        }
        if !known {
            let home = open
                .iter_mut()
                .filter(|o| !o.server.is_cold(situation.now))
                .max_by_key(|o| {
                    let near = !self.is_wide() || o.server.backend.zone == self.params.zone;
                    (near, placement::weight(part, o.server.hash))
                });
            if let Some(home) = home {
                home.home = true;
                home.source = None;
                home.held = whole;
            }
        }
        open
    }

    /// Returns whether a server may receive anything at all.
    fn is_open(
        &self,
        situation: &Situation<'_>,
        request: &Request,
        key: ServerKey,
        server: &Server,
    ) -> bool {
        !server.backend.leaving
            && !self.orders.evacuated.contains(&server.backend.zone)
            && !request.tried.contains(&key)
            && server.health.is_open(situation.now)
    }

    /// Returns whether a server has a place for one more request.
    fn has_place(&self, situation: &Situation<'_>, server: &Server) -> bool {
        let service = situation.service;
        let routers = u32::try_from(situation.routers).unwrap_or(u32::MAX);
        let connections = (service.connections / routers).max(1);
        if server.own.running >= connections {
            return false;
        }
        let slots = server.backend.slots.max(1);
        let depth = match service.engine {
            Some(_) => f64::from(slots),
            None => f64::from(slots) * PLAIN_DEPTH,
        };
        if f64::from(server.load().running) >= depth {
            return false;
        }
        if !server.is_limited(situation.now) {
            return true;
        }
        let rate = self.cold_rate(service, server);
        server.bucket.clone().has_room(situation.now, rate)
    }

    /// Returns the requests a second that a cold server may receive from here.
    ///
    /// So many routers take part that each has a few; which ones follows from a
    /// hash, alike at every router. Each may send one at once besides.
    fn cold_rate(&self, service: &Service, server: &Server) -> f64 {
        if service.cold_rate <= 0.0 {
            return f64::INFINITY;
        }
        let bound = self.params.cold_bound(service.cold_rate) * COLD_USED;
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let takers = self.routers().min((bound / COLD_EACH) as usize).max(1);
        let weight = |router: u32| placement::weight(u64::from(server.hash), router);
        let mine = weight(self.me.0);
        let ahead = self.members.iter().filter(|m| weight(**m) > mine).count();
        if ahead >= takers {
            return 0.0;
        }
        #[allow(clippy::cast_precision_loss)]
        let each = bound / takers as f64;
        (each - 1.0).max(0.0)
    }

    /// Returns what the state of a server says of its room; `begin` is not known yet.
    fn inputs(&self, situation: &Situation<'_>, open: &Open<'_>) -> Inputs {
        let server = open.server;
        let load = server.load();
        let (mut read, mut copied, mut reading, mut taken) = (0, 0, 0.0, 0.0);
        if let Some(prompt) = situation.prompt {
            let held = open.source.map_or(open.held, |s| s.held);
            copied = held - open.held;
            read = prompt.input.saturating_sub(held);
            reading = server.reading_share(situation.now, self.params.read_rate);
            taken = f64::from(load.running) / f64::from(server.backend.slots.max(1));
        }
        // What goes beyond is the delay of a busy router, not the engine's.
        let sheet_pace = self.params.sheet_pace(load.running, reading);
        Inputs {
            unread: load.unread,
            running: load.running,
            read,
            shared: situation.shared,
            home: open.home,
            copied,
            taken,
            reading,
            pace: server.pace(situation.now).min(sheet_pace * PACE_DOUBT),
            begin: Duration::ZERO,
            standing: situation.standing,
            revision: self.roster.revision(),
        }
    }

    /// Weighs a server that has room.
    fn weigh(&self, situation: &Situation<'_>, open: &Open<'_>, mut inputs: Inputs) -> Candidate {
        let server = open.server;
        let sheet = self.params.read_rate;
        let wait = match situation.prompt {
            Some(_) => server.reading_time(inputs.unread, sheet),
            None => plain_wait(server, inputs.running),
        };
        let read = server.reading_time(u64::from(inputs.read), sheet);
        inputs.begin = wait + read;
        let mut score = inputs.begin + read.mul_f64(READ_WEIGHT);
        if let (Some(source), Some(copies)) = (&open.source, situation.copies()) {
            let is_near = source.server.backend.zone == server.backend.zone;
            inputs.begin += copies.time(inputs.copied, is_near);
            score += if is_near {
                COPY_DETOUR
            } else {
                FAR_COPY_DETOUR
            };
        }
        score += inputs.pace * PACE_DETOUR;
        score += ERROR_DETOUR.mul_f64(server.health.errors());
        score += self.spread(situation, server);
        let crowd = ((inputs.taken - CROWDED) / (1.0 - CROWDED)).max(0.0);
        score += CROWD_DETOUR.mul_f64(crowd * crowd);
        if server.backend.zone != self.params.zone {
            score += if self.is_wide() {
                FAR_DETOUR
            } else {
                ZONE_DETOUR
            };
        }
        Candidate {
            key: open.key,
            score,
            wait,
            source: open.source.map(|s| s.server.backend.address),
            inputs,
        }
    }

    /// Returns a part of the spread that differs by request and server.
    fn spread(&self, situation: &Situation<'_>, server: &Server) -> Duration {
        if !self.is_wide() {
            return Duration::ZERO;
        }
        let seed = situation.request.0 ^ u64::from(self.me.0) << 32;
        #[allow(clippy::cast_precision_loss)]
        let part = placement::weight(seed, server.hash) as f64 / u64::MAX as f64;
        STALE_SPREAD.mul_f64(part)
    }

    /// Counts a request that is sent against what a cold server may receive.
    fn take_cold_place(&mut self, now: Instant, key: ServerKey) {
        let Some(server) = self.roster.get(key).filter(|s| s.is_limited(now)) else {
            return;
        };
        let service = self.service(&server.backend.service);
        let rate = service.map_or(0.0, |s| self.cold_rate(s, server));
        if let Some(server) = self.roster.get_mut(key) {
            server.bucket.has_room(now, rate);
            server.bucket.take();
        }
    }

    fn send(&mut self, now: Instant, key: RequestKey, candidate: Candidate) {
        self.take_cold_place(now, candidate.key);
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let Some(server) = self.roster.get_mut(candidate.key) else {
            return;
        };
        server.health.sent();
        let load = Load {
            unread: u64::from(candidate.inputs.read),
            running: 1,
        };
        server.own.add(load);
        server.send_read(now, candidate.inputs.read);
        if let Some(prompt) = &request.ask.prompt {
            let placement = prompt.shared().map(|part| Placement {
                part,
                server: server.hash,
            });
            if let Some(placement) = placement {
                server.note_part(placement.part);
                self.placed.push_back((now, placement));
            }
            self.news.push((candidate.key, placement));
        }
        request.attempt = Some(Attempt {
            server: candidate.key,
            sent: now,
            load,
            ahead: candidate.inputs.unread + load.unread,
        });
        request.tried.push(candidate.key);
        request.sent += 1;
        let first = request.tried.len() == 1;
        self.out.push(Decision::Send {
            request: key,
            server: candidate.key,
            id: server.id.clone(),
            address: server.backend.address,
            source: candidate.source,
            expected: candidate.inputs.begin,
            inputs: candidate.inputs,
        });
        if let (true, Some(workspace), Some(prompt)) =
            (first, request.ask.workspace, &request.ask.prompt)
        {
            let charge = prompt.charge();
            self.quota.admit(now, workspace, charge);
            let total = self.totals.entry(workspace).or_default();
            total.admitted += charge;
            total.changed = Some(now);
        }
    }
}

/// Finds for each server that lacks a part of the prefix one that holds more,
/// in its own zone if there is one.
///
/// A copy takes milliseconds where reading again takes a hundred, from
/// everybody who waits there.
fn find_sources(open: &mut [Open<'_>]) {
    let most = open.iter().map(|o| o.held).max().unwrap_or(0);
    if most < LEAST_COPY {
        return;
    }
    let mut sources: Vec<Source<'_>> = Vec::new();
    for holder in open.iter().filter(|o| o.held == most) {
        let zone = &holder.server.backend.zone;
        if sources.iter().all(|s| s.server.backend.zone != *zone) {
            sources.push(Source {
                server: holder.server,
                held: most,
            });
        }
    }
    for server in open.iter_mut().filter(|o| o.held + LEAST_COPY <= most) {
        let zone = &server.server.backend.zone;
        let near = sources.iter().find(|s| s.server.backend.zone == *zone);
        server.source = near.or(sources.first()).copied();
    }
}

/// Returns the charge of a request for a stream of which the caller has nothing yet.
fn new_charge(request: Option<&Request>) -> Option<f64> {
    let request = request.filter(|r| !r.begun)?;
    request.ask.prompt.as_ref().map(Prompt::charge)
}

/// Returns the tokens that fit into the memory of an engine of the service.
fn memory(situation: &Situation<'_>) -> u64 {
    let engine = situation.service.engine.as_ref();
    engine.map_or(0, |e| e.memory)
}

/// Estimates the wait at a plain server from what is under way there.
fn plain_wait(server: &Server, running: u32) -> Duration {
    /// Time that a request takes at a plain server, for comparing servers.
    const REQUEST_TIME: Duration = Duration::from_millis(20);
    let slots = server.backend.slots.max(1);
    REQUEST_TIME.mul_f64(f64::from(running) / f64::from(slots))
}
