//! Choice of the server for a request, and refusal of requests.
//!
//! A request goes to the server with the lowest score: the estimated time to first token plus
//! penalties, among them one for the tokens to prefill. Requests of workspaces over their fair
//! share use only spare capacity. A request that no server can start in time is refused at once,
//! with a retry delay.

use std::cell::OnceCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::engine::{Load, Prompt, Server};
use crate::event::{ColdShare, Decision, Exclusions, Inputs, Reason, RefusalInputs, RequestKey};
use crate::objects::{Service, TransferFacts};
use crate::peers::Placement;
use crate::placement;
use crate::pressure::Connection;
use crate::quota::ShareStatus;
use crate::registry::ServerKey;
use crate::rollout::Turn;
use crate::room::Standing;

use super::homes::Homes;
use super::{Attempt, Fleet, Refusal, Request, limits};

mod room;

/// Retry delay where another router or a short wait may help.
pub(super) const SHORT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Minimum retry delay of a request that no server can start in time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Maximum retry delay of a request that no server can start in time: a third of a caller's time.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(3_000);
/// Maximum ratio of a token interval to the data sheet's; the rest is a busy router's delay.
const MAX_INTERVAL_FACTOR: u32 = 2;
/// Number of token intervals added to the score of an engine.
const INTERVAL_PENALTY_TOKENS: u32 = 25;
/// Fraction of the time to its target after which a caller is told to come back, if it is unknown
/// when there is capacity: its request can then still start in time.
const RETRY_TARGET_FRACTION: f64 = 0.3;
/// Minimum of that time, for callers whose target is near or past.
const MIN_UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Extra weight of a request's own prefill in the score: it takes engine time from all requests.
const PREFILL_WEIGHT: f64 = 2.0;
/// Range of the score jitter in large deployments: routers that learn late of each other's choices
/// must not all take the same server.
const SCORE_JITTER: Duration = Duration::from_millis(30);
/// That range for prompts without a shared prefix where the learned speeds are used: the fastest
/// servers would get the requests of all routers before they hear of each other's. With 80 and 150 ms
/// more first bytes were late in the simulation of `uneven_servers`.
const LEARNED_SCORE_JITTER: Duration = Duration::from_millis(300);
/// Score penalty of a server in another zone whose load is reported late.
const STALE_ZONE_PENALTY: Duration = Duration::from_millis(100);
/// Minimum tokens of a KV cache transfer: their prefill takes twice the time until it starts.
const MIN_TRANSFER_TOKENS: u32 = 600;
/// Score penalty of a KV cache transfer within a zone: the time it takes both engines and the link.
const TRANSFER_PENALTY: Duration = Duration::from_millis(20);
/// Score penalty of a KV cache transfer between zones, over links that are shared and billed.
const CROSS_ZONE_TRANSFER_PENALTY: Duration = Duration::from_millis(40);
/// Score penalty of an engine that would cache another copy of the prefix: it evicts others.
const COPY_PENALTY: Duration = Duration::from_millis(50);
/// Score penalty at an error rate of 1.
const ERROR_PENALTY: Duration = Duration::from_millis(2_000);
/// Score penalty of a server in another zone: the round trip between zones, and billed traffic.
const ZONE_PENALTY: Duration = Duration::from_millis(4);
/// Fraction of the fleet-wide limit on a cold server that is used.
const COLD_LIMIT_FRACTION: f64 = 0.85;
/// Fraction of its capacity from which the pace of a server without a cold limit starts.
const START_FRACTION: f64 = 0.25;
/// Lowest bound, in requests per second, on a server without a cold limit: one router is left a rate
/// of 1.5.
const MIN_START_BOUND: f64 = 2.5;
/// Lowest rate, in requests per second, for each router that uses a cold server.
const MIN_COLD_RATE: f64 = 3.0;
/// Fraction of an engine's slots in use from which the score is penalized.
const CROWDING_THRESHOLD: f64 = 0.6;
/// Score penalty of an engine without a free slot: about the time until a stream there ends.
const CROWDING_PENALTY: Duration = Duration::from_millis(300);
/// Requests that may use a server which named a rate, relative to the rate: with more, a report
/// period's requests overrun it.
const RATE_ATTEMPTS: f64 = 1.5;
/// Lower bound of the rate in that product, in requests per second, so that some find out that a
/// server accepts more again.
const MIN_RATE_ATTEMPTS: f64 = 0.25;
/// Fraction of a named rate that is used where routers report late; the rest covers what is not
/// reported yet.
const LATE_RATE_FRACTION: f64 = 0.75;
/// Maximum number of requests in progress for each slot of a plain server.
const PLAIN_REQUESTS_PER_SLOT: f64 = 2.0;

/// Server that can accept the request.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    key: ServerKey,
    /// Rank among the candidates; the lowest wins.
    score: Duration,
    /// Time spent waiting for other requests at the server.
    wait: Duration,
    source: Option<SocketAddr>,
    pub(super) inputs: Inputs,
}

/// Rank of a server among the homes of a prefix; the highest is the first home's.
#[hibiscusrail_macros::id]
#[derive(Default)]
pub(super) struct HomeRank {
    warm: bool,
    /// Whether the server is in this router's zone; always true in small deployments.
    near: bool,
    hash: u64,
}

/// Eligible server with the state of its prefix cache.
#[derive(Clone, Copy)]
pub(super) struct Eligible<'a> {
    key: ServerKey,
    server: &'a Server,
    /// Tokens of the prompt's shared prefix in the server's cache.
    cached: u32,
    /// Whether the server is preferred for the prompt's shared prefix: it has it or, if none has,
    /// is its first home.
    pub(super) preferred: bool,
    /// Rank among the homes of the prefix.
    pub(super) rank: HomeRank,
    /// Engine from which the server would transfer the missing tokens of the prefix.
    source: Option<TransferSource<'a>>,
}

/// Engine from which other engines can transfer a cached prefix.
#[derive(Clone, Copy)]
struct TransferSource<'a> {
    server: &'a Server,
    /// Tokens of the prefix in its prefix cache.
    cached: u32,
}

/// Data of a request that is common to all candidates.
struct Context<'a> {
    now: Instant,
    request: RequestKey,
    service: &'a Service,
    prompt: Option<&'a Prompt>,
    /// Tokens of the prompt's shared prefix.
    shared: u32,
    share: ShareStatus,
    /// Whether the server list is too old to decide alone.
    late: bool,
    /// Whether the learned models of the servers are used.
    learns: bool,
    /// Software versions that receive no new streams now.
    closed_versions: Vec<&'a str>,
    /// Which versions the request may go to; none without a rollout.
    turn: Option<Turn>,
    /// Number of routers that share each limit, with this one.
    routers: u32,
    /// Number of those whose load is unknown, since they don't report.
    silent: u32,
    /// Streams per second for which routers consider servers, once a named rate needs them.
    demand: OnceCell<f64>,
    /// Standing of a new request while a plain server has all its slots in use.
    standing: Option<Standing>,
}

/// Best results among the servers considered so far.
#[derive(Default)]
struct Candidates {
    /// Candidate with the lowest score.
    best: Option<Candidate>,
    /// Candidate with the shortest time to first token.
    soonest: Option<Candidate>,
    /// Server without capacity that has the least pending prefill.
    full: Option<Inputs>,
    /// Why servers were left out.
    exclusions: Exclusions,
}

impl Context<'_> {
    /// Returns the KV cache transfer facts of the service's engines, if they support transfers.
    fn transfers(&self) -> Option<TransferFacts> {
        self.service.engine.as_ref()?.copies
    }
}

impl Candidates {
    fn add(&mut self, candidate: Candidate) {
        // All that were added start too late if the request is refused in the end.
        self.exclusions.late += 1;
        if self.best.is_none_or(|b| candidate.score < b.score) {
            self.best = Some(candidate);
        }
        let sooner = |s: Candidate| candidate.inputs.first_byte < s.inputs.first_byte;
        if self.soonest.is_none_or(sooner) {
            self.soonest = Some(candidate);
        }
    }

    fn add_full(&mut self, inputs: Inputs) {
        if self
            .full
            .is_none_or(|f| inputs.pending_prefill < f.pending_prefill)
        {
            self.full = Some(inputs);
        }
    }

    /// Returns the best candidate that starts in time, else the soonest if that one does.
    fn in_time(&self, allowed: Duration) -> Option<Candidate> {
        let starts = |c: &Candidate| limits::starts_in_time(c.inputs.first_byte, c.wait, allowed);
        let best = self.best.filter(starts);
        best.or_else(|| self.soonest.filter(starts))
    }

    /// Returns the inputs of the best server, with or without capacity, if there is any server.
    fn inputs(&self) -> Option<Inputs> {
        self.best.map(|b| b.inputs).or(self.full)
    }
}

impl Fleet {
    /// Sends a request to the best server, or refuses it.
    pub(super) fn place(&mut self, now: Instant, key: RequestKey) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        if now >= request.submission.deadline {
            return self.fail_request(now, key, Reason::Expired, Duration::ZERO);
        }
        if let Some(left) = self.quarantine(now, request) {
            return self.fail_request(now, key, Reason::Quarantined, left);
        }
        if self.version_is_gone(request) {
            return self.fail_request(now, key, Reason::VersionGone, Duration::ZERO);
        }
        let share = self.share_status(now, key);
        let request = self.requests.get(&key);
        let charge = initial_charge(request.filter(|r| !r.admitted));
        let workspace = request.and_then(|r| r.submission.workspace);
        let shortfall = limits::shortfall(share);
        let admits = |charge| {
            self.pressure
                .admits_stream(Connection::New, workspace, shortfall, charge)
        };
        if charge.is_some_and(|c| !admits(c)) {
            let lag = self.pressure.lag();
            return self.refuse(
                now,
                key,
                Refusal {
                    reason: Reason::RouterBusy,
                    retry_after: SHORT_RETRY_AFTER,
                    inputs: Some(RefusalInputs::Router { lag, share }),
                },
            );
        }
        if !self.is_considered(now, key, share) {
            return self.refuse_over_share(now, key, share);
        }
        match self.choose(now, key, share) {
            Ok(candidate) => {
                if candidate.inputs.cold.is_some() {
                    self.check_server(now, candidate.key, false);
                }
                self.send(now, key, candidate);
            }
            Err(refusal) => {
                self.check_servers(now, key);
                self.refuse(now, key, *refusal);
            }
        }
    }

    /// Returns whether servers are considered for a request: for a part of the new requests of a workspace
    /// over its share, drawn by a hash.
    fn is_considered(&self, now: Instant, key: RequestKey, share: ShareStatus) -> bool {
        if limits::considers_all(share) {
            return true;
        }
        let is_new =
            |r: &&Request| r.submission.prompt.is_some() && r.tried.is_empty() && !r.was_admitted();
        let request = self.requests.get(&key).filter(is_new);
        let Some(workspace) = request.and_then(|r| r.submission.workspace) else {
            return true;
        };
        let requested = self.quota.requested_shares(now, workspace);
        let fraction = limits::considered_fraction(share, requested);
        placement::draw(key.0, self.own_hash.0) <= fraction
    }

    /// Returns the streams per second, at all routers, for which servers are considered.
    fn considered_demand(&self, now: Instant) -> f64 {
        let tokens = self
            .quota
            .weighted_rate(now, self.throughput(), limits::considered_fraction);
        tokens / self.pressure.mean_charge().max(1.0)
    }

    /// Refuses a request of a workspace over its share for which no server was considered.
    fn refuse_over_share(&mut self, now: Instant, key: RequestKey, share: ShareStatus) {
        let target = self.requests.get(&key).map(|r| r.submission.target);
        let left = target.map_or(Duration::ZERO, |t| t.saturating_duration_since(now));
        self.refuse(
            now,
            key,
            Refusal {
                reason: Reason::OverShare,
                retry_after: unknown_retry_after(left),
                inputs: Some(RefusalInputs::Share { share }),
            },
        );
    }

    /// Returns whether no server is registered of the version at which a stream has to go on.
    fn version_is_gone(&self, request: &Request) -> bool {
        let Some(version) = &request.version else {
            return false;
        };
        let mut servers = self.registry.of_service(&request.submission.service);
        !servers.any(|(_, s)| s.backend.version == *version)
    }

    pub(super) fn share_status(&mut self, now: Instant, key: RequestKey) -> ShareStatus {
        let request = self.requests.get(&key);
        let engine = request.filter(|r| r.submission.prompt.is_some());
        let workspace = engine.and_then(|r| r.submission.workspace);
        self.workspace_share(now, workspace)
    }

    /// Returns the best server for a request; during a rollout one of the version whose turn it is,
    /// and of the old one if that has none with capacity.
    pub(super) fn choose(
        &mut self,
        now: Instant,
        key: RequestKey,
        share: ShareStatus,
    ) -> Result<Candidate, Box<Refusal>> {
        let request = self.requests.get(&key);
        let turn = request.and_then(|r| self.rollout_turn(now, r));
        if turn == Some(Turn::New)
            && let Ok(candidate) = self.choose_in_turn(now, key, share, turn)
        {
            return Ok(candidate);
        }
        let turn = turn.map(|t| if t == Turn::New { Turn::Old } else { t });
        self.choose_in_turn(now, key, share, turn)
    }

    fn choose_in_turn(
        &mut self,
        now: Instant,
        key: RequestKey,
        share: ShareStatus,
        turn: Option<Turn>,
    ) -> Result<Candidate, Box<Refusal>> {
        let plain = |reason| {
            Box::new(Refusal {
                reason,
                retry_after: SHORT_RETRY_AFTER,
                inputs: None,
            })
        };
        let Some(request) = self.requests.get(&key) else {
            return Err(plain(Reason::Expired));
        };
        let Some(service) = self.service(&request.submission.service) else {
            return Err(plain(Reason::NotReady));
        };
        let routers = u32::try_from(self.router_count()).unwrap_or(u32::MAX);
        let mut ctx = Context {
            now,
            request: key,
            service,
            prompt: request.submission.prompt.as_ref(),
            shared: request
                .submission
                .prompt
                .as_ref()
                .map_or(0, Prompt::shared_tokens),
            share,
            late: self.list_is_late(now),
            learns: self.learns(&request.submission.service),
            turn,
            closed_versions: self.closed_versions(now, request),
            routers,
            demand: OnceCell::new(),
            silent: routers.saturating_sub(u32::try_from(self.reporting + 1).unwrap_or(u32::MAX)),
            standing: None,
        };
        let allowed =
            limits::start_allowance(now, &request.submission, request.was_admitted(), share);
        let eligible = self.eligible_servers(&ctx, request);
        ctx.standing = self.plain_standing(&ctx, request, &eligible);
        let mut homes = Homes::new(eligible, ctx.shared);
        let mut candidates = Candidates::default();
        let mut spills = false;
        while let Some(group) = homes.next_group() {
            for eligible in group {
                self.consider(&ctx, request, eligible, spills, &mut candidates);
            }
            if let Some(candidate) = candidates.in_time(allowed) {
                return Ok(candidate);
            }
            spills = true;
        }
        let pause = || self.shortest_pause(now, &request.submission.service);
        if let Some(standing) = ctx.standing
            && pause().is_none()
        {
            return room::place_late(&candidates, standing);
        }
        let Some(inputs) = candidates.inputs() else {
            let mut refusal = plain(Reason::NoServer);
            if let Some(pause) = pause() {
                refusal.reason = Reason::Throttled;
                refusal.retry_after = pause;
            }
            return Err(refusal);
        };
        let exclusions = candidates.exclusions;
        let target = request.submission.target.saturating_duration_since(now);
        let retry_after = unknown_retry_after(target);
        let refusal = |wait: Duration| {
            Box::new(Refusal {
                reason: match share {
                    ShareStatus::Within => Reason::Busy,
                    ShareStatus::Beyond { .. } => Reason::OverShare,
                },
                retry_after: match share {
                    ShareStatus::Within => wait,
                    ShareStatus::Beyond { .. } => wait.max(retry_after),
                },
                inputs: Some(RefusalInputs::Server {
                    best: inputs,
                    exclusions,
                }),
            })
        };
        let Some(soonest) = candidates.soonest else {
            return Err(refusal(retry_after));
        };
        let wait = (soonest.inputs.first_byte - allowed).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Err(refusal(wait))
    }

    /// Adds an eligible server to the candidates, or to the servers without capacity.
    ///
    /// `spills` says whether it is none of the first homes of the prompt's shared prefix.
    /// In a busy fleet most servers are full, so they are skipped before their score is computed.
    fn consider(
        &self,
        ctx: &Context<'_>,
        request: &Request,
        eligible: &Eligible<'_>,
        spills: bool,
        candidates: &mut Candidates,
    ) {
        let exclusions = &mut candidates.exclusions;
        exclusions.servers += 1;
        if !has_connection(ctx, eligible.server) {
            exclusions.connections += 1;
            return;
        }
        if !self.has_slot(ctx, eligible.server) {
            exclusions.slots += 1;
            return;
        }
        if !room::has_room(ctx, eligible.server, exclusions) {
            return;
        }
        let inputs = self.inputs(ctx, eligible);
        let cached = eligible.preferred || eligible.source.is_some() || ctx.prompt.is_none();
        let may_use = !spills || limits::may_spill(&inputs, ctx.share);
        let exceeded = limits::exceeded(&inputs, cached, ctx.share);
        if request.was_admitted() || (may_use && !exceeded.any()) {
            candidates.add(self.score(ctx, eligible, inputs));
            return;
        }
        exclusions.spill += u32::from(!may_use);
        exclusions.prefill += u32::from(exceeded.prefill);
        exclusions.interval += u32::from(exceeded.interval);
        exclusions.occupancy += u32::from(exceeded.occupancy);
        candidates.add_full(inputs);
    }

    /// Returns the eligible servers with the state of their prefix caches.
    ///
    /// Servers with the whole shared prefix are preferred. If none is known to have it, all routers
    /// (in a large deployment, all of a zone) prefer the same server.
    fn eligible_servers(&self, ctx: &Context<'_>, request: &Request) -> Vec<Eligible<'_>> {
        let servers = self.registry.of_service(&request.submission.service);
        let mut eligible: Vec<Eligible<'_>> = servers
            .filter(|(key, server)| self.is_eligible(ctx, request, *key, server))
            .map(|(key, server)| Eligible {
                key,
                server,
                cached: ctx
                    .prompt
                    .map_or(0, |p| server.cached_tokens(p, kv_capacity(ctx))),
                preferred: false,
                rank: HomeRank::default(),
                source: None,
            })
            .collect();
        let Some((prompt, part)) = ctx.prompt.and_then(|p| Some((p, p.prefix_id()?))) else {
            return eligible;
        };
        let prefix_tokens = prompt.shared_tokens();
        let mut has_preferred = false;
        for server in &mut eligible {
            server.preferred = server.cached >= prefix_tokens;
            has_preferred |= server.preferred;
            server.rank = HomeRank {
                warm: !server.server.is_cold(ctx.now),
                near: !self.is_large() || server.server.backend.zone == self.params.zone,
                hash: placement::weight(part, server.server.hash),
            };
        }
        if ctx.transfers().is_some() {
            for version in distinct_versions(&eligible) {
                assign_sources(&mut eligible, version);
            }
        }
        if !has_preferred {
            let warm = eligible.iter_mut().filter(|e| e.rank.warm);
            if let Some(preferred) = warm.max_by_key(|e| e.rank) {
                preferred.preferred = true;
                preferred.source = None;
            }
        }
        eligible
    }

    /// Returns the shortest time until one of a service's servers accepts a request again, if all of
    /// them announced a pause or a rate that is used up.
    fn shortest_pause(&self, now: Instant, service: &str) -> Option<Duration> {
        let servers = self.registry.of_service(service).map(|(_, server)| server);
        let pauses = servers
            .filter(|s| !s.backend.leaving && !s.notice.leaving)
            .map(|s| s.announced_wait(now));
        pauses.min().filter(|pause| !pause.is_zero())
    }

    /// Returns whether a server may receive the request, regardless of its load.
    fn is_eligible(
        &self,
        ctx: &Context<'_>,
        request: &Request,
        key: ServerKey,
        server: &Server,
    ) -> bool {
        let version = server.backend.version.as_str();
        let fits = match &request.version {
            Some(began) => began == version && !self.may_be_other_version(ctx.now, server),
            None => !ctx.closed_versions.contains(&version),
        };
        fits && self.rollouts.admits(ctx.now, ctx.turn, server)
            && self.is_open(ctx.now, server, ctx.late)
            && !self.config.evacuated.contains(&server.backend.zone)
            && !request.tried.contains(&key)
            && server.health.is_available(ctx.now)
    }

    /// Returns whether a server has a slot and accepts a further request at its rate, whether it
    /// announced one or is cold.
    fn has_slot(&self, ctx: &Context<'_>, server: &Server) -> bool {
        let service = ctx.service;
        let slots = server.backend.slots.max(1);
        let max_running = match service.engine {
            Some(_) => f64::from(slots),
            None => f64::from(slots) * PLAIN_REQUESTS_PER_SLOT,
        };
        if f64::from(server.load().running) >= max_running {
            return false;
        }
        if !self.accepts_rate(ctx, server) {
            return false;
        }
        if !self.is_rate_limited(ctx.now, server) {
            return true;
        }
        let rate = self.cold_rate(ctx.now, service, server);
        server.bucket.clone().has_token(ctx.now, rate)
    }

    /// Returns whether a server accepts a further request at the rate that it named.
    ///
    /// Routers of a large deployment learn late of each other's requests. If all of them used a
    /// server as soon as it has room, each request of the fleet would go there at once. So only a
    /// fraction of the requests may use it: little more than its rate, of all that the fleet
    /// considers.
    fn accepts_rate(&self, ctx: &Context<'_>, server: &Server) -> bool {
        let used = server.rate_used(ctx.now, ctx.silent, ctx.routers);
        let Some(rate) = server.notice.rate.filter(|_| self.is_large()) else {
            return used < 1.0;
        };
        let attempts = rate.per_second.max(MIN_RATE_ATTEMPTS) * RATE_ATTEMPTS;
        // The demand counts streams only.
        let demand = || *ctx.demand.get_or_init(|| self.considered_demand(ctx.now));
        let is_drawn = ctx.prompt.is_none() || self.draw(ctx, server) * demand() <= attempts;
        used < LATE_RATE_FRACTION && is_drawn
    }

    /// Returns whether the rate of requests to a server is limited, as it is or may be cold, is being
    /// probed or has just started or recovered.
    fn is_rate_limited(&self, now: Instant, server: &Server) -> bool {
        server.is_limited(now)
            || self.pace_of(now, server).is_some()
            || self.may_be_cold(now, server)
    }

    /// Returns the fleet's limit on the requests per second to a server that has just started or
    /// recovered; none if there is no limit.
    fn start_bound(&self, now: Instant, service: &Service, server: &Server) -> Option<f64> {
        let pace = self.pace_of(now, server);
        if let Some(limit) = self.cold_limit(service) {
            return Some(limit * pace.unwrap_or(1.0));
        }
        let slots = f64::from(server.backend.slots.max(1));
        let capacity = match service.engine {
            Some(_) => slots,
            None => slots / server.model().plain_time(now).as_secs_f64(),
        };
        pace.map(|pace| (capacity * START_FRACTION * pace).max(MIN_START_BOUND))
    }

    /// Returns the rate, in requests per second, at which this router may use a server that is cold
    /// or has just started or recovered.
    ///
    /// A cold server is assigned to only so many routers that each gets a useful rate; all routers
    /// derive the same assignment from a hash. One is subtracted from the rate because each router
    /// may also send one request at once. The rate is zero until the other routers count this one.
    fn cold_rate(&self, now: Instant, service: &Service, server: &Server) -> f64 {
        let Some(bound) = self.start_bound(now, service, server) else {
            return f64::INFINITY;
        };
        if !self.members.may_share(now) {
            return 0.0;
        }
        let rate = self.part_of(bound, server);
        match self.cold_limit(service).filter(|_| server.is_cold(now)) {
            // Routers whose paces differ assign the server to different numbers of routers.
            Some(limit) => rate.min(self.part_of(limit, server)),
            None => rate,
        }
    }

    /// Returns the part that is used of the fleet's limit on the requests per second to a cold server;
    /// none if the service has no limit.
    pub(super) fn cold_limit(&self, service: &Service) -> Option<f64> {
        let rate = Some(service.cold_rate).filter(|rate| *rate > 0.0)?;
        Some(self.params.cold_bound(rate) * COLD_LIMIT_FRACTION)
    }

    /// Returns this router's part, in requests per second, of a bound on all routers.
    pub(super) fn part_of(&self, bound: f64, server: &Server) -> f64 {
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let assigned = self
            .router_count()
            .min((bound / MIN_COLD_RATE) as usize)
            .max(1);
        let weight = |router: u32| placement::weight(u64::from(server.hash), router);
        let own = weight(self.own_hash.0);
        let others = self.members.all().iter();
        let higher = others.filter(|m| weight(**m) > own).count();
        if higher >= assigned {
            return 0.0;
        }
        #[allow(clippy::cast_precision_loss)]
        let rate = bound / assigned as f64;
        (rate - 1.0).max(0.0)
    }

    /// Returns the state of a server that decides on its capacity; `first_byte` is left zero.
    fn inputs(&self, ctx: &Context<'_>, eligible: &Eligible<'_>) -> Inputs {
        let server = eligible.server;
        let load = server.load();
        let (mut prefill_tokens, mut transferred, mut prefill_fraction, mut slots_used) =
            (0, 0, 0.0, 0.0);
        if let Some(prompt) = ctx.prompt {
            let cached = eligible.source.map_or(eligible.cached, |s| s.cached);
            transferred = cached - eligible.cached;
            prefill_tokens = prompt.input.saturating_sub(cached);
            prefill_fraction = server.prefill_fraction(ctx.now, self.read_rate(ctx, server));
            let rate_used = server.rate_used(ctx.now, ctx.silent, ctx.routers);
            slots_used = f64::from(load.running) / f64::from(server.backend.slots.max(1));
            slots_used = slots_used.max(rate_used);
        }
        let token_interval = self.token_interval(ctx, server, load.running, prefill_fraction);
        Inputs {
            pending_prefill: load.pending_prefill,
            running: load.running,
            prefill_tokens,
            shared: ctx.shared,
            cached: eligible.cached,
            preferred: eligible.preferred,
            transferred,
            slots_used,
            prefill_fraction,
            token_interval,
            first_byte: Duration::ZERO,
            share: ctx.share,
            cold: self.is_rate_limited(ctx.now, server).then(|| ColdShare {
                rate: self.cold_rate(ctx.now, ctx.service, server),
                routers: ctx.routers,
            }),
            heard: server
                .liveness
                .heard_at()
                .map(|at| ctx.now.saturating_duration_since(at)),
            revision: self.registry.revision(),
        }
    }

    /// Returns the present prefill rate of a server with all its time, in tokens per millisecond.
    fn read_rate(&self, ctx: &Context<'_>, server: &Server) -> f64 {
        if !ctx.learns {
            return self.params.read_rate;
        }
        let model = server.model();
        model.prefill_rate(ctx.now, &self.params.nominal()).value / model.slowdown(ctx.now)
    }

    /// Returns the time per output token of a stream at a server.
    ///
    /// The observed one is not above twice that of the model. In a slow period, it is not below the
    /// model's either: what was observed before does not show the period.
    fn token_interval(
        &self,
        ctx: &Context<'_>,
        server: &Server,
        running: u32,
        prefill_fraction: f64,
    ) -> Duration {
        let observed = server.token_interval(ctx.now);
        if !ctx.learns {
            let nominal = self.params.nominal_interval(running, prefill_fraction);
            return observed.min(nominal * MAX_INTERVAL_FACTOR);
        }
        let (model, nominal) = (server.model(), self.params.nominal());
        let expected = model.token_interval(ctx.now, running, prefill_fraction, &nominal);
        let observed = observed.min(expected * MAX_INTERVAL_FACTOR);
        if model.slowdown(ctx.now) > 1.0 {
            observed.max(expected)
        } else {
            observed
        }
    }

    /// Returns the present prefill time of `tokens` at a server.
    fn prefill_time(&self, ctx: &Context<'_>, server: &Server, tokens: u64) -> Duration {
        if ctx.learns {
            let nominal = self.params.nominal();
            return server.model().prefill_time(ctx.now, tokens, &nominal);
        }
        server.prefill_time(tokens, self.params.read_rate)
    }

    /// Returns the candidate for a server with capacity.
    fn score(&self, ctx: &Context<'_>, eligible: &Eligible<'_>, mut inputs: Inputs) -> Candidate {
        let server = eligible.server;
        let (wait, prefill) = match ctx.prompt {
            Some(_) => (
                self.prefill_time(ctx, server, inputs.pending_prefill),
                self.prefill_time(ctx, server, u64::from(inputs.prefill_tokens)),
            ),
            None => plain_times(ctx, server, inputs.running),
        };
        inputs.first_byte = wait + prefill;
        // The weight is for tokens that are not cached. By the learned speed, it would draw the
        // requests of all routers to the fastest servers long before they hear of each other's.
        let weighted = match ctx.prompt {
            Some(_) if ctx.learns => Duration::from_secs_f64(
                f64::from(inputs.prefill_tokens) / self.params.read_rate / 1e3,
            ),
            _ => prefill,
        };
        let mut score = inputs.first_byte + weighted.mul_f64(PREFILL_WEIGHT);
        if let (Some(source), Some(transfers)) = (&eligible.source, ctx.transfers()) {
            let is_near = source.server.backend.zone == server.backend.zone;
            inputs.first_byte += transfers.time(inputs.transferred, is_near);
            score += if is_near {
                TRANSFER_PENALTY
            } else {
                CROSS_ZONE_TRANSFER_PENALTY
            };
        }
        score += inputs.token_interval * INTERVAL_PENALTY_TOKENS;
        score += ERROR_PENALTY.mul_f64(server.health.error_rate());
        score += self.jitter(ctx, server);
        if ctx.prompt.is_some() && !eligible.preferred {
            score += COPY_PENALTY;
        }
        let crowding =
            ((inputs.slots_used - CROWDING_THRESHOLD) / (1.0 - CROWDING_THRESHOLD)).max(0.0);
        score += CROWDING_PENALTY.mul_f64(crowding * crowding);
        if server.backend.zone != self.params.zone {
            score += if self.is_large() {
                STALE_ZONE_PENALTY
            } else {
                ZONE_PENALTY
            };
        }
        Candidate {
            key: eligible.key,
            score,
            wait,
            source: eligible.source.map(|s| s.server.backend.address),
            inputs,
        }
    }

    /// Returns a score jitter that depends on the router, request and server.
    fn jitter(&self, ctx: &Context<'_>, server: &Server) -> Duration {
        if !self.is_large() {
            return Duration::ZERO;
        }
        let range = if ctx.learns && ctx.prompt.is_some() && ctx.shared == 0 {
            LEARNED_SCORE_JITTER
        } else {
            SCORE_JITTER
        };
        range.mul_f64(self.draw(ctx, server))
    }

    /// Returns a number from 0 to 1 that depends on the router, request and server.
    fn draw(&self, ctx: &Context<'_>, server: &Server) -> f64 {
        let seed = ctx.request.0 ^ u64::from(self.own_hash.0) << 32;
        placement::draw(seed, server.hash)
    }

    /// Counts a request against the rate limit of its server, if that is cold or being probed.
    fn take_cold_token(&mut self, now: Instant, key: ServerKey) {
        let Some(server) = self
            .registry
            .get(key)
            .filter(|s| self.is_rate_limited(now, s))
        else {
            return;
        };
        let service = self.service(&server.backend.service);
        let rate = service.map_or(0.0, |s| self.cold_rate(now, s, server));
        if let Some(server) = self.registry.get_mut(key) {
            server.bucket.has_token(now, rate);
            server.bucket.take();
        }
    }

    pub(super) fn send(&mut self, now: Instant, key: RequestKey, candidate: Candidate) {
        self.take_cold_token(now, candidate.key);
        let class = self.plain_class(key);
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let Some(server) = self.registry.get_mut(candidate.key) else {
            return;
        };
        let probe = server.health.needs_probe();
        server.health.request_sent();
        let load = Load {
            pending_prefill: u64::from(candidate.inputs.prefill_tokens),
            running: 1,
        };
        let queued = server.load().running >= server.backend.slots;
        server.own_load.add(load);
        server.record_request(now, candidate.inputs.prefill_tokens);
        if let Some(prompt) = &request.submission.prompt {
            let placement = prompt.prefix_id().map(|part| Placement {
                part,
                server: server.hash,
            });
            if let Some(placement) = placement {
                server.record_part(placement.part);
                self.placements.push_back((now, placement));
            }
            self.unreported.push((candidate.key, placement));
        }
        if let Some(class) = class {
            self.room.sent(key, class);
        }
        request.attempt = Some(Attempt {
            server: candidate.key,
            server_hash: server.hash,
            life: server.life(),
            version: server.backend.version.clone(),
            zone: placement::name_hash(&server.backend.zone),
            cold: server.is_cold(now),
            sent_at: now,
            expected: candidate.inputs.first_byte,
            load,
            prefill_tokens: candidate.inputs.pending_prefill + load.pending_prefill,
            progress: 0,
            began_at: None,
            silent: false,
            kept_for: None,
            queued,
            probe,
        });
        request.tried.push(candidate.key);
        request.attempts += 1;
        let first = request.tried.len() == 1;
        self.rollouts
            .record_sent(&request.submission.service, &server.backend.version);
        self.decisions.push(Decision::Send {
            request: key,
            server: candidate.key,
            id: server.id.clone(),
            version: server.backend.version.clone(),
            address: server.backend.address,
            source: candidate.source,
            expected: candidate.inputs.first_byte,
            inputs: candidate.inputs,
        });
        if let (true, Some(workspace), Some(prompt)) = (
            first,
            request.submission.workspace,
            &request.submission.prompt,
        ) {
            let charge = prompt.charge();
            request.pending = charge;
            self.quota.add_pending(workspace, charge);
            let total = self.totals.entry(workspace).or_default();
            total.pending += charge;
            total.changed_at = Some(now);
        }
    }
}

/// Returns the retry delay where it is unknown when there is capacity, given the time left to the target.
fn unknown_retry_after(left: Duration) -> Duration {
    left.mul_f64(RETRY_TARGET_FRACTION)
        .max(MIN_UNKNOWN_RETRY_AFTER)
}

/// Returns the software versions of servers, of which there are few.
fn distinct_versions<'a>(eligible: &[Eligible<'a>]) -> Vec<&'a str> {
    let mut versions: Vec<&str> = Vec::new();
    for server in eligible {
        let version = server.server.backend.version.as_str();
        if !versions.contains(&version) {
            versions.push(version);
        }
    }
    versions
}

/// Assigns to servers of a software version that lack part of the prefix a source with more, if
/// possible in their zone. What engines of two versions keep of a prompt does not fit together.
///
/// A transfer takes milliseconds where prefill takes a hundred, which also delay all other requests
/// at the engine.
fn assign_sources(eligible: &mut [Eligible<'_>], version: &str) {
    let fits = |e: &Eligible<'_>| e.server.backend.version == version;
    let holders = || eligible.iter().filter(|e| fits(e));
    let max_cached = holders().map(|e| e.cached).max().unwrap_or(0);
    if max_cached < MIN_TRANSFER_TOKENS {
        return;
    }
    let mut sources: Vec<TransferSource<'_>> = Vec::new();
    for holder in holders().filter(|e| e.cached == max_cached) {
        let zone = &holder.server.backend.zone;
        if sources.iter().all(|s| s.server.backend.zone != *zone) {
            sources.push(TransferSource {
                server: holder.server,
                cached: max_cached,
            });
        }
    }
    for server in eligible
        .iter_mut()
        .filter(|e| fits(e) && e.cached + MIN_TRANSFER_TOKENS <= max_cached)
    {
        let zone = &server.server.backend.zone;
        let near = sources.iter().find(|s| s.server.backend.zone == *zone);
        server.source = near.or(sources.first()).copied();
    }
}

/// Returns whether this router may use another of a server's connections.
///
/// Its even part is always its own. Beyond it, a router may use half of the connections as far as
/// the others leave them unused, so that callers who all meet at one router are not held to an even
/// part. The other half covers idle connections and requests that are not reported yet; routers
/// that do not report are taken to use their even parts.
fn has_connection(ctx: &Context<'_>, server: &Server) -> bool {
    let connections = ctx.service.connections;
    let part = (connections / ctx.routers).max(1);
    let others = server.peer_load.running + part * ctx.silent;
    let spare = (connections / 2).saturating_sub(others);
    server.own_load.running < spare.max(part)
}

/// Returns the cost of a new request for a stream.
fn initial_charge(request: Option<&Request>) -> Option<f64> {
    let request = request.filter(|r| !r.may_have_run())?;
    request.submission.prompt.as_ref().map(Prompt::charge)
}

/// Returns the KV cache capacity, in tokens, of the service's engines.
fn kv_capacity(ctx: &Context<'_>) -> u64 {
    let engine = ctx.service.engine.as_ref();
    engine.map_or(0, |e| e.memory)
}

/// Estimates the wait at a plain server from the requests in progress, and the time of the request
/// itself if it is known.
fn plain_times(ctx: &Context<'_>, server: &Server, running: u32) -> (Duration, Duration) {
    /// Assumed time of a request, for comparing servers.
    const REQUEST_TIME: Duration = Duration::from_millis(20);
    let rounds = f64::from(running) / f64::from(server.backend.slots.max(1));
    if !ctx.learns {
        return (REQUEST_TIME.mul_f64(rounds), Duration::ZERO);
    }
    let time = server.model().plain_time(ctx.now);
    (time.mul_f64(rounds), time)
}
