//! Routers that leave reading the configuration to others of their zone, and what keeps it from them.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::freshness::{Confirmation, Source};
use hibiscusrail_fleet::objects::{OperatorConfig, Revision};
use hibiscusrail_fleet::peers::{Report, Scope};
use hibiscusrail_fleet::placement::{name_hash, weight};
use hibiscusrail_fleet::{Event, Fleet};

use super::support;

/// Time within which a change of the configuration is applied.
const BOUND: Duration = Duration::from_secs(2);
/// Step of the simulation; the daemon looks as often whether it should read.
const STEP: Duration = Duration::from_millis(100);
/// Steps after the start, so that the readers are settled.
const SETTLED_STEPS: u32 = 50;
/// Longest time for which the store holds a call without news.
const LONG_POLL: Duration = Duration::from_millis(800);

/// What a router can't do.
#[derive(Clone, Copy, Default)]
struct Faults {
    /// The store does not answer its reads of the configuration.
    config: bool,
    /// The store does not answer its reads of the servers.
    servers: bool,
    /// Its reports are lost.
    reports: bool,
    /// Nobody gets newer state from it.
    fetches: bool,
}

struct Node {
    name: String,
    fleet: Fleet,
    faults: Faults,
    /// When its call for the configuration began that the store holds.
    polls_since: Option<Instant>,
}

/// Routers of one zone and their store, under a virtual clock.
struct Zone {
    now: Instant,
    nodes: Vec<Node>,
    revision: u64,
    /// Revision of the store, which changes of other tables raise too.
    complete: u64,
    config: OperatorConfig,
    /// Reads of the configuration by routers that do not read for their zone.
    asked: u32,
}

impl Zone {
    /// Starts routers of which all know each other by the table of routers.
    fn start(size: usize) -> Self {
        let now = Instant::now() + Duration::from_secs(60);
        let names: Vec<String> = (0..size).map(|n| format!("r{n}")).collect();
        let nodes = names.iter().map(|name| {
            let mut fleet = support::router(name, 1, now);
            fleet.handle(now, Event::Members(names.clone()));
            Node {
                name: name.clone(),
                fleet,
                faults: Faults::default(),
                polls_since: None,
            }
        });
        let mut zone = Self {
            now,
            nodes: nodes.collect(),
            revision: 1,
            complete: 1,
            config: support::config(&[]),
            asked: 0,
        };
        // The routers that read come first.
        let rank = |n: &Node| weight(u64::from(name_hash("a")), name_hash(&n.name));
        zone.nodes.sort_by_key(|n| std::cmp::Reverse(rank(n)));
        zone.run(SETTLED_STEPS);
        zone
    }

    fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.now += STEP;
            for at in 0..self.nodes.len() {
                self.read(at);
            }
            for at in 0..self.nodes.len() {
                let report = self.nodes[at].fleet.report(self.now, Scope::Zone);
                if !self.nodes[at].faults.reports {
                    self.deliver(at, &report);
                }
            }
        }
    }

    /// Reads the store as the daemon does.
    fn read(&mut self, at: usize) {
        let (now, revision) = (self.now, Revision(self.revision));
        let node = &mut self.nodes[at];
        let is_reader = node.fleet.reads_store(now);
        let confirmation = |revision, complete| Confirmation {
            revision,
            complete,
            at: now,
            source: Source::Store,
        };
        if is_reader {
            node.fleet.handle(now, Event::StoreAnswered);
            if !node.faults.servers {
                let event = Event::ServersConfirmed(confirmation(Revision(1), Revision(1)));
                node.fleet.handle(now, event);
            }
        }
        if node.faults.config || !(is_reader || node.fleet.config_is_due(now)) {
            node.polls_since = None;
            return;
        }
        let has_news = node.fleet.config_revision() < revision;
        let began = *node.polls_since.get_or_insert(now);
        if is_reader && !has_news && now < began + LONG_POLL {
            return;
        }
        node.polls_since = None;
        if !is_reader {
            self.asked += 1;
        }
        let event = Event::ConfigConfirmed(confirmation(revision, Revision(self.complete)));
        node.fleet.handle(now, event);
        let event = Event::Config(revision, self.config.clone());
        node.fleet.handle(now, event);
    }

    /// Delivers a report to the other routers, which fetch what is newer from its sender.
    fn deliver(&mut self, from: usize, report: &Report) {
        let now = self.now;
        let source = &self.nodes[from];
        let (config, revision) = (
            source.fleet.config().clone(),
            source.fleet.config_revision(),
        );
        let age = source.fleet.config_freshness().age(now);
        let fails = source.faults.fetches;
        for (at, node) in self.nodes.iter_mut().enumerate() {
            if at == from {
                continue;
            }
            let fleet = &mut node.fleet;
            fleet.handle(now, Event::Report(report.clone()));
            let fetches = !fleet.reads_store(now) && fleet.is_source(report.sender);
            if fetches && !fails && fleet.config_revision() < revision {
                let confirmed = age.map(|age| Confirmation {
                    revision,
                    complete: revision,
                    at: now - age,
                    source: Source::Router(report.sender),
                });
                if let Some(confirmation) = confirmed {
                    fleet.handle(now, Event::ConfigConfirmed(confirmation));
                }
                fleet.handle(now, Event::Config(revision, config.clone()));
            }
        }
    }

    /// Changes the configuration at the store.
    fn change(&mut self, change: impl FnOnce(&mut OperatorConfig)) {
        change(&mut self.config);
        if let Some(deployment) = &mut self.config.deployment {
            deployment.version += 1;
        }
        self.complete += 1;
        self.revision = self.complete;
    }

    /// Checks that all routers apply a change within the bound, whatever part of it was used up.
    fn assert_applied(&mut self, case: &str) {
        self.run(u32::try_from(BOUND.as_millis() / STEP.as_millis()).expect("a few steps"));
        for node in &self.nodes {
            let revision = node.fleet.config_revision();
            assert_eq!(revision, Revision(self.revision), "{case}: {}", node.name);
            assert_eq!(node.fleet.config(), &self.config, "{case}: {}", node.name);
        }
    }

    fn readers(&self) -> Vec<bool> {
        let reads = |n: &Node| n.fleet.reads_store(self.now);
        self.nodes.iter().map(reads).collect()
    }

    fn last(&mut self) -> &mut Node {
        self.nodes.last_mut().expect("there are routers")
    }
}

fn bump(config: &mut OperatorConfig) {
    if let Some(deployment) = &mut config.deployment {
        deployment.limits.body_bytes += 1;
    }
}

#[test]
fn readers_are_two_and_others_never_ask() {
    let mut zone = Zone::start(9);
    zone.asked = 0;
    zone.run(600);
    let mut two = vec![false; 9];
    two[..2].fill(true);
    assert_eq!(zone.readers(), two);
    assert_eq!(zone.asked, 0);
}

/// Guards against a router that leaves reading to routers which its table does not list, and from
/// which it fetches nothing (CONFIG, review case 2).
#[test]
fn readers_unlisted_are_not_relied_on() {
    let mut zone = Zone::start(3);
    let own = zone.last().name.clone();
    let now = zone.now;
    zone.last().fleet.handle(now, Event::Members(vec![own]));
    zone.run(2);
    assert_eq!(zone.readers(), [true; 3]);
    zone.change(bump);
    zone.assert_applied("unlisted");
}

/// Guards against readers whose reports arrive and that can't be asked, or answer with nothing newer.
#[test]
fn readers_that_give_no_state_are_not_waited_for() {
    for broken in 1..=2 {
        let mut zone = Zone::start(3);
        for node in &mut zone.nodes[..broken] {
            node.faults.fetches = true;
        }
        zone.change(bump);
        zone.assert_applied("no state");
    }
}

/// Guards against readers whose reports end right after, or right before a change.
#[test]
fn readers_that_fall_silent_are_replaced() {
    for steps in 0..20 {
        let mut zone = Zone::start(3);
        for node in &mut zone.nodes[..2] {
            node.faults.reports = true;
            node.faults.fetches = true;
        }
        zone.run(steps);
        zone.change(bump);
        zone.assert_applied(&format!("silent for {steps} steps"));
    }
}

/// Guards against readers that read the servers and get no answer for the configuration.
#[test]
fn readers_of_servers_alone_are_not_relied_on() {
    for steps in 0..20 {
        let mut zone = Zone::start(3);
        for node in &mut zone.nodes[..2] {
            node.faults.config = true;
        }
        zone.run(steps);
        zone.change(bump);
        let bound = BOUND.as_millis() / STEP.as_millis();
        zone.run(u32::try_from(bound).expect("a few steps"));
        let revision = Revision(zone.revision);
        let last = zone.last().fleet.config_revision();
        assert_eq!(last, revision, "without configuration for {steps} steps");
    }
}

/// Guards against a router that counts as a reader since it asked once for itself.
#[test]
fn report_of_follower_that_asked_tells_no_reads() {
    let mut zone = Zone::start(4);
    let now = zone.now;
    let confirmation = Confirmation {
        revision: Revision(1),
        complete: Revision(1),
        at: now,
        source: Source::Store,
    };
    for node in &mut zone.nodes {
        let fleet = &mut node.fleet;
        fleet.handle(now, Event::ConfigConfirmed(confirmation));
        fleet.handle(now, Event::ServersConfirmed(confirmation));
    }
    let reads = |n: &mut Node| n.fleet.report(now, Scope::Zone).read_age.is_some();
    let tell: Vec<bool> = zone.nodes.iter_mut().map(reads).collect();
    assert_eq!(tell, [true, true, false, false]);
}

/// Guards against readers that read the configuration and get no answer for the servers (DRAIN).
#[test]
fn readers_of_configuration_alone_are_replaced() {
    let mut zone = Zone::start(4);
    for node in &mut zone.nodes[..2] {
        node.faults.servers = true;
    }
    zone.run(20);
    assert_eq!(zone.readers()[2..], [true; 2]);
}

/// Guards against readers that are about to stop, and whose place nobody takes before their end.
#[test]
fn readers_about_to_stop_are_replaced_before_their_end() {
    let mut zone = Zone::start(4);
    let now = zone.now;
    for node in &mut zone.nodes[..2] {
        node.fleet.handle(now, Event::Stopping);
    }
    zone.run(2);
    assert_eq!(zone.readers()[2..], [true; 2]);
}

/// Guards each kind of change that the table of the configuration holds.
#[test]
fn changes_of_all_kinds_are_applied_without_readers() {
    type Change = fn(&mut OperatorConfig);
    let changes: [(&str, Change); 4] = [
        ("key", |c| {
            let deployment = c.deployment.as_mut().expect("there is a deployment");
            deployment.workspaces[0].keys = vec!["other".to_owned()];
        }),
        ("route", |c| {
            let deployment = c.deployment.as_mut().expect("there is a deployment");
            deployment.routes.remove(0);
        }),
        ("evacuation", |c| {
            c.evacuated.insert("b".to_owned());
        }),
        ("limits", bump),
    ];
    for (case, change) in changes {
        let mut zone = Zone::start(3);
        for node in &mut zone.nodes[..2] {
            node.faults.fetches = true;
        }
        zone.change(change);
        zone.assert_applied(case);
    }
}

/// Guards against routers that ask the store on and on, as one that has started took the store's
/// revision for that of the table, with the same content.
#[test]
fn revision_of_same_content_is_asked_for_once() {
    for zone_name in ["a", "b"] {
        let mut zone = Zone::start(9);
        (zone.asked, zone.complete) = (0, 50);
        for _ in 0..100 {
            zone.run(1);
            let mut report = zone.nodes[0].fleet.report(zone.now, Scope::Zone);
            report.sender = name_hash("started");
            report.zone = name_hash(zone_name);
            report.orders = 40;
            let now = zone.now;
            for node in &mut zone.nodes {
                node.fleet.handle(now, Event::Report(report.clone()));
            }
        }
        // Those that do not read for their zone ask once, and only for a router of their own.
        let most = if zone_name == "a" { 7 } else { 0 };
        assert_eq!(zone.asked, most, "zone {zone_name}");
    }
}

/// A router that has no configuration from the store asks at a bounded rate, whatever others claim.
#[test]
fn revision_that_store_does_not_have_is_asked_for_seldom() {
    let mut zone = Zone::start(3);
    zone.asked = 0;
    for _ in 0..100 {
        zone.run(1);
        let mut report = zone.nodes[0].fleet.report(zone.now, Scope::Zone);
        report.orders = 99;
        let now = zone.now;
        zone.last().fleet.handle(now, Event::Report(report));
    }
    assert!(zone.asked <= 100 / 4 + 1, "{}", zone.asked);
}
