//! Requests that crash each server which begins to run them, and come again with the same
//! fingerprint at any router. A crashed server starts again at once under another id.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hibiscusrail_fleet::engine::{Part, Prompt};
use hibiscusrail_fleet::event::{Execution, Reason};
use hibiscusrail_fleet::objects::{Repeat, Revision, Servers};
use hibiscusrail_fleet::peers::{Report, Scope};
use hibiscusrail_fleet::{Decision, Event, Fleet, Outcome, RequestKey, Submission};

use super::support::{self, ENGINES, PLAIN, failure_reason, sent_to, submission};

/// Fingerprint of the request that crashes servers; the last one in any order.
const DEADLY: u64 = u64::MAX;
/// Servers that may end before all routers have to know.
const MIN_SERVERS: usize = 3;
/// Time after the third crash from which further retries count.
const CONTACT: Duration = Duration::from_secs(3);
/// Further retries that are allowed.
const MAX_RETRIES: usize = 3;
/// Time between two reports of a router.
const PERIOD: Duration = Duration::from_millis(100);

/// Routers of a deployment and its servers, which all of them know.
struct Site {
    routers: Vec<Fleet>,
    servers: Servers,
    /// Numbers of the next server, server list and request.
    next: (u16, u64, u64),
    /// Numbers the reports, of which some are lost.
    reports: u32,
    /// Whether servers start again under their ids.
    keeps_ids: bool,
}

/// Returns the names of the routers.
fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("router{n}")).collect()
}

/// Starts a router that knows the servers.
fn start(count: usize, number: usize, servers: &Servers, revision: u64, now: Instant) -> Fleet {
    let names = names(count);
    let mut fleet = support::router(&names[number], 0, now);
    fleet.handle(now, Event::Members(names));
    fleet.handle(now, Event::Servers(Revision(revision), servers.clone()));
    fleet
}

impl Site {
    fn new(count: usize, now: Instant) -> Self {
        let mut servers = Servers::new();
        for number in 0..12 {
            servers.insert(format!("p{number}"), support::backend(PLAIN, number));
            let engine = 100 + number;
            servers.insert(format!("e{engine}"), support::backend(ENGINES, engine));
        }
        let routers = (0..count).map(|n| start(count, n, &servers, 2, now));
        Self {
            routers: routers.collect(),
            servers,
            next: (1_000, 3, 0),
            reports: 0,
            keeps_ids: false,
        }
    }

    /// Creates a site whose only plain server starts again under its id.
    fn with_same_id(count: usize, now: Instant) -> Self {
        let mut site = Self::new(count, now);
        site.servers.retain(|id, _| id == "p0");
        site.keeps_ids = true;
        site.replace_server("p0", now);
        site
    }

    /// Replaces a router by one that has just started.
    fn restart(&mut self, number: usize, now: Instant) {
        let count = self.routers.len();
        self.next.1 += 1;
        self.routers[number] = start(count, number, &self.servers, self.next.1, now);
    }

    fn request(&mut self, fingerprint: u64, now: Instant) -> Submission {
        self.next.2 += 1;
        let mut request = support::plain(self.next.2, Repeat::Idempotent, now);
        request.fingerprint = fingerprint;
        request
    }

    /// Starts a server again, mostly under another id, at all routers.
    fn replace_server(&mut self, id: &str, now: Instant) {
        let Some(mut backend) = self.servers.remove(id) else {
            return;
        };
        let (number, revision, _) = &mut self.next;
        *number += 1;
        *revision += 1;
        if self.keeps_ids {
            backend.born += 1;
            self.servers.insert(id.to_owned(), backend);
        } else {
            self.servers.insert(format!("n{number}"), backend);
        }
        for fleet in &mut self.routers {
            let list = Event::Servers(Revision(*revision), self.servers.clone());
            fleet.handle(now, list);
        }
    }

    /// Crashes the servers to which a router sends a submitted request; returns how many.
    fn crash_all(
        &mut self,
        at: usize,
        key: RequestKey,
        sent: Vec<Decision>,
        now: Instant,
    ) -> usize {
        let mut decisions = sent;
        let mut crashed = 0;
        while let Some(id) = sent_to(&decisions).map(str::to_owned) {
            crashed += 1;
            decisions = self.routers[at].handle(now, Event::Ended(key, Outcome::Broken));
            self.replace_server(&id, now);
        }
        crashed
    }

    /// Submits a request that crashes servers, and returns how many it crashed.
    fn crash(&mut self, at: usize, fingerprint: u64, now: Instant) -> usize {
        let request = self.request(fingerprint, now);
        let key = request.key;
        let sent = self.routers[at].handle(now, Event::Submit(request));
        self.crash_all(at, key, sent, now)
    }

    /// Submits a request and returns the decisions.
    fn submit(&mut self, at: usize, fingerprint: u64, now: Instant) -> Vec<Decision> {
        let request = self.request(fingerprint, now);
        self.routers[at].handle(now, Event::Submit(request))
    }

    /// Submits a request and returns whether it is refused as one that crashes servers, not run.
    fn refuses(&mut self, at: usize, fingerprint: u64, now: Instant) -> bool {
        let decisions = self.submit(at, fingerprint, now);
        let not_run = decisions.iter().any(|d| {
            matches!(
                d,
                Decision::Fail {
                    execution: Execution::NotRun,
                    ..
                }
            )
        });
        not_run && failure_reason(&decisions) == Some(Reason::Quarantined)
    }

    /// Submits a request that is answered.
    fn answer(&mut self, at: usize, fingerprint: u64, now: Instant) {
        let decisions = self.submit(at, fingerprint, now);
        assert!(sent_to(&decisions).is_some(), "{decisions:?}");
        let key = RequestKey(self.next.2);
        self.routers[at].handle(now, Event::Ended(key, Outcome::Answered));
    }

    /// Sends a report of each router to all others, but only each `kept`th of them arrives.
    fn exchange(&mut self, kept: u32, now: Instant) {
        let reports: Vec<Report> = self
            .routers
            .iter_mut()
            .map(|f| f.report(now, Scope::All))
            .collect();
        for (sender, report) in reports.iter().enumerate() {
            for receiver in (0..self.routers.len()).filter(|r| *r != sender) {
                self.reports += 1;
                if self.reports.is_multiple_of(kept) {
                    self.routers[receiver].handle(now, Event::Report(report.clone()));
                }
            }
        }
    }
}

/// Returns how often a request is sent that comes at each router in every `gap`, for `time`,
/// after `CONTACT`.
fn retries(site: &mut Site, from: Instant, gap: Duration, time: Duration) -> usize {
    let steps = u32::try_from(time.as_millis() / PERIOD.as_millis()).expect("it is short");
    let every = u32::try_from(gap.as_millis() / PERIOD.as_millis()).expect("it is short");
    let mut retries = 0;
    for step in 0..steps {
        let now = from + PERIOD * step;
        site.exchange(1, now);
        if now < from + CONTACT {
            continue;
        }
        for at in 0..site.routers.len() {
            if (step + u32::try_from(at).expect("it is small")).is_multiple_of(every) {
                retries += site.crash(at, DEADLY, now);
            }
        }
    }
    retries
}

// Guards against a request of a plain service that crashes one server after the other.
#[test]
fn request_that_crashed_three_servers_is_quarantined() {
    let now = Instant::now();
    let mut site = Site::new(1, now);
    let crashed: usize = (0..8).map(|_| site.crash(0, DEADLY, now)).sum();
    assert_eq!(crashed, MIN_SERVERS);
    assert!(site.refuses(0, DEADLY, now));
    let sound = site.submit(0, 1, now);
    assert!(sent_to(&sound).is_some(), "{sound:?}");
}

// Guards against crashes of a server that starts again under its id and counts as one.
#[test]
fn request_that_crashed_server_under_same_id_is_quarantined() {
    let now = Instant::now();
    let mut site = Site::with_same_id(7, now);
    let mut crashed = 0;
    for at in 0..7 {
        crashed += site.crash(at, DEADLY, now);
        site.exchange(1, now);
    }
    assert_eq!(crashed, MIN_SERVERS);
    assert!(site.refuses(0, DEADLY, now));
}

// Guards against crashes of a host that closes no connection and is back under its id.
#[test]
fn request_at_silent_server_back_under_same_id_is_quarantined() {
    let now = Instant::now();
    let mut site = Site::with_same_id(1, now);
    for _ in 0..MIN_SERVERS {
        let sent = site.submit(0, DEADLY, now);
        assert!(sent_to(&sent).is_some(), "{sent:?}");
        let key = RequestKey(site.next.2);
        site.routers[0].handle(now, Event::Ended(key, Outcome::Expired));
        site.replace_server("p0", now);
    }
    assert!(site.refuses(0, DEADLY, now));
}

// Guards against routers that each see a crash or two and don't add them up.
#[test]
fn request_that_crashed_servers_at_several_routers_is_quarantined() {
    let now = Instant::now();
    let mut site = Site::new(7, now);
    let mut crashed = 0;
    for at in 0..7 {
        crashed += site.crash(at, DEADLY, now);
        site.exchange(1, now);
    }
    assert_eq!(crashed, MIN_SERVERS);
    for at in 0..7 {
        assert!(site.refuses(at, DEADLY, now), "router {at}");
    }
}

// Guards against BUDGET when a request comes at all routers at once, and then for a minute and
// for ten.
#[test]
fn request_at_all_routers_in_same_second_is_quarantined() {
    for (gap, time) in [(200, 60), (5_000, 600)] {
        let now = Instant::now();
        let mut site = Site::new(7, now);
        for at in 0..7 {
            site.crash(at, DEADLY, now);
        }
        let gap = Duration::from_millis(gap);
        let sent = retries(&mut site, now, gap, Duration::from_secs(time));
        assert!(sent <= MAX_RETRIES, "sent {sent} times more in {time} s");
    }
}

// Guards against failures that are forgotten while a request that comes seldom crashes servers.
#[test]
fn request_that_comes_seldom_is_quarantined() {
    let start = Instant::now();
    let mut site = Site::new(2, start);
    let mut crashed = 0;
    for step in 0..40 {
        let now = start + Duration::from_secs(20) * step;
        crashed += site.crash(0, DEADLY, now).min(1);
        site.exchange(1, now);
    }
    assert!(crashed <= MIN_SERVERS + MAX_RETRIES, "{crashed} servers");
}

// Guards against a router that restarts and sends a request which the others refuse, though none
// of those that saw the crashes still runs.
#[test]
fn request_is_quarantined_at_restarted_router() {
    let now = Instant::now();
    let mut site = Site::new(3, now);
    for _ in 0..MIN_SERVERS {
        site.crash(0, DEADLY, now);
    }
    site.exchange(1, now);
    site.restart(0, now);
    let later = now + Duration::from_secs(1);
    site.exchange(1, later);
    site.restart(1, later);
    site.exchange(1, later);
    for at in 0..3 {
        assert!(site.refuses(at, DEADLY, later), "router {at}");
    }
}

// Guards against a router that never learns of the crashes since reports to it are lost.
#[test]
fn request_is_quarantined_though_reports_are_lost() {
    let start = Instant::now();
    let mut site = Site::new(7, start);
    for at in 0..3 {
        site.crash(at, DEADLY, start);
    }
    for step in 0..29 {
        site.exchange(5, start + PERIOD * step);
    }
    for at in 0..7 {
        assert!(site.refuses(at, DEADLY, start + CONTACT), "router {at}");
    }
}

// Guards against a report whose bound cuts off the deadly request for requests that ran beside it.
#[test]
fn request_is_quarantined_among_many_on_crashed_servers() {
    let start = Instant::now();
    let mut site = Site::new(4, start);
    for at in 0..3 {
        let submitted = site.submit(at, DEADLY, start);
        let deadly = (
            RequestKey(site.next.2),
            sent_to(&submitted).map(str::to_owned),
        );
        let mut victims = Vec::new();
        for number in 0..2_000 {
            let fingerprint = 10_000 * (at as u64 + 1) + number;
            let sent = site.submit(at, fingerprint, start);
            if sent_to(&sent).map(str::to_owned) == deadly.1 {
                victims.push(RequestKey(site.next.2));
            }
        }
        for key in victims.into_iter().chain([deadly.0]) {
            site.routers[at].handle(start, Event::Ended(key, Outcome::Broken));
            // It ran or runs elsewhere, and the caller has gone.
            site.routers[at].handle(start, Event::Ended(key, Outcome::Left));
        }
        site.replace_server(&deadly.1.expect("it was sent"), start);
    }
    for step in 0..29 {
        site.exchange(1, start + PERIOD * step);
    }
    assert!(site.refuses(3, DEADLY, start + CONTACT));
}

/// Returns a request for an engine that shares no part of its prompt.
fn stream(key: u64, now: Instant) -> Submission {
    let own = Part {
        id: u64::MAX,
        tokens: 1_000,
    };
    let prompt = Prompt {
        input: 1_000,
        output: 100,
        parts: vec![own],
    };
    let mut request = submission(key, 1, prompt, now);
    request.fingerprint = DEADLY;
    request
}

// Guards against streams that crash their engines after the first events.
#[test]
fn stream_that_crashed_three_engines_midway_is_quarantined() {
    let now = Instant::now();
    let mut site = Site::new(1, now);
    let mut crashed = BTreeSet::new();
    for key in 0..8 {
        let mut decisions = site.routers[0].handle(now, Event::Submit(stream(key, now)));
        let key = RequestKey(key);
        while let Some(id) = sent_to(&decisions).map(str::to_owned) {
            let gap = Duration::from_millis(10);
            site.routers[0].handle(now, Event::FirstByte(key));
            for _ in 0..3 {
                let progress = Event::StreamProgress {
                    key,
                    gap,
                    tokens: 7,
                };
                site.routers[0].handle(now, progress);
            }
            decisions = site.routers[0].handle(now, Event::Ended(key, Outcome::Broken));
            site.replace_server(&id, now);
            crashed.insert(id);
        }
    }
    assert_eq!(crashed.len(), MIN_SERVERS);
}

// Guards against a sound request that many send being taken for the cause of other crashes.
#[test]
fn sound_request_beside_crashes_stays_in_use() {
    let start = Instant::now();
    let mut site = Site::new(3, start);
    for step in 0..20 {
        let now = start + Duration::from_millis(500) * step;
        site.answer(1, 7, now);
        site.crash(0, 7, now);
        site.exchange(1, now);
        site.exchange(1, now);
        for at in 0..3 {
            site.answer(at, 7, now);
        }
    }
}

/// Returns a site whose routers all know of a request that crashed three servers.
fn quarantined(count: usize, now: Instant) -> Site {
    let mut site = Site::new(count, now);
    for _ in 0..MIN_SERVERS {
        site.crash(0, DEADLY, now);
    }
    site.exchange(1, now);
    site
}

// Guards against routers that all try a request again as its quarantine ends.
#[test]
fn quarantine_ends_at_one_router_first() {
    let start = Instant::now();
    let mut site = quarantined(7, start);
    let later = start + Duration::from_secs(31);
    site.exchange(1, later);
    let crashed: Vec<usize> = (0..7)
        .map(|at| site.crash(at, DEADLY, later))
        .filter(|n| *n > 0)
        .collect();
    assert_eq!(crashed, [1]);
}

// Guards against a request that stays refused since the router that tries it first gets none.
#[test]
fn quarantine_ends_at_each_router_later() {
    let start = Instant::now();
    let later = start + Duration::from_secs(61);
    for at in 0..7 {
        let mut site = quarantined(7, start);
        site.exchange(1, later);
        site.answer(at, DEADLY, later);
        site.exchange(1, later);
        site.exchange(1, later);
        for at in 0..7 {
            site.answer(at, DEADLY, later);
        }
    }
}

// Guards against routers whose reports of each other's failures keep a quarantine alive.
#[test]
fn quarantine_is_not_prolonged_by_reports() {
    let start = Instant::now();
    let mut site = quarantined(3, start);
    for step in 0..300 {
        site.exchange(1, start + PERIOD * step);
    }
    let later = start + Duration::from_secs(31);
    let sent = (0..3).filter(|at| sent_to(&site.submit(*at, DEADLY, later)).is_some());
    assert_eq!(sent.count(), 1);
}

// Guards against copies of a request that are all sent before the first has crashed its server.
#[test]
fn request_on_which_two_servers_failed_is_sent_one_at_a_time() {
    let now = Instant::now();
    let mut site = Site::new(1, now);
    assert_eq!(site.crash(0, DEADLY, now), 2);
    let first = site.submit(0, DEADLY, now);
    assert!(sent_to(&first).is_some(), "{first:?}");
    let key = RequestKey(site.next.2);
    assert!(site.refuses(0, DEADLY, now));
    site.routers[0].handle(now, Event::Ended(key, Outcome::Answered));
    let sent = site.submit(0, DEADLY, now);
    assert!(sent_to(&sent).is_some(), "{sent:?}");
}

// Guards against errors that a server reports without a run clearing a deadly request.
#[test]
fn request_is_quarantined_beside_errors_of_servers() {
    let now = Instant::now();
    let mut site = Site::new(1, now);
    let mut crashed = 0;
    for _ in 0..8 {
        crashed += site.crash(0, DEADLY, now);
        site.submit(0, DEADLY, now);
        let key = RequestKey(site.next.2);
        site.routers[0].handle(now, Event::Ended(key, Outcome::Failed));
        site.routers[0].handle(now, Event::Ended(key, Outcome::Failed));
    }
    assert_eq!(crashed, MIN_SERVERS);
}

// Guards against servers that answer wrongly being taken for crashed.
#[test]
fn request_that_was_answered_wrongly_is_sent() {
    let now = Instant::now();
    let mut site = Site::new(1, now);
    for _ in 0..4 {
        let sent = site.submit(0, 7, now);
        assert!(sent_to(&sent).is_some(), "{sent:?}");
        let key = RequestKey(site.next.2);
        site.routers[0].handle(now, Event::Ended(key, Outcome::Invalid));
        site.routers[0].handle(now, Event::Ended(key, Outcome::Invalid));
    }
}

// Guards against servers that crash, and are gone from the list, before the connection ends.
#[test]
fn request_is_suspected_for_servers_that_have_gone() {
    let now = Instant::now();
    let mut site = Site::new(1, now);
    for _ in 0..MIN_SERVERS {
        let sent = site.submit(0, DEADLY, now);
        let Some(id) = sent_to(&sent).map(str::to_owned) else {
            break;
        };
        let key = RequestKey(site.next.2);
        site.replace_server(&id, now);
        let again = site.routers[0].handle(now, Event::Ended(key, Outcome::Broken));
        if let Some(id) = sent_to(&again).map(str::to_owned) {
            site.replace_server(&id, now);
            site.routers[0].handle(now, Event::Ended(key, Outcome::Broken));
        }
    }
    assert!(site.refuses(0, DEADLY, now));
}

// Guards against hosts that go dark under a request, so that no connection ends.
#[test]
fn request_is_suspected_for_silent_servers_that_leave_list() {
    let start = Instant::now();
    let mut site = Site::new(2, start);
    let mut dark = 0;
    for step in 0..8 {
        let now = start + Duration::from_secs(5) * step;
        site.exchange(1, now);
        let sent = site.submit(0, DEADLY, now);
        let Some(first) = sent_to(&sent).map(str::to_owned) else {
            break;
        };
        let key = RequestKey(site.next.2);
        let stalled = site.routers[0].handle(now, Event::Stalled(key));
        dark += 1;
        let second = sent_to(&stalled).map(str::to_owned);
        if second.is_some() {
            dark += 1;
            site.routers[0].handle(now, Event::Replaced(key));
        }
        let later = now + Duration::from_secs(2);
        for id in [Some(first), second].into_iter().flatten() {
            site.replace_server(&id, later);
        }
        site.routers[0].handle(later, Event::Ended(key, Outcome::Expired));
    }
    // Until a server has left the list, its silence proves nothing.
    assert!(dark <= MIN_SERVERS + 1, "{dark} servers");
    let later = start + Duration::from_secs(12);
    site.exchange(1, later);
    for at in 0..2 {
        assert!(site.refuses(at, DEADLY, later), "router {at}");
    }
}

// Guards against crashes that routers remember of a request which was answered elsewhere since.
#[test]
fn request_answered_after_each_crash_is_sent_elsewhere() {
    let start = Instant::now();
    let mut site = Site::new(2, start);
    let mut now = start;
    for _ in 0..4 {
        now += Duration::from_secs(60);
        let sent = site.submit(0, 7, now);
        let key = RequestKey(site.next.2);
        let id = sent_to(&sent).expect("it is sent").to_owned();
        site.routers[0].handle(now, Event::Ended(key, Outcome::Broken));
        site.replace_server(&id, now);
        site.exchange(1, now);
        site.routers[0].handle(now, Event::Ended(key, Outcome::Answered));
        site.exchange(1, now);
    }
    let sent = site.submit(1, 7, now);
    assert!(sent_to(&sent).is_some(), "{sent:?}");
}
