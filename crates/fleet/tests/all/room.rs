//! Competition of workspaces for the slots of plain servers, on simulated servers that queue.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hibiscusrail_fleet::event::{Reason, RefusalInputs};
use hibiscusrail_fleet::model::Learn;
use hibiscusrail_fleet::objects::{Repeat, Revision, Servers};
use hibiscusrail_fleet::peers::{Report, Scope};
use hibiscusrail_fleet::quota::WorkspaceHash;
use hibiscusrail_fleet::room::PlainUse;
use hibiscusrail_fleet::{Decision, Event, Fleet, Outcome, Params, RequestKey, Submission};

use super::support::{self, PLAIN, backend, failure_reason, plain};

/// Number of slots of all plain servers.
const SLOTS: u16 = 5 * 6;
/// Places of a server: its slots and a queue of 24.
const PLACES: usize = 30;
/// Time to the target of the requests.
const TARGET: Duration = Duration::from_millis(300);
/// Time of a request at a server.
const SERVICE_TIME: Duration = Duration::from_millis(60);
const STEP: Duration = Duration::from_millis(1);
const REPORT_STEPS: u64 = 100;

fn servers() -> Servers {
    let id = |n| (format!("p{n}"), backend(PLAIN, 100 + n));
    (0..SLOTS / 6).map(id).collect()
}

/// Request at a server.
struct Job {
    router: usize,
    key: u64,
    workspace: u64,
    rank: u32,
    arrived: Instant,
    /// Remaining time in a slot.
    left: Duration,
}

/// Results of the requests of a workspace and rank.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    offered: u32,
    answered: u32,
    refused: u32,
    longest: Duration,
}

/// Routers that share plain servers, each with a queue in order of arrival.
struct Site {
    routers: Vec<Fleet>,
    queues: BTreeMap<String, Vec<Job>>,
    tallies: BTreeMap<(u64, u32), Tally>,
    now: Instant,
    steps: u64,
    keys: u64,
    /// Whether reports arrive.
    connected: bool,
    most_held: usize,
}

/// Returns a router that shares the slots of plain servers.
fn router(name: &str, now: Instant) -> Fleet {
    let mut fleet = support::router(name, 0, now);
    fleet.set_params(Params {
        learn: Learn::On,
        ..support::params()
    });
    fleet
}

impl Site {
    fn new(routers: usize) -> Self {
        let now = Instant::now();
        let names: Vec<String> = (0..routers).map(|n| format!("r{n}")).collect();
        let start = |name: &String| {
            let mut fleet = router(name, now);
            fleet.handle(now, Event::Servers(Revision(2), servers()));
            fleet.handle(now, Event::Members(names.clone()));
            fleet
        };
        Self {
            routers: names.iter().map(start).collect(),
            queues: servers().into_keys().map(|id| (id, Vec::new())).collect(),
            tallies: BTreeMap::new(),
            now,
            steps: 0,
            keys: 0,
            connected: true,
            most_held: 0,
        }
    }

    fn request(&mut self, workspace: u64, rank: u32) -> Submission {
        self.keys += 1;
        let mut request = plain(self.keys, Repeat::Once, self.now);
        request.workspace = Some(WorkspaceHash(workspace));
        request.rank = rank;
        request
    }

    fn submit(&mut self, router: usize, workspace: u64, rank: u32) {
        let request = self.request(workspace, rank);
        let key = request.key.0;
        let decisions = self.routers[router].handle(self.now, Event::Submit(request));
        let tally = self.tallies.entry((workspace, rank)).or_default();
        tally.offered += 1;
        match support::sent_to(&decisions) {
            Some(id) => {
                let job = Job {
                    router,
                    key,
                    workspace,
                    rank,
                    arrived: self.now,
                    left: SERVICE_TIME,
                };
                let queue = self.queues.get_mut(id).expect("a known server");
                queue.push(job);
                self.most_held = self.most_held.max(queue.len());
            }
            None => tally.refused += 1,
        }
    }

    /// Lets time pass: servers work, and routers report to each other.
    fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        let mut done = Vec::new();
        for queue in self.queues.values_mut() {
            for job in queue.iter_mut().take(6) {
                job.left = job.left.saturating_sub(STEP);
            }
            done.extend(queue.extract_if(.., |job| job.left.is_zero()));
        }
        for job in done {
            let ended = Event::Ended(RequestKey(job.key), Outcome::Answered);
            self.routers[job.router].handle(self.now, ended);
            let tally = self.tallies.entry((job.workspace, job.rank)).or_default();
            tally.answered += 1;
            tally.longest = tally.longest.max(self.now - job.arrived);
        }
        if self.steps.is_multiple_of(REPORT_STEPS) {
            self.exchange_reports();
        }
    }

    fn exchange_reports(&mut self) {
        let now = self.now;
        let reports = self.routers.iter_mut().map(|r| r.report(now, Scope::All));
        let reports: Vec<Report> = reports.collect();
        for (number, router) in self.routers.iter_mut().enumerate() {
            for (_, report) in reports.iter().enumerate().filter(|(n, _)| *n != number) {
                if self.connected {
                    router.handle(now, Event::Report(report.clone()));
                }
            }
            router.handle(now, Event::Tick);
        }
    }

    /// Runs for some time; each load is a workspace, its rank, the router and the steps between two
    /// requests, with the number of requests then.
    fn run(&mut self, time: Duration, loads: &[(u64, u32, usize, u64, u32)]) {
        let end = self.now + time;
        while self.now < end {
            for (workspace, rank, router, every, count) in loads {
                if self.steps.is_multiple_of(*every) {
                    for _ in 0..*count {
                        self.submit(*router, *workspace, *rank);
                    }
                }
            }
            self.step();
        }
    }

    fn tally(&self, workspace: u64, rank: u32) -> Tally {
        self.tallies
            .get(&(workspace, rank))
            .copied()
            .unwrap_or_default()
    }
}

// The servers answer 500 requests a second. Four workspaces ask for 50 each.
const USUAL: [(u64, u32, usize, u64, u32); 4] = [
    (2, 0, 0, 20, 1),
    (3, 0, 1, 20, 1),
    (4, 0, 2, 20, 1),
    (5, 0, 3, 20, 1),
];

/// Guards against a workspace at ten times its usual load that fills all plain servers.
#[test]
fn flooding_workspace_leaves_others_their_share() {
    let mut site = Site::new(4);
    site.run(Duration::from_secs(1), &USUAL);
    let mut loads = USUAL.to_vec();
    loads.push((1, 0, 0, 2, 2));
    site.run(Duration::from_secs(4), &loads);
    for workspace in 2..=5 {
        let tally = site.tally(workspace, 0);
        assert!(
            tally.refused * 50 <= tally.offered && tally.longest <= TARGET,
            "{workspace}: {tally:?}"
        );
    }
    // The flood gets what the others leave: 300 of 500 a second.
    assert!(site.tally(1, 0).answered >= 1_100, "{:?}", site.tally(1, 0));
    assert!(site.most_held <= PLACES, "{}", site.most_held);
}

/// Guards against workspaces that flood by turns and keep the next one out when it begins.
#[test]
fn floods_by_turns_leave_others_their_share() {
    let mut site = Site::new(4);
    for turn in 0..4 {
        let mut loads = USUAL.to_vec();
        loads.push((2 + turn, 0, usize::try_from(turn).expect("small"), 2, 1));
        site.run(Duration::from_secs(1), &loads);
    }
    let tallies: Vec<Tally> = (2..=5).map(|w| site.tally(w, 0)).collect();
    let (most, least) = (
        tallies.iter().map(|t| t.answered).max(),
        tallies.iter().map(|t| t.answered).min(),
    );
    assert!(
        most.zip(least).is_some_and(|(m, l)| l * 5 >= m * 4),
        "{tallies:?}"
    );
    assert!(tallies.iter().all(|t| t.longest <= TARGET));
}

/// Guards against a workspace alone that is held to a part of the servers, in a burst of twice what
/// they answer.
#[test]
fn burst_of_one_workspace_uses_all_slots() {
    let mut site = Site::new(2);
    site.run(Duration::from_secs(3), &[(1, 0, 0, 1, 1)]);
    let tally = site.tally(1, 0);
    assert!(tally.answered >= 1_350, "{tally:?}");
    assert!(tally.longest <= TARGET, "{tally:?}");
}

/// Guards against low ranks that take the share of high ones, and against their starvation.
#[test]
fn higher_rank_of_workspace_goes_first() {
    let mut site = Site::new(1);
    // Each rank alone asks for 1.2 times what the servers answer.
    let loads = [(1, 2, 0, 5, 3), (1, 0, 0, 5, 3), (2, 0, 0, 5, 3)];
    site.run(Duration::from_secs(4), &loads);
    let (high, low) = (site.tally(1, 0), site.tally(1, 2));
    assert!(high.answered > low.answered, "{high:?} {low:?}");
    assert!(low.answered * 4 >= high.answered, "{high:?} {low:?}");
}

/// Guards against a router that, without reports, refuses what is within its share, or overruns the
/// servers beyond what it knows.
#[test]
fn lost_reports_leave_shares_of_own_requests() {
    let mut site = Site::new(1);
    site.connected = false;
    let loads = [(1, 0, 0, 2, 2), (2, 0, 0, 20, 1)];
    site.run(Duration::from_secs(3), &loads);
    let tally = site.tally(2, 0);
    assert!(tally.refused * 50 <= tally.offered, "{tally:?}");
    assert!(site.most_held <= PLACES);
}

fn report(sequence: u64, incarnation: u64, running: u32) -> Report {
    let used = PlainUse {
        service: hibiscusrail_fleet::placement::name_hash(PLAIN),
        workspace: 1,
        rank: 0,
        running,
        unmet: 0,
    };
    Report {
        sender: 9,
        incarnation,
        sequence,
        plain_uses: if running == 0 { Vec::new() } else { vec![used] },
        ..Report::default()
    }
}

/// Returns the requests of workspace 1 in progress, as a refusal states them.
fn known_running(fleet: &mut Fleet, now: Instant) -> f64 {
    for key in 1_000..1_100 {
        let mut request = plain(key, Repeat::Once, now);
        request.workspace = Some(WorkspaceHash(1));
        for decision in fleet.handle(now, Event::Submit(request)) {
            if let Decision::Fail {
                inputs: Some(RefusalInputs::Room { standing, .. }),
                ..
            } = decision
            {
                return standing.running;
            }
        }
    }
    panic!("nothing was refused");
}

/// Sequence number, incarnation and requests in progress of a report.
type Reported = (u64, u64, u32);

/// Guards against use that counts twice after a repeated report, or for ever after one that was lost
/// or of a router that is gone.
#[test]
fn reported_use_is_replaced_and_expires() {
    let now = Instant::now();
    let own = known_running(&mut router("r", now), now);
    let cases: [(&[Reported], f64); 5] = [
        (&[(1, 1, 5)], 5.0),
        (&[(1, 1, 5), (1, 1, 5)], 5.0),
        (&[(2, 1, 5), (1, 1, 9)], 5.0),
        (&[(1, 1, 5), (3, 1, 0)], 0.0),
        (&[(1, 1, 5), (1, 2, 2)], 2.0),
    ];
    for (reports, expected) in cases {
        let mut fleet = router("r", now);
        for (sequence, incarnation, running) in reports {
            let report = report(*sequence, *incarnation, *running);
            fleet.handle(now, Event::Report(report));
        }
        // What others use counts toward the same share.
        let sent = known_running(&mut fleet, now);
        let own_requests = fleet.requests();
        #[allow(clippy::cast_precision_loss)]
        let others = sent - own_requests as f64;
        assert!((others - expected).abs() < 0.1, "{reports:?}: {others}");
    }
    let mut fleet = router("r", now);
    fleet.handle(now, Event::Report(report(1, 1, 5)));
    let later = now + Duration::from_secs(5);
    fleet.handle(later, Event::Tick);
    assert!((known_running(&mut fleet, later) - own).abs() < 0.1);
}

/// Guards against a request that is sent although it can't be answered before its deadline.
#[test]
fn request_that_cannot_end_in_time_is_refused_at_once() {
    let mut site = Site::new(1);
    site.run(Duration::from_secs(1), &[(1, 0, 0, 10, 1)]);
    for _ in 0..SLOTS {
        site.submit(0, 1, 0);
    }
    let mut late = site.request(2, 0);
    late.deadline = site.now + SERVICE_TIME / 2;
    let decisions = site.routers[0].handle(site.now, Event::Submit(late));
    assert_eq!(failure_reason(&decisions), Some(Reason::NoRoom));
    let mut past_target = site.request(2, 0);
    past_target.target = site.now;
    let decisions = site.routers[0].handle(site.now, Event::Submit(past_target));
    assert!(support::sent_to(&decisions).is_some());
}

/// Guards against shares of plain servers in deployments that did not ask for them.
#[test]
fn request_to_full_servers_without_learning_is_placed_as_before() {
    let now = Instant::now();
    let mut fleet = support::router("r", 0, now);
    fleet.handle(now, Event::Servers(Revision(2), servers()));
    for key in 0..u64::from(2 * SLOTS) {
        let mut request = plain(key, Repeat::Once, now);
        request.workspace = Some(WorkspaceHash(1));
        let decisions = fleet.handle(now, Event::Submit(request));
        assert!(support::sent_to(&decisions).is_some(), "request {key}");
    }
    let report = fleet.report(now, Scope::All);
    assert!(report.plain_uses.is_empty(), "{report:?}");
}
