//! Rollouts of a version by several routers, with a stand-in store and servers.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use hibiscusrail_fleet::event::RequestKey;
use hibiscusrail_fleet::freshness::{Confirmation, Source};
use hibiscusrail_fleet::objects::{OperatorConfig, Repeat, Revision, Servers};
use hibiscusrail_fleet::peers::{Report, Scope};
use hibiscusrail_fleet::rollout::order::{Bounds, Order, Proposal, State, Status};
use hibiscusrail_fleet::{Decision, Event, Fleet, Outcome};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::support::{self, ENGINES, PLAIN, backend};

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(10);
/// Time limit of the orders.
const LIMIT: Duration = Duration::from_secs(12);
/// Time of day at the start.
const EPOCH: u64 = 1_700_000_000_000;
/// Version of the order's row.
const ORDER: u64 = 50;
/// Bounds of the deployment.
const BOUNDS: Bounds = Bounds {
    share: 0.1,
    slack: 50.0,
    rollback: Duration::from_secs(5),
    max_skew: Duration::from_secs(6),
};

/// A response: how long it takes and whether it fails.
type Behaviour = Box<dyn Fn(&Call, &mut SmallRng) -> (Duration, bool)>;

/// A request at a server.
struct Call {
    /// Time since the order.
    at: Duration,
    is_new: bool,
    zone: String,
    /// Requests in progress at the server.
    running: usize,
    /// Whether the request is of the rarer of two routes.
    rare_route: bool,
}

/// How the store answers.
#[derive(Clone, Copy, PartialEq)]
enum Link {
    Up,
    Away,
    /// Calls are executed, and their answers are lost.
    AnswersLost,
    /// Each call takes 2 s.
    Slow,
}

/// Time that a call of a slow store takes.
const SLOW_CALL: Duration = Duration::from_secs(2);

/// Calls of a proposal at a slow store: the read of the rows, and the write after it.
struct SlowCall {
    due: Instant,
    proposal: Proposal,
    /// The row's version when it was read; none while it is being read.
    read: Option<u64>,
}

struct Router {
    fleet: Fleet,
    name: String,
    link: Link,
    /// Whether reports reach it and leave it.
    is_cut: bool,
    slow_call: Option<SlowCall>,
}

struct Play {
    start: Instant,
    now: Instant,
    rng: SmallRng,
    routers: Vec<Router>,
    /// Responses that are due, with the router and the server.
    pending: Vec<(Instant, usize, RequestKey, String, bool, bool)>,
    running: BTreeMap<String, usize>,
    servers: Servers,
    config: OperatorConfig,
    revision: u64,
    behaviour: Behaviour,
    /// How a failed request ends.
    failure: Outcome,
    next_key: u64,
    /// Probability of a request at each router in each step.
    rate: f64,
    loss: f64,
    sent: u64,
    sent_new: u64,
    bad: u64,
    /// Requests sent later than the rollback time after the 50th bad response.
    late: u64,
    fiftieth: Option<Instant>,
    row: Option<(u64, Status)>,
    /// States that were written, by order.
    written: Vec<(u64, State)>,
    has_order: bool,
    datagrams: VecDeque<Report>,
}

fn good(_: &Call, rng: &mut SmallRng) -> (Duration, bool) {
    (Duration::from_millis(rng.random_range(8..25)), false)
}

fn order(version: u64, to: &str) -> Order {
    Order {
        version,
        to: Some(to.to_owned()),
        duration: LIMIT,
    }
}

fn listed(versions: &[(&str, u16)]) -> Servers {
    let mut servers = Servers::new();
    for (version, count) in versions {
        for number in 0..*count {
            let mut server = backend(PLAIN, 200 + number);
            (*version).clone_into(&mut server.version);
            server.slots = 24;
            server.zone = ["a", "b"][usize::from(number) % 2].to_owned();
            server.born = if *version == "v1" { 1 } else { 1_000 };
            servers.insert(format!("{version}-{number}"), server);
        }
    }
    servers
}

impl Play {
    /// Starts routers that know version 1, and lets them run for some time.
    fn new(routers: usize, behaviour: Behaviour) -> Self {
        let start = Instant::now();
        let mut play = Self {
            start: start + Duration::from_secs(10),
            now: start,
            rng: SmallRng::seed_from_u64(7),
            routers: Vec::new(),
            pending: Vec::new(),
            running: BTreeMap::new(),
            servers: listed(&[("v1", 4)]),
            config: support::config(&[]),
            revision: 10,
            behaviour,
            failure: Outcome::Failed,
            next_key: 0,
            rate: 0.4,
            loss: 0.0,
            sent: 0,
            sent_new: 0,
            bad: 0,
            late: 0,
            fiftieth: None,
            row: None,
            written: Vec::new(),
            has_order: false,
            datagrams: VecDeque::new(),
        };
        for number in 0..routers {
            let router = play.start_router(&format!("r{number}"), 1);
            play.routers.push(router);
        }
        play.run(Duration::from_secs(10));
        play
    }

    fn start_router(&self, name: &str, incarnation: u64) -> Router {
        let mut params = support::params();
        params.rollout = Some(BOUNDS);
        params.routers = 4;
        let mut fleet = Fleet::new(name, incarnation, params, self.now);
        let names = (0..4).map(|n| format!("r{n}")).collect();
        fleet.handle(self.now, Event::Members(names));
        let mut router = Router {
            fleet,
            name: name.to_owned(),
            link: Link::Up,
            is_cut: false,
            slow_call: None,
        };
        self.read_tables(&mut router);
        router
    }

    /// Lets a router read the operator configuration and the servers.
    fn read_tables(&self, router: &mut Router) {
        if !matches!(router.link, Link::Up | Link::Slow) {
            return;
        }
        let revision = Revision(self.revision);
        let confirmation = Confirmation {
            revision,
            complete: revision,
            at: self.now,
            source: Source::Store,
        };
        let fleet = &mut router.fleet;
        fleet.handle(self.now, Event::ConfigConfirmed(confirmation));
        fleet.handle(self.now, Event::Config(revision, self.config.clone()));
        fleet.handle(self.now, Event::ServersConfirmed(confirmation));
        fleet.handle(self.now, Event::Servers(revision, self.servers.clone()));
    }

    /// Writes the order to roll out version 2, whose servers start.
    fn order(&mut self) {
        self.write_order(ORDER, "v2");
        self.servers = listed(&[("v1", 4), ("v2", 4)]);
        self.start = self.now;
    }

    /// Starts the servers of version 2 in these zones.
    fn set_new_zones(&mut self, zones: &[&str]) {
        let new = self.servers.iter_mut().filter(|(_, s)| s.version == "v2");
        for ((_, server), zone) in new.zip(zones.iter().cycle()) {
            (*zone).clone_into(&mut server.zone);
        }
    }

    fn write_order(&mut self, version: u64, to: &str) {
        self.has_order = true;
        self.revision = version;
        let orders = &mut self.config.rollouts;
        orders.insert(PLAIN.to_owned(), order(version, to));
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.end_requests();
            self.send_requests();
            let elapsed = self.now.saturating_duration_since(self.start).as_millis();
            if elapsed.is_multiple_of(100) {
                self.exchange();
            }
        }
    }

    fn send_requests(&mut self) {
        for index in 0..self.routers.len() {
            if !self.rng.random_bool(self.rate) {
                continue;
            }
            self.next_key += 1;
            let submission = support::plain(self.next_key, Repeat::Once, self.now);
            let fleet = &mut self.routers[index].fleet;
            let decisions = fleet.handle(self.now, Event::Submit(submission));
            self.take(index, &decisions);
        }
    }

    /// Passes requests on to servers.
    fn take(&mut self, index: usize, decisions: &[Decision]) {
        for decision in decisions {
            let Decision::Send {
                request,
                id,
                version,
                ..
            } = decision
            else {
                continue;
            };
            let is_new = version == "v2";
            let running = self.running.entry(id.clone()).or_default();
            *running += 1;
            let call = Call {
                at: self.now.saturating_duration_since(self.start),
                is_new,
                zone: self.servers[id].zone.clone(),
                running: *running,
                rare_route: request.0 % 5 == 0,
            };
            let (took, failed) = (self.behaviour)(&call, &mut self.rng);
            let due = (self.now + took, index, *request, id.clone(), failed, is_new);
            self.pending.push(due);
            if self.has_order && call.at <= LIMIT {
                self.sent += 1;
                self.sent_new += u64::from(is_new);
            }
            let is_late = |at: Instant| self.now > at + BOUNDS.rollback;
            self.late += u64::from(is_new && self.fiftieth.is_some_and(is_late));
        }
    }

    fn end_requests(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.pending.extract_if(.., |p| p.0 <= now).collect();
        for (_, index, key, id, failed, is_new) in due {
            if let Some(running) = self.running.get_mut(&id) {
                *running -= 1;
            }
            if is_new && failed {
                self.bad += 1;
                if self.bad == 50 {
                    self.fiftieth = Some(now);
                }
            }
            let Some(router) = self.routers.get_mut(index) else {
                continue;
            };
            let outcome = if failed {
                self.failure
            } else {
                router.fleet.handle(now, Event::FirstByte(key));
                Outcome::Answered
            };
            let decisions = router.fleet.handle(now, Event::Ended(key, outcome));
            self.take(index, &decisions);
        }
    }

    /// Exchanges reports, reads the tables and calls the store.
    fn exchange(&mut self) {
        let mut reports = std::mem::take(&mut self.datagrams);
        for router in self.routers.iter_mut().filter(|r| !r.is_cut) {
            reports.push_back(router.fleet.report(self.now, Scope::All));
        }
        for mut router in std::mem::take(&mut self.routers) {
            for report in &reports {
                let is_own = router.fleet.report(self.now, Scope::All).sender == report.sender;
                if !is_own && !router.is_cut && !self.rng.random_bool(self.loss) {
                    router.fleet.handle(self.now, Event::Report(report.clone()));
                }
            }
            self.read_tables(&mut router);
            router.fleet.handle(self.now, Event::Tick);
            self.call_store(&mut router);
            self.routers.push(router);
        }
    }

    fn epoch(&self) -> u64 {
        let elapsed = self.now.saturating_duration_since(self.start);
        EPOCH + u64::try_from(elapsed.as_millis()).unwrap_or(0)
    }

    fn call_store(&mut self, router: &mut Router) {
        if router.link == Link::Slow || router.slow_call.is_some() {
            return self.call_slow_store(router);
        }
        let epoch = self.epoch();
        for proposal in router.fleet.rollout_proposals(self.now, epoch) {
            if router.link == Link::Away {
                continue;
            }
            let status = self.execute(&proposal);
            if router.link == Link::AnswersLost {
                continue;
            }
            let event = Event::RolloutStatus {
                epoch_ms: epoch,
                service: proposal.service,
                status,
            };
            router.fleet.handle(self.now, event);
        }
    }

    /// Makes one call at a time, as the daemon does.
    fn call_slow_store(&mut self, router: &mut Router) {
        let epoch = self.epoch();
        if let Some(mut call) = router.slow_call.take_if(|c| c.due <= self.now) {
            let (row, order) = (self.row.as_ref(), call.proposal.order);
            let is_final = row.is_some_and(|(_, s)| s.order == order && s.state.is_final());
            let is_done = is_final || call.read.is_some() || {
                let read = row.map(|(_, status)| status);
                let fleet = &mut router.fleet;
                call.proposal.status = fleet.confirm_rollout(self.now, &call.proposal, read);
                call.proposal.status.is_none()
            };
            let ver = row.map_or(0, |(ver, _)| *ver);
            if call.read == Some(ver) {
                self.execute(&call.proposal);
            }
            if is_done {
                let event = Event::RolloutStatus {
                    epoch_ms: epoch,
                    service: call.proposal.service,
                    status: self.row.clone().map(|(_, s)| s),
                };
                router.fleet.handle(self.now, event);
            } else {
                call.read = Some(ver);
                call.due = self.now + SLOW_CALL;
                router.slow_call = Some(call);
            }
        }
        if router.slow_call.is_none() {
            let proposals = router.fleet.rollout_proposals(self.now, epoch);
            router.slow_call = proposals.into_iter().next().map(|proposal| SlowCall {
                due: self.now + SLOW_CALL,
                proposal,
                read: None,
            });
        }
    }

    /// Executes the calls of a proposal as the daemon makes them; returns the row after it.
    fn execute(&mut self, proposal: &Proposal) -> Option<Status> {
        let row = self.row.clone();
        let current = self.config.rollouts.get(&proposal.service);
        let is_current = current.is_some_and(|o| o.version == proposal.order);
        let is_final = |s: &Status| s.order == proposal.order && s.state.is_final();
        let kept = row.as_ref().is_some_and(|(_, s)| is_final(s));
        if let Some(status) = proposal.status.as_ref().filter(|_| is_current && !kept) {
            let ver = row.map_or(1, |(ver, _)| ver + 1);
            self.row = Some((ver, status.clone()));
            self.written.push((status.order, status.state));
        }
        self.row.clone().map(|(_, s)| s)
    }

    fn state(&self) -> Option<State> {
        self.row.as_ref().map(|(_, s)| s.state)
    }

    fn reason(&self) -> &str {
        self.row.as_ref().map_or("", |(_, s)| s.reason.as_str())
    }

    #[allow(clippy::cast_precision_loss)]
    fn assert_exposure(&self) {
        let bound = self.sent as f64 * BOUNDS.share + BOUNDS.slack;
        let new = self.sent_new as f64;
        assert!(new <= bound, "{new} of {}, bound {bound}", self.sent);
        assert_eq!(self.late, 0, "requests after the rollback time");
    }

    /// Asserts that no order's state changed after a final one.
    fn assert_final_states_kept(&self) {
        let mut last: BTreeMap<u64, State> = BTreeMap::new();
        for (order, state) in &self.written {
            let before = last.insert(*order, *state);
            assert!(before.is_none_or(|b| !b.is_final() || b == *state));
        }
    }

    /// Runs a rollout to its end and for some time after it.
    fn run_order(&mut self) {
        self.order();
        self.run(LIMIT + Duration::from_secs(3));
        self.assert_exposure();
        self.assert_final_states_kept();
    }
}

fn bad_if(is_bad: impl Fn(&Call) -> f64 + 'static) -> Behaviour {
    Box::new(move |call, rng| {
        let (took, _) = good(call, rng);
        let rate = if call.is_new { is_bad(call) } else { 0.0 };
        (took, rng.random_bool(rate))
    })
}

// Guards against a good version that is not in service by the time limit.
#[test]
fn rollout_good_version_completes_in_time() {
    let mut play = Play::new(4, Box::new(good));
    play.order();
    play.run(LIMIT);
    assert_eq!(play.state(), Some(State::Completed), "{}", play.reason());
    play.assert_exposure();
    for router in &play.routers {
        assert_eq!(router.fleet.rollouts().state(PLAIN), Some(State::Completed));
    }
    let before = play.sent_new;
    play.run(Duration::from_secs(1));
    assert_eq!(play.pending.iter().filter(|p| !p.5).count(), 0);
    assert!(play.sent_new >= before);
}

// Guards against an order that loses the first 3 s of its time, in which a version that no order
// names gets no requests.
#[test]
fn ordered_version_gets_requests_at_once() {
    let mut play = Play::new(4, Box::new(good));
    play.order();
    play.run(Duration::from_secs(1));
    assert!(play.sent_new > 0);
    play.assert_exposure();
}

// Guards against streams of a new version that a router without its servers takes up as those of the
// old one: those that may be taken up wait also with an order.
#[test]
fn ordered_version_gets_resumable_streams_later() {
    let start = Instant::now();
    let mut params = support::params();
    params.rollout = Some(BOUNDS);
    let mut fleet = Fleet::new("r", 1, params, start);
    fleet.handle(start, Event::Members(vec!["r".to_owned()]));
    let mut config = support::config(&[]);
    let mut servers = Servers::from([("old".to_owned(), backend(ENGINES, 0))]);
    let confirm = |fleet: &mut Fleet, now, revision| {
        let confirmation = Confirmation {
            revision,
            complete: revision,
            at: now,
            source: Source::Store,
        };
        fleet.handle(now, Event::ConfigConfirmed(confirmation));
    };
    fleet.handle(start, Event::Config(Revision(1), config.clone()));
    confirm(&mut fleet, start, Revision(1));
    fleet.handle(start, Event::Servers(Revision(1), servers.clone()));
    let mut new = backend(ENGINES, 1);
    "v2".clone_into(&mut new.version);
    servers.insert("new".to_owned(), new);
    config
        .rollouts
        .insert(ENGINES.to_owned(), order(ORDER, "v2"));
    fleet.handle(start, Event::Config(Revision(ORDER), config));
    confirm(&mut fleet, start, Revision(ORDER));
    fleet.handle(start, Event::Servers(Revision(ORDER), servers));
    let mut to_new = [0, 0];
    for step in 0..60_u64 {
        let now = start + Duration::from_millis(100 * step);
        let prompt = support::prompt(step, 100);
        let submission = support::submission(step, 1, prompt, now);
        let decisions = fleet.handle(now, Event::Submit(submission));
        let is_new = support::sent_to(&decisions) == Some("new");
        to_new[usize::from(step >= 30)] += u32::from(is_new);
        fleet.handle(now, Event::FirstByte(RequestKey(step)));
        fleet.handle(now, Event::Ended(RequestKey(step), Outcome::Answered));
    }
    assert!(to_new[0] == 0 && to_new[1] > 0, "{to_new:?}");
}

// Guards against EXPOSURE: a bad version that is found late or never.
#[test]
fn rollout_bad_version_is_reverted() {
    let cases: [(&str, Behaviour); 5] = [
        ("at once", bad_if(|_| 0.3)),
        (
            "later",
            bad_if(|c| {
                if c.at > Duration::from_secs(7) {
                    0.3
                } else {
                    0.0
                }
            }),
        ),
        (
            "under load",
            bad_if(|c| if c.running > 1 { 0.5 } else { 0.0 }),
        ),
        (
            "on one route",
            bad_if(|c| if c.rare_route { 0.5 } else { 0.0 }),
        ),
        (
            "slow",
            Box::new(|call: &Call, rng: &mut SmallRng| {
                let (took, _) = good(call, rng);
                (took * if call.is_new { 6 } else { 1 }, false)
            }),
        ),
    ];
    for (name, behaviour) in cases {
        let mut play = Play::new(4, behaviour);
        if name == "under load" {
            play.rate = 0.9;
        }
        play.run_order();
        assert_eq!(play.state(), Some(State::Reverted), "{name}");
        assert!(
            ["failures", "slow", "peer"].contains(&play.reason()),
            "{name}"
        );
    }
}

// Guards against a disruption of the old version or of a zone taken for faults of the new one.
#[test]
fn rollout_disrupted_with_old_version_completes() {
    for zone_only in [false, true] {
        let behaviour = move |call: &Call, rng: &mut SmallRng| {
            let (took, _) = good(call, rng);
            let in_time = (5_000..7_000).contains(&call.at.as_millis());
            let disrupted = in_time && (!zone_only || call.zone == "a");
            (took, disrupted && rng.random_bool(0.4))
        };
        let mut play = Play::new(4, Box::new(behaviour));
        play.run_order();
        assert_eq!(play.state(), Some(State::Completed), "{}", play.reason());
    }
}

// Guards against EXPOSURE while routers do not learn what the others sent.
#[test]
fn exposure_holds_without_reports() {
    for loss in [0.5, 1.0] {
        let mut play = Play::new(4, bad_if(|_| 0.02));
        play.loss = loss;
        play.run_order();
        assert!(play.state().is_some_and(State::is_final));
    }
}

// Guards against EXPOSURE in a zone whose routers reach neither the store nor the others.
#[test]
fn exposure_holds_in_cut_zone() {
    let mut play = Play::new(4, bad_if(|_| 0.3));
    play.order();
    play.run(Duration::from_millis(500));
    for router in &mut play.routers[..2] {
        router.is_cut = true;
        router.link = Link::Away;
    }
    play.run(LIMIT);
    assert_eq!(play.state(), Some(State::Reverted));
    play.assert_exposure();
}

// Guards against a fresh slack for each restarted process.
#[test]
fn exposure_holds_when_all_routers_restart_repeatedly() {
    let mut play = Play::new(4, bad_if(|_| 0.02));
    play.order();
    for incarnation in 2..30 {
        play.run(Duration::from_millis(400));
        play.pending.clear();
        play.running.clear();
        let names: Vec<String> = play.routers.iter().map(|r| r.name.clone()).collect();
        let routers = names.iter().map(|n| play.start_router(n, incarnation));
        play.routers = routers.collect();
    }
    play.assert_exposure();
    #[allow(clippy::cast_precision_loss)]
    let share = play.sent as f64 * BOUNDS.share;
    assert!(play.sent_new as f64 <= share + 25.0, "{}", play.sent_new);
}

// Guards against a router that sends to a new version whose order it does not know.
#[test]
fn exposure_holds_at_router_that_learns_late() {
    let mut play = Play::new(1, bad_if(|_| 0.5));
    play.order();
    // It gets the servers from another router, and not the order.
    let revision = Revision(play.revision);
    let servers = play.servers.clone();
    play.routers[0].link = Link::Away;
    play.routers[0]
        .fleet
        .handle(play.now, Event::Servers(revision, servers));
    play.run(Duration::from_secs(6));
    assert_eq!(play.sent_new, 0);
    play.routers[0].link = Link::Up;
    play.run(Duration::from_secs(6));
    play.assert_exposure();
}

// Guards against a state that changes after the final one, whatever the store's answers do.
#[test]
fn final_state_is_kept_while_store_fails() {
    for link in [Link::Away, Link::AnswersLost] {
        let mut play = Play::new(4, bad_if(|_| 0.3));
        play.order();
        play.run(Duration::from_millis(200));
        play.routers.iter_mut().for_each(|r| r.link = link);
        play.run(LIMIT);
        play.assert_exposure();
        if link == Link::Away {
            assert_ne!(play.state(), Some(State::Reverted));
        }
        play.routers.iter_mut().for_each(|r| r.link = Link::Up);
        play.run(Duration::from_secs(4));
        assert_eq!(play.state(), Some(State::Reverted));
        play.assert_final_states_kept();
    }
}

// Guards against EXPOSURE and against two final states while each call to the store takes 2 s.
#[test]
fn final_state_is_one_at_slow_store() {
    for (rate, end) in [(0.3, State::Reverted), (0.0, State::Completed)] {
        let mut play = Play::new(4, bad_if(move |_| rate));
        play.order();
        play.routers.iter_mut().for_each(|r| r.link = Link::Slow);
        play.run(LIMIT + Duration::from_secs(6));
        play.assert_exposure();
        play.assert_final_states_kept();
        assert_eq!(play.state(), Some(end), "{}", play.reason());
        for router in &play.routers {
            assert_eq!(router.fleet.rollouts().state(PLAIN), Some(end));
        }
    }
}

// Guards against a router that writes a version into service which it stopped after it had begun
// the calls for that: at a slow store they take longer than bad responses take to be found.
#[test]
fn version_stopped_during_slow_calls_is_not_completed() {
    let decided = Duration::from_millis(11_400);
    let late = decided + Duration::from_millis(200);
    let mut play = Play::new(1, bad_if(move |c| f64::from(u8::from(c.at > late))));
    play.rate = 0.9;
    play.order();
    play.run(Duration::from_secs(9));
    play.routers[0].link = Link::Slow;
    play.run(LIMIT);
    play.assert_exposure();
    assert_eq!(play.state(), Some(State::Reverted), "{}", play.reason());
}

// Guards against a new version whose servers refuse connections or end them, and which goes into
// service since other servers take the requests.
#[test]
fn rollout_of_refusing_version_is_reverted() {
    for failure in [Outcome::Unreachable, Outcome::Broken] {
        for zones in [&["a", "b"][..], &["b"]] {
            let mut play = Play::new(4, bad_if(|_| 0.5));
            play.failure = failure;
            play.order();
            play.set_new_zones(zones);
            play.run(LIMIT + Duration::from_secs(3));
            play.assert_exposure();
            assert_eq!(
                play.state(),
                Some(State::Reverted),
                "{failure:?} {zones:?} {}",
                play.reason()
            );
            let reason = play.reason();
            assert!(["failures", "peer"].contains(&reason), "{reason}");
        }
    }
}

// Guards against a partition between zones that is taken for a fault of the new version.
#[test]
fn rollout_during_cut_between_zones_completes() {
    for failure in [Outcome::Unreachable, Outcome::Broken] {
        for zones in [&["a", "b"][..], &["b"]] {
            let behaviour = |call: &Call, rng: &mut SmallRng| {
                let (took, _) = good(call, rng);
                let is_cut = (5_000..8_000).contains(&call.at.as_millis());
                (took, is_cut && call.zone == "b")
            };
            let mut play = Play::new(4, Box::new(behaviour));
            play.failure = failure;
            play.order();
            play.set_new_zones(zones);
            play.run(LIMIT + Duration::from_secs(3));
            play.assert_exposure();
            assert_eq!(play.state(), Some(State::Completed), "{}", play.reason());
        }
    }
}

// Guards against a final state that is lost with the store's newest rows.
#[test]
fn final_state_is_written_again_after_restore() {
    let mut play = Play::new(4, bad_if(|_| 0.3));
    play.run_order();
    assert_eq!(play.state(), Some(State::Reverted));
    play.row = None;
    play.revision = Revision::new(1, ORDER + 5).0;
    play.run(Duration::from_secs(4));
    assert_eq!(play.state(), Some(State::Reverted));
    let before = play.sent_new;
    play.run(Duration::from_secs(2));
    assert_eq!(play.sent_new, before);
}

// Guards against a decider that was paused before the final word and writes another one.
#[test]
fn final_state_is_kept_by_paused_decider() {
    let mut play = Play::new(4, Box::new(good));
    play.order();
    play.run(Duration::from_secs(8));
    let mut paused = play.routers.remove(0);
    play.pending.retain(|p| p.1 != 0);
    play.pending.iter_mut().for_each(|p| p.1 -= 1);
    play.run(LIMIT);
    let state = play.state();
    assert!(state.is_some_and(State::is_final));
    // It has no evidence of its own, and would revert.
    paused.fleet.handle(play.now, Event::Tick);
    for _ in 0..40 {
        play.now += Duration::from_millis(100);
        play.call_store(&mut paused);
    }
    assert_eq!(play.state(), state);
    assert_eq!(paused.fleet.rollouts().state(PLAIN), state);
    play.assert_final_states_kept();
}

// Guards against two routers that both believe they decide, and write different final states.
#[test]
fn final_state_of_two_deciders_is_one() {
    let mut play = Play::new(2, bad_if(|_| 0.04));
    play.loss = 1.0;
    play.run_order();
    play.loss = 0.0;
    play.run(Duration::from_secs(2));
    let state = play.state();
    for router in &play.routers {
        assert_eq!(router.fleet.rollouts().state(PLAIN), state);
    }
}

// Guards against requests to a version whose unfinished rollout was replaced by another.
#[test]
fn replaced_order_bars_its_version() {
    let mut play = Play::new(4, Box::new(good));
    play.order();
    play.run(Duration::from_secs(5));
    play.write_order(ORDER + 10, "v3");
    play.servers = listed(&[("v1", 4), ("v2", 4), ("v3", 4)]);
    play.run(Duration::from_millis(300));
    let before = play.sent_new;
    play.run(Duration::from_secs(5));
    assert_eq!(play.sent_new, before);
    let row = play.row.as_ref().map(|(_, s)| (s.order, s.to.as_str()));
    assert_eq!(row, Some((ORDER + 10, "v3")));
}

// Guards against an order without servers or traffic that never ends.
#[test]
fn order_without_evidence_ends_by_its_time() {
    for (rate, reason) in [(0.4, "no_server"), (0.0, "no_evidence")] {
        let mut play = Play::new(4, Box::new(good));
        play.rate = rate;
        play.order();
        if reason == "no_server" {
            play.servers = listed(&[("v1", 4)]);
        }
        play.run(LIMIT);
        assert_eq!(play.state(), Some(State::Reverted));
        assert_eq!(play.reason(), reason);
    }
}

// Guards against an order that stops the service, as its version is the one in service.
#[test]
fn order_for_version_in_service_completes() {
    let mut play = Play::new(4, Box::new(good));
    play.write_order(ORDER, "v1");
    play.run(Duration::from_secs(2));
    assert_eq!(play.state(), Some(State::Completed));
    assert!(play.sent > 0);
}

// Guards against an unreadable order that sets a new version free.
#[test]
fn order_unreadable_holds_new_version() {
    let mut play = Play::new(4, bad_if(|_| 0.5));
    play.order();
    let orders = &mut play.config.rollouts;
    orders.get_mut(PLAIN).expect("there is one").to = None;
    play.run(Duration::from_secs(6));
    assert_eq!(play.sent_new, 0);
    assert!(play.row.is_none() && play.sent > 0);
}

// Guards against changes in deployments without the bounds.
#[test]
fn order_without_bounds_is_ignored() {
    let now = Instant::now();
    let mut fleet = support::router("r", 0, now);
    let mut config = support::config(&[]);
    config.rollouts.insert(PLAIN.to_owned(), order(ORDER, "v2"));
    fleet.handle(now, Event::Config(Revision(2), config));
    assert_eq!(fleet.rollouts().state(PLAIN), None);
    assert!(fleet.rollout_proposals(now, EPOCH).is_empty());
}
