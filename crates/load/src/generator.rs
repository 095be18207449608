//! Load on a deployment: open-loop arrivals and backlogged workspaces.
//!
//! Open-loop requests start at times drawn beforehand, whatever comes back; a
//! backlogged workspace keeps a number of requests outstanding. Every draw
//! comes from a seeded generator of its own source, so that one source's
//! answers do not change what another sends.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hibiscusrail_macros::{record, value};
use rand::distr::weighted::WeightedIndex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

use crate::client::{Ask, Ending, Received, Sending, send};
use crate::deployment::{Deployment, WorkspaceSpec};

/// Most tokens of a draft.
const MAX_TOKENS: f64 = 2_000.0;
/// Sends of one keyed request whose outcome stays unknown.
const MAX_SENDS: u32 = 4;
/// Pause before a request is sent again.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);
/// Pause of a backlogged workspace after a refusal.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);
/// Exponent of the skew by which callers prefer some routers.
const ROUTER_SKEW: f64 = 1.0;

/// Distribution of the tokens of drafts: log-normal, heavy-tailed.
#[value]
#[derive(serde::Serialize)]
pub struct Costs {
    /// Median.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
}

impl Costs {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn draw(&self, rng: &mut SmallRng) -> u64 {
        let distribution = LogNormal::new(self.median.ln(), self.sigma)
            .expect("median and spread are positive numbers");
        distribution.sample(rng).clamp(1.0, MAX_TOKENS) as u64
    }
}

/// How a source hints at the cost of its drafts.
#[value]
#[derive(serde::Serialize)]
pub enum Hint {
    /// Not at all.
    None,
    /// Wrong by a factor of up to ten, either way.
    Noisy,
    /// Wrong by this factor, on purpose.
    Factor(f64),
}

impl Hint {
    fn draw(self, tokens: u64, rng: &mut SmallRng) -> Option<f64> {
        #[allow(clippy::cast_precision_loss)]
        let cost = tokens as f64;
        match self {
            Self::None => None,
            Self::Noisy => Some(cost * 10_f64.powf(rng.random_range(-1.0..1.0))),
            Self::Factor(factor) => Some(cost * factor),
        }
    }
}

/// When a source sends.
#[value]
#[derive(serde::Serialize)]
pub enum Arrivals {
    /// At random times, this many a second.
    Open(f64),
    /// Whenever fewer than this many are outstanding.
    Backlog(u32),
}

/// What a source asks for.
#[value]
#[derive(serde::Serialize)]
pub struct Mix {
    /// Fraction of plain lookups.
    pub lookups: f64,
    /// Fraction of plain calls that may not run twice.
    pub writes: f64,
    /// Fraction of those that carry an idempotency key.
    pub keyed: f64,
    /// Fraction of the drafts that are streamed.
    pub streamed: f64,
}

impl Mix {
    /// Returns drafts alone, half of them streamed.
    #[must_use]
    pub fn drafts() -> Self {
        Self {
            lookups: 0.0,
            writes: 0.0,
            keyed: 0.0,
            streamed: 0.5,
        }
    }

    /// Returns lookups alone.
    #[must_use]
    pub fn lookups() -> Self {
        Self {
            lookups: 1.0,
            ..Self::drafts()
        }
    }

    /// Returns drafts, lookups and a few calls that may not run twice.
    #[must_use]
    pub fn mixed() -> Self {
        Self {
            lookups: 0.4,
            writes: 0.1,
            keyed: 0.5,
            streamed: 0.5,
        }
    }
}

/// Callers of one workspace.
#[record]
pub struct Source {
    /// The workspace.
    pub workspace: WorkspaceSpec,
    /// Where they connect, each with its weight.
    pub routers: Vec<(SocketAddr, f64)>,
    /// When they send.
    pub arrivals: Arrivals,
    /// What they ask for.
    pub mix: Mix,
    /// How they hint.
    pub hint: Hint,
}

impl Source {
    /// Creates a source whose callers prefer some routers over others.
    ///
    /// Which ones is drawn from `seed`.
    #[must_use]
    pub fn new(
        deployment: &Deployment,
        workspace: &WorkspaceSpec,
        arrivals: Arrivals,
        seed: u64,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut routers: Vec<SocketAddr> = deployment.routers.iter().map(|r| r.listen).collect();
        rand::seq::SliceRandom::shuffle(&mut routers[..], &mut rng);
        let weighted = routers.into_iter().zip(1_u32..);
        let routers = weighted.map(|(r, rank)| (r, f64::from(rank).powf(-ROUTER_SKEW)));
        Self {
            workspace: workspace.clone(),
            routers: routers.collect(),
            arrivals,
            mix: Mix::drafts(),
            hint: Hint::None,
        }
    }

    /// Sets what is asked for.
    #[must_use]
    pub fn with_mix(mut self, mix: Mix) -> Self {
        self.mix = mix;
        self
    }

    /// Sets how costs are hinted at.
    #[must_use]
    pub fn with_hint(mut self, hint: Hint) -> Self {
        self.hint = hint;
        self
    }

    /// Lets all callers connect to one router.
    #[must_use]
    pub fn with_router(mut self, router: SocketAddr) -> Self {
        self.routers = vec![(router, 1.0)];
        self
    }
}

/// A load on a deployment.
#[record]
pub struct Load {
    /// Seed of all draws.
    pub seed: u64,
    /// How long requests are started.
    pub duration: Duration,
    /// Deadline of every request.
    pub deadline: Duration,
    /// Tokens of drafts.
    pub costs: Costs,
    /// Who sends.
    pub sources: Vec<Source>,
}

impl Load {
    /// Creates a load without sources.
    #[must_use]
    pub fn new(seed: u64, duration: Duration) -> Self {
        Self {
            seed,
            duration,
            deadline: Duration::from_secs(30),
            costs: Costs {
                median: 40.0,
                sigma: 0.8,
            },
            sources: Vec::new(),
        }
    }

    /// Sets the deadline of every request.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets the tokens of drafts.
    #[must_use]
    pub fn with_costs(mut self, median: f64, sigma: f64) -> Self {
        self.costs = Costs { median, sigma };
        self
    }

    /// Adds a source.
    #[must_use]
    pub fn with_source(mut self, source: Source) -> Self {
        self.sources.push(source);
        self
    }

    /// Adds every workspace of `deployment` with open arrivals by its share of `rate`.
    #[must_use]
    pub fn with_all(mut self, deployment: &Deployment, rate: f64, mix: Mix) -> Self {
        let total: f64 = deployment.workspaces.iter().map(|w| w.share).sum();
        for (workspace, number) in deployment.workspaces.iter().zip(0_u64..) {
            let arrivals = Arrivals::Open(rate * workspace.share / total);
            let seed = self.seed.wrapping_add(number);
            let source = Source::new(deployment, workspace, arrivals, seed)
                .with_mix(mix)
                .with_hint(Hint::Noisy);
            self.sources.push(source);
        }
        self
    }

    /// Sends the load and returns what came back, in order of arrival.
    ///
    /// Backlogged requests that are outstanding at the end are abandoned.
    pub async fn run(&self, deployment: &Deployment) -> Vec<Received> {
        let received = Rc::new(RefCell::new(Vec::new()));
        let started = Instant::now();
        let mut tasks = Vec::new();
        for (source, number) in self.sources.iter().zip(0_u64..) {
            let draws = Draws::new(self, deployment, source, number, started);
            let received = Rc::clone(&received);
            match source.arrivals {
                Arrivals::Open(rate) => {
                    tasks.push(compio::runtime::spawn(open(draws, rate, received)));
                }
                Arrivals::Backlog(outstanding) => {
                    let draws = Rc::new(RefCell::new(draws));
                    for _ in 0..outstanding {
                        let task = backlog(Rc::clone(&draws), Rc::clone(&received));
                        let end = self.duration;
                        tasks.push(compio::runtime::spawn(async move {
                            // At the end the request in progress is abandoned.
                            let _ = compio::time::timeout(end, task).await;
                        }));
                    }
                }
            }
        }
        for task in tasks {
            // A task that panicked leaves its requests out; the count shows it.
            let _ = task.await;
        }
        received.take()
    }
}

type Results = Rc<RefCell<Vec<Received>>>;

/// The draws of one source.
struct Draws {
    rng: SmallRng,
    started: Instant,
    duration: Duration,
    deadline: Duration,
    costs: Costs,
    source: Source,
    choice: WeightedIndex<f64>,
    model: String,
    plain: String,
    prefix: String,
    number: u64,
}

impl Draws {
    fn new(
        load: &Load,
        deployment: &Deployment,
        source: &Source,
        number: u64,
        started: Instant,
    ) -> Self {
        let weights = source.routers.iter().map(|(_, weight)| *weight);
        Self {
            rng: SmallRng::seed_from_u64(load.seed ^ (number + 1).wrapping_mul(0x9e37_79b9)),
            started,
            duration: load.duration,
            deadline: load.deadline,
            costs: load.costs,
            choice: WeightedIndex::new(weights).expect("a source has routers"),
            source: source.clone(),
            model: deployment.model.clone(),
            plain: deployment.plain.clone(),
            prefix: format!("s{}-{number}", load.seed),
            number: 0,
        }
    }

    fn router(&mut self) -> SocketAddr {
        self.source.routers[self.choice.sample(&mut self.rng)].0
    }

    fn next(&mut self) -> Sending {
        self.number += 1;
        let id = format!("{}-{}", self.prefix, self.number);
        let mix = self.source.mix;
        let kind: f64 = self.rng.random();
        let mut sending = Sending::new(
            self.router(),
            &id,
            &self.source.workspace,
            Ask::lookup(&self.plain, &id),
        )
        .with_deadline(self.deadline);
        if kind < mix.lookups {
            return sending;
        }
        if kind < mix.lookups + mix.writes {
            sending.ask = Ask::write(&self.plain, &id);
            if self.rng.random_bool(mix.keyed) {
                sending.idempotency = Some(format!("key-{id}"));
            }
            return sending;
        }
        let tokens = self.costs.draw(&mut self.rng);
        sending.hint = self.source.hint.draw(tokens, &mut self.rng);
        sending.ask = Ask::Draft {
            service: self.model.clone(),
            prompt: hibiscusrail_standin::text::prompt(&id, tokens),
            stream: self.rng.random_bool(mix.streamed),
        };
        sending
    }
}

/// Sends at random times until the load ends, and waits for the answers.
async fn open(mut draws: Draws, rate: f64, received: Results) {
    let gaps = Exp::new(rate).expect("the rate is above zero");
    let mut at = Duration::ZERO;
    let mut tasks = Vec::new();
    loop {
        at += Duration::from_secs_f64(gaps.sample(&mut draws.rng));
        if at > draws.duration {
            break;
        }
        let sending = draws.next();
        let routers: Vec<SocketAddr> = (1..MAX_SENDS).map(|_| draws.router()).collect();
        compio::time::sleep(at.saturating_sub(draws.started.elapsed())).await;
        let received = Rc::clone(&received);
        tasks.push(compio::runtime::spawn(async move {
            send_until_known(sending, &routers, &received).await;
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
}

/// Keeps one request outstanding.
async fn backlog(draws: Rc<RefCell<Draws>>, received: Results) {
    loop {
        let sending = draws.borrow_mut().next();
        let result = send(&sending).await;
        let right = result.ending == Ending::Right;
        received.borrow_mut().push(result);
        if !right {
            compio::time::sleep(REFUSAL_PAUSE).await;
        }
    }
}

/// Sends a request; one with a key is sent again while its outcome is unknown.
async fn send_until_known(mut sending: Sending, routers: &[SocketAddr], received: &Results) {
    let mut routers = routers.iter();
    loop {
        let result = send(&sending).await;
        let unknown = matches!(result.ending, Ending::Unknown | Ending::Cut | Ending::Lost);
        received.borrow_mut().push(result);
        if !unknown || sending.idempotency.is_none() {
            return;
        }
        let Some(router) = routers.next() else {
            return;
        };
        sending.router = *router;
        compio::time::sleep(REPEAT_PAUSE).await;
    }
}
