//! The reducer: one function over all events.

mod choice;
mod limits;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use hibiscusrail_macros::value;

use crate::engine::{Load, Server};
use crate::event::{Ask, Decision, Event, Execution, Inputs, Outcome, Reason, RequestKey};
use crate::objects::{Orders, Repeat, Revision, Servers, Service};
use crate::params::Params;
use crate::peers::{Peers, Placement, Report, RouterHash, Scope, ServerLoad, Total};
use crate::placement::{self, name_hash};
use crate::pressure::Pressure;
use crate::quota::{Quota, WorkspaceHash};
use crate::retry::RetryWindow;
use crate::roster::{Roster, ServerKey};

/// Routers that hear each other in every period; in a larger deployment only
/// those of a zone do.
const PERIOD_ROUTERS: usize = 24;
/// Periods between two reports to other zones, for each [`PERIOD_ROUTERS`] that
/// there are: the reports that a router receives don't grow with the routers.
const FAR_PERIODS: u32 = 2;
/// Periods without a report after which a router counts as gone or cut off.
const LIFE_PERIODS: u32 = 4;
/// Routers of a zone that follow the store: one may be lost at any time.
const ZONE_WATCHERS: usize = 2;
/// Servers that are tried for one request at most, reached or not: each that is
/// not reached takes the time of a connection.
const MOST_TRIED: usize = 4;
/// Reports that repeat a placement; all of them are seldom lost.
const PLACED_REPORTS: u32 = 3;

/// Why no server receives a request now.
#[value]
struct Refusal {
    reason: Reason,
    retry_after: Duration,
    inputs: Option<Inputs>,
}

/// An attempt under way.
#[derive(Debug)]
struct Attempt {
    server: ServerKey,
    sent: Instant,
    load: Load,
    ahead: u64,
}

/// A request from its arrival to its end.
#[derive(Debug)]
struct Request {
    ask: Ask,
    attempt: Option<Attempt>,
    tried: Vec<ServerKey>,
    /// Servers that it was sent to, or is being sent to.
    sent: u32,
    begun: bool,
    execution: Execution,
}

/// Tokens of a workspace at this router since its start.
#[derive(Debug, Default)]
struct OwnTotal {
    asked: f64,
    admitted: f64,
    changed: Option<Instant>,
}

/// All decisions of one router.
#[derive(Debug)]
pub struct Fleet {
    params: Params,
    me: RouterHash,
    incarnation: u64,
    sequence: u64,
    members: Vec<u32>,
    orders: Orders,
    orders_revision: Revision,
    roster: Roster,
    requests: BTreeMap<RequestKey, Request>,
    quota: Quota,
    retries: BTreeMap<String, RetryWindow>,
    totals: BTreeMap<WorkspaceHash, OwnTotal>,
    peers: Peers,
    pressure: Pressure,
    placed: VecDeque<(Instant, Placement)>,
    /// Engines that were sent something since the last report, with the prompt's placement.
    news: Vec<(ServerKey, Option<Placement>)>,
    /// When the store last answered.
    store_heard: Instant,
    /// When the first call failed since then.
    store_lost: Option<Instant>,
    /// Whether the next list of servers is the first since the store was away.
    lapsing: bool,
    out: Vec<Decision>,
}

/// Returns the work of this router at a server as others are told.
fn load_of(server: &Server) -> ServerLoad {
    ServerLoad {
        server: server.hash,
        unread: server.own.unread,
        running: server.own.running,
        sent: server.sent,
    }
}

impl Fleet {
    /// Creates a router without configuration.
    #[must_use]
    pub fn new(name: &str, incarnation: u64, params: Params, now: Instant) -> Self {
        Self {
            me: RouterHash(name_hash(name)),
            incarnation,
            sequence: 0,
            members: vec![name_hash(name)],
            orders: Orders::default(),
            orders_revision: Revision::default(),
            roster: Roster::default(),
            requests: BTreeMap::new(),
            quota: Quota::new(params.quota_window),
            retries: BTreeMap::new(),
            totals: BTreeMap::new(),
            peers: Peers::default(),
            pressure: Pressure::default(),
            placed: VecDeque::new(),
            news: Vec::new(),
            store_heard: now,
            store_lost: None,
            lapsing: false,
            out: Vec::new(),
            params,
        }
    }

    /// Returns the operator's orders in force.
    #[must_use]
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// Returns the revision of the orders in force.
    #[must_use]
    pub fn orders_revision(&self) -> Revision {
        self.orders_revision
    }

    /// Returns the servers in force.
    #[must_use]
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Puts changed parameters in force.
    pub fn set_params(&mut self, params: Params) {
        self.params = params;
    }

    /// Returns whether this router is to follow the store itself.
    ///
    /// Some routers of each zone do; the others learn from their reports that
    /// there is news, and take it over. Which ones follows from a hash, and
    /// whoever is not answered by the store any more is replaced.
    #[must_use]
    pub fn watches(&self, now: Instant) -> bool {
        if self.orders.deployment.is_none() {
            return true;
        }
        let zone = name_hash(&self.params.zone);
        let weight = |router: u32| placement::weight(u64::from(zone), router);
        let mine = weight(self.me.0);
        let Some(since) = now.checked_sub(self.params.watch_life) else {
            return true;
        };
        let ahead = |router: u32| weight(router) > mine;
        self.peers.watchers(zone, since, ahead) < ZONE_WATCHERS
    }

    /// Returns whether the last call to the store failed.
    #[must_use]
    pub fn store_is_lost(&self) -> bool {
        self.store_lost.is_some()
    }

    /// Returns whether new connections of callers are to go to other routers.
    #[must_use]
    pub fn sheds(&self) -> bool {
        self.pressure.sheds()
    }

    /// Returns how late the loop of this router comes round.
    #[must_use]
    pub fn lateness(&self) -> Duration {
        self.pressure.late()
    }

    /// Returns how many requests are under way.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Handles one event at time `now` and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Decision> {
        match event {
            Event::Submit(ask) => self.submit(now, ask),
            Event::FirstByte(key) => self.first_byte(now, key),
            Event::Paced { key, gap, tokens } => self.paced(now, key, gap, tokens),
            Event::Ended(key, outcome) => self.ended(now, key, outcome),
            Event::Orders(revision, orders) => self.take_orders(revision, orders),
            Event::Servers(revision, servers) => self.take_servers(now, revision, &servers),
            Event::StoreAnswered => self.store_answered(now),
            Event::StoreLost => {
                self.store_lost.get_or_insert(now);
            }
            Event::ServersUnchanged => self.lapsing = false,
            Event::Report(report) => self.take_report(now, &report),
            Event::Members(names) => self.take_members(&names),
            Event::Late(late) => self.late(now, late),
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.out)
    }

    /// Returns the time between two reports to the routers of the own zone.
    #[must_use]
    pub fn report_period(&self) -> Duration {
        self.params.report_period
    }

    /// Returns after how many periods the routers of other zones receive a report.
    ///
    /// Engines are mostly used by the routers of their zone, which have to know
    /// at once what the others sent there.
    #[must_use]
    pub fn far_periods(&self) -> u32 {
        match u32::try_from(self.members.len() / PERIOD_ROUTERS).unwrap_or(u32::MAX) {
            0 => 1,
            times => FAR_PERIODS * (times + 1),
        }
    }

    /// Returns who is told news: the routers that mostly use the same servers.
    #[must_use]
    pub fn news_scope(&self) -> Scope {
        if self.is_wide() {
            Scope::Zone
        } else {
            Scope::All
        }
    }

    /// Returns whether the routers of other zones are heard less often than those of the own.
    fn is_wide(&self) -> bool {
        self.far_periods() > 1
    }

    /// Returns the report that the other routers are to receive: all of them, or
    /// only those of the own zone.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn report(&mut self, now: Instant, scope: Scope) -> Report {
        let store_age = now.saturating_duration_since(self.store_heard);
        let longest = self.report_period() * self.far_periods() * PLACED_REPORTS;
        let repeated = match scope {
            Scope::Zone => self.report_period() * PLACED_REPORTS,
            Scope::All => longest,
        };
        let lately = |at: Instant| now.saturating_duration_since(at) < repeated;
        self.placed
            .retain(|(at, _)| now.saturating_duration_since(*at) < longest);
        let loads = self
            .roster
            .all()
            .filter(|s| s.own != Load::default() || s.sent_at.is_some_and(lately));
        let totals = self
            .totals
            .iter()
            .filter(|(_, t)| t.changed.is_some_and(lately));
        let loads = loads.map(load_of).collect();
        let totals = totals
            .map(|(workspace, t)| Total {
                workspace: workspace.0,
                asked: t.asked as u64,
                admitted: t.admitted as u64,
            })
            .collect();
        let placed = self.placed.iter().rev();
        let placed = placed.take_while(|(at, _)| lately(*at));
        let placed = placed.map(|(_, placement)| *placement).collect();
        Report {
            loads,
            totals,
            store_age: u64::try_from(store_age.as_millis()).unwrap_or(u64::MAX),
            placed,
            ..self.next_report()
        }
    }

    /// Returns a report that tells nothing yet, with the next number.
    fn next_report(&mut self) -> Report {
        self.sequence += 1;
        Report {
            sender: self.me.0,
            incarnation: self.incarnation,
            sequence: self.sequence,
            orders: self.orders_revision.0,
            servers: self.roster.revision().0,
            zone: name_hash(&self.params.zone),
            ..Report::default()
        }
    }

    /// Returns a report of what was sent to engines since the last one, if anything was.
    pub fn news(&mut self) -> Option<Report> {
        let news = std::mem::take(&mut self.news);
        if news.is_empty() {
            return None;
        }
        let servers: BTreeSet<ServerKey> = news.iter().map(|(server, _)| *server).collect();
        let loads = servers.into_iter().filter_map(|key| self.roster.get(key));
        Some(Report {
            loads: loads.map(load_of).collect(),
            placed: news.into_iter().filter_map(|(_, placed)| placed).collect(),
            partial: true,
            ..self.next_report()
        })
    }

    /// Returns whether there is something for [`Self::news`] to tell.
    #[must_use]
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    fn log(&mut self, event: &'static str, subject: &str, detail: String) {
        self.out.push(Decision::Log {
            event,
            subject: subject.to_owned(),
            detail,
        });
    }

    fn service(&self, name: &str) -> Option<&Service> {
        self.orders.deployment.as_ref()?.services.get(name)
    }

    /// Returns how many routers share each limit.
    fn routers(&self) -> usize {
        if self.members.len() > 1 {
            self.members.len()
        } else {
            self.params.routers
        }
    }

    fn submit(&mut self, now: Instant, ask: Ask) {
        if let (Some(workspace), Some(prompt)) = (ask.workspace, &ask.prompt) {
            let charge = prompt.charge();
            self.quota.ask(now, workspace, charge);
            self.pressure.ask(charge);
            let total = self.totals.entry(workspace).or_default();
            total.asked += charge;
            total.changed = Some(now);
        }
        self.retry_window(&ask.service).request(now);
        let key = ask.key;
        self.requests.insert(
            key,
            Request {
                ask,
                attempt: None,
                tried: Vec::new(),
                sent: 0,
                begun: false,
                execution: Execution::NotRun,
            },
        );
        self.dispatch(now, key);
    }

    fn retry_window(&mut self, service: &str) -> &mut RetryWindow {
        let bound = self.params.retries;
        self.retries
            .entry(service.to_owned())
            .or_insert_with(|| RetryWindow::new(bound))
    }

    fn give_up(&mut self, key: RequestKey, reason: Reason, retry_after: Duration) {
        let inputs = None;
        self.refuse(
            key,
            Refusal {
                reason,
                retry_after,
                inputs,
            },
        );
    }

    fn refuse(&mut self, key: RequestKey, refusal: Refusal) {
        let Some(request) = self.requests.remove(&key) else {
            return;
        };
        self.out.push(Decision::GiveUp {
            request: key,
            reason: refusal.reason,
            execution: request.execution,
            retry_after: refusal.retry_after,
            inputs: refusal.inputs,
        });
    }

    fn first_byte(&mut self, now: Instant, key: RequestKey) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        request.begun = true;
        let Some(attempt) = &mut request.attempt else {
            return;
        };
        let read = attempt.load.unread;
        let took = now.saturating_duration_since(attempt.sent);
        let ahead = std::mem::take(&mut attempt.ahead);
        attempt.load.unread = 0;
        let rate = self.params.read_rate;
        let Some(server) = self.roster.get_mut(attempt.server) else {
            return;
        };
        server.own.unread = server.own.unread.saturating_sub(read);
        server.observe(ahead, took, rate);
        if server.health.succeeded() {
            let deployment = self.orders.deployment.as_ref();
            let cold = deployment
                .and_then(|d| d.services.get(&request.ask.service))
                .map_or(Duration::ZERO, |s| s.cold_time);
            // It may have restarted meanwhile; its next entry says so or not.
            server.cold_until = (!cold.is_zero()).then(|| now + cold);
            let id = server.id.clone();
            self.log(
                "server_back",
                &id,
                format!("first_byte_ms={}", took.as_millis()),
            );
        }
    }

    fn paced(&mut self, now: Instant, key: RequestKey, gap: Duration, tokens: u32) {
        let attempt = self.requests.get(&key).and_then(|r| r.attempt.as_ref());
        if let Some(server) = attempt.and_then(|a| self.roster.get_mut(a.server)) {
            server.observe_pace(now, gap, tokens);
        }
    }

    /// Takes the attempt of a request off its server.
    fn release(&mut self, key: RequestKey) -> Option<Attempt> {
        let attempt = self.requests.get_mut(&key)?.attempt.take()?;
        if let Some(server) = self.roster.get_mut(attempt.server) {
            server.own.subtract(attempt.load);
        }
        Some(attempt)
    }

    fn ended(&mut self, now: Instant, key: RequestKey, outcome: Outcome) {
        let Some(attempt) = self.release(key) else {
            self.requests.remove(&key);
            return;
        };
        self.observe(now, attempt.server, outcome);
        match outcome {
            Outcome::Answered | Outcome::Left => {
                self.requests.remove(&key);
                return;
            }
            Outcome::NotRun | Outcome::Misdirected => {}
            Outcome::Unreachable => self.unsend(key),
            Outcome::Failed => self.mark(key, Execution::Failed),
            Outcome::Broken | Outcome::Silent => self.mark(key, Execution::Unknown),
        }
        self.try_again(now, key, outcome);
    }

    /// Notes that a request may have run, or has.
    fn mark(&mut self, key: RequestKey, execution: Execution) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.execution = execution;
        }
    }

    /// Notes that no byte of a request left: the attempt was none.
    fn unsend(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.sent -= 1;
        }
    }

    fn observe(&mut self, now: Instant, key: ServerKey, outcome: Outcome) {
        let Some(server) = self.roster.get_mut(key) else {
            return;
        };
        let pause = match outcome {
            Outcome::Answered => {
                server.health.succeeded();
                None
            }
            Outcome::Left => {
                server.health.undecided();
                None
            }
            Outcome::Failed | Outcome::NotRun | Outcome::Broken => {
                server.health.erred();
                None
            }
            Outcome::Misdirected | Outcome::Unreachable | Outcome::Silent => {
                server.health.failed(now)
            }
        };
        if let Some(pause) = pause {
            let id = server.id.clone();
            let detail = format!("outcome={outcome:?} pause_ms={}", pause.as_millis());
            self.log("server_paused", &id, detail);
        }
    }

    fn try_again(&mut self, now: Instant, key: RequestKey, outcome: Outcome) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let ask = &request.ask;
        let unsent = outcome == Outcome::Unreachable;
        let not_run = unsent || matches!(outcome, Outcome::NotRun | Outcome::Misdirected);
        let repeatable = match (request.begun, not_run) {
            (true, _) => ask.resumable,
            (false, true) => true,
            (false, false) => ask.resumable || ask.repeat == Repeat::Idempotent,
        };
        if now >= ask.deadline {
            return self.give_up(key, Reason::Expired, Duration::ZERO);
        }
        if !repeatable || request.sent >= ask.attempts || request.tried.len() >= MOST_TRIED {
            return self.give_up(key, Reason::Exhausted, choice::SHORT_WAIT);
        }
        if request.sent > 0 {
            let service = ask.service.clone();
            let routers = self.routers();
            if !self.retry_window(&service).repeat(now, routers) {
                return self.give_up(key, Reason::RetryBudget, choice::SHORT_WAIT);
            }
        }
        self.dispatch(now, key);
    }

    fn take_orders(&mut self, revision: Revision, orders: Orders) {
        if revision <= self.orders_revision {
            return;
        }
        let version = |o: &Orders| o.deployment.as_ref().map_or(0, |d| d.version);
        let detail = format!(
            "revision={} version={} was={} evacuated={}",
            revision.0,
            version(&orders),
            version(&self.orders),
            orders.evacuated.len(),
        );
        self.orders_revision = revision;
        // A configuration that can't be read does not end the one in force.
        let before = self.orders.deployment.take();
        self.orders = orders;
        self.orders.deployment = self.orders.deployment.take().or(before);
        self.log("orders_in_force", "orders", detail);
    }

    fn take_servers(&mut self, now: Instant, revision: Revision, servers: &Servers) {
        if revision <= self.roster.revision() {
            return;
        }
        // Only what is missing at once may have lapsed; what goes later has left.
        let lapse = std::mem::take(&mut self.lapsing);
        let changes = self.roster.apply(now, revision, servers, lapse);
        let lists = [
            ("server_started", changes.started),
            ("server_leaving", changes.leaving),
            ("server_gone", changes.gone),
            ("server_lapsed", changes.lapsed),
        ];
        for (event, ids) in lists {
            for id in ids {
                self.log(event, &id, format!("revision={}", revision.0));
            }
        }
    }

    /// Notes that the store is there; entries may have lapsed while it was not.
    fn store_answered(&mut self, now: Instant) {
        self.store_heard = now;
        let Some(lost) = self.store_lost.take() else {
            return;
        };
        let away = now.saturating_duration_since(lost);
        if away > self.params.store_silence {
            self.lapsing = true;
            self.log(
                "store_back",
                "store",
                format!("away_ms={}", away.as_millis()),
            );
        }
    }

    fn take_report(&mut self, now: Instant, report: &Report) {
        let Some(change) = self.peers.take(now, report) else {
            return;
        };
        self.subtract_loads(&change.before);
        for (hash, load) in &change.after {
            if let Some(server) = self.roster.by_hash_mut(*hash) {
                server.others.add(*load);
            }
        }
        for placement in &report.placed {
            if let Some(server) = self.roster.by_hash_mut(placement.server) {
                server.note_part(placement.part);
            }
        }
        for (hash, tokens) in change.reads {
            if let Some(server) = self.roster.by_hash_mut(hash) {
                server.others_read(now, tokens);
            }
        }
        #[allow(clippy::cast_precision_loss)]
        for (workspace, asked, admitted) in change.tokens {
            let workspace = WorkspaceHash(workspace);
            self.quota.ask(now, workspace, asked as f64);
            self.quota.admit(now, workspace, admitted as f64);
        }
    }

    fn subtract_loads(&mut self, loads: &BTreeMap<u32, Load>) {
        for (hash, load) in loads {
            if let Some(server) = self.roster.by_hash_mut(*hash) {
                server.others.subtract(*load);
            }
        }
    }

    fn take_members(&mut self, names: &[String]) {
        let mut members: Vec<u32> = names.iter().map(|n| name_hash(n)).collect();
        members.push(self.me.0);
        members.sort_unstable();
        members.dedup();
        if members != self.members {
            let detail = format!("routers={} were={}", members.len(), self.members.len());
            self.members = members;
            self.log("members_changed", "routers", detail);
        }
    }

    fn late(&mut self, now: Instant, late: Duration) {
        if !self.pressure.observe(now, late) {
            return;
        }
        let event = if self.pressure.sheds() {
            "connections_shed"
        } else {
            "connections_taken"
        };
        let late = self.pressure.late().as_millis();
        let detail = format!("late_ms={late} requests={}", self.requests.len());
        self.log(event, "router", detail);
    }

    fn tick(&mut self, now: Instant) {
        let zone = name_hash(&self.params.zone);
        let near = self.params.report_life;
        let far = near.max(self.report_period() * self.far_periods() * LIFE_PERIODS);
        let life = |of: u32| if of == zone { near } else { far };
        for loads in self.peers.expire(now, life) {
            self.subtract_loads(&loads);
        }
        for id in self.roster.expire(now, self.params.lapse_grace) {
            self.log("server_gone", &id, "lapsed=true".to_owned());
        }
    }
}
