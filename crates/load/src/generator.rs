//! Generates load on a deployment: open-loop arrivals and backlogged workspaces.
//!
//! Open-loop requests start at random times that do not depend on answers; a backlogged workspace
//! keeps a fixed number of requests outstanding. Each source has its own seeded random generator,
//! so that the answers to one source do not change what another sends.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hibiscusrail_macros::{record, value};
use rand::distr::weighted::WeightedIndex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

use crate::client::{CallerRequest, CallerResult, Ending, Operation, send};
use crate::deployment::{Deployment, WorkspaceSpec};

/// Maximum number of tokens of a draft.
const MAX_TOKENS: f64 = 2_000.0;
/// Maximum number of attempts of a keyed request while its outcome is unknown.
const MAX_ATTEMPTS: u32 = 4;
/// Pause before a retry.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Pause of a backlogged workspace after a request without the right answer.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);
/// Exponent of the Zipf distribution by which callers choose among routers.
const ROUTER_SKEW: f64 = 1.0;

/// Log-normal, heavy-tailed distribution of the number of tokens of drafts.
#[value]
#[derive(serde::Serialize)]
pub struct TokenDistribution {
    /// Median number of tokens.
    pub median: f64,
    /// Standard deviation of the logarithm of the number of tokens.
    pub sigma: f64,
}

impl TokenDistribution {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn draw(&self, rng: &mut SmallRng) -> u64 {
        let distribution = LogNormal::new(self.median.ln(), self.sigma)
            .expect("median and spread are positive numbers");
        distribution.sample(rng).clamp(1.0, MAX_TOKENS) as u64
    }
}

/// Cost hints that a source gives with its drafts.
#[value]
#[derive(serde::Serialize)]
pub enum Hint {
    /// No hints.
    None,
    /// Hints that are wrong by a random factor between 0.1 and 10.
    Noisy,
    /// Hints that are wrong by this factor.
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
    /// Poisson arrivals with this rate per second.
    Open(f64),
    /// Arrivals that keep this many requests outstanding.
    Backlog(u32),
}

/// Kinds of requests that a source sends.
#[value]
#[derive(serde::Serialize)]
pub struct Mix {
    /// Fraction of lookups at the plain service.
    pub lookups: f64,
    /// Fraction of non-idempotent calls to the plain service.
    pub writes: f64,
    /// Fraction of the non-idempotent calls that carry an idempotency key.
    pub keyed: f64,
    /// Fraction of the drafts that are streamed.
    pub streamed: f64,
}

impl Mix {
    /// Returns a mix of drafts only, half of them streamed.
    #[must_use]
    pub fn drafts() -> Self {
        Self {
            lookups: 0.0,
            writes: 0.0,
            keyed: 0.0,
            streamed: 0.5,
        }
    }

    /// Returns a mix of lookups only.
    #[must_use]
    pub fn lookups() -> Self {
        Self {
            lookups: 1.0,
            ..Self::drafts()
        }
    }

    /// Returns a mix of drafts, lookups and a few non-idempotent calls.
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
    /// Routers to which they connect, each with its weight.
    pub routers: Vec<(SocketAddr, f64)>,
    /// When they send.
    pub arrivals: Arrivals,
    /// Kinds of requests that they send.
    pub mix: Mix,
    /// Cost hints that they give.
    pub hint: Hint,
}

impl Source {
    /// Creates a source whose callers prefer some routers, which depend on `seed`.
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

    /// Sets the kinds of requests.
    #[must_use]
    pub fn with_mix(mut self, mix: Mix) -> Self {
        self.mix = mix;
        self
    }

    /// Sets the cost hints.
    #[must_use]
    pub fn with_hint(mut self, hint: Hint) -> Self {
        self.hint = hint;
        self
    }

    /// Makes all callers connect to one router.
    #[must_use]
    pub fn with_router(mut self, router: SocketAddr) -> Self {
        self.routers = vec![(router, 1.0)];
        self
    }
}

/// A load on a deployment.
#[record]
pub struct Load {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Time during which requests are started.
    pub duration: Duration,
    /// Deadline of every request.
    pub deadline: Duration,
    /// Time to wait for answers after `duration`.
    pub grace: Duration,
    /// Distribution of the number of tokens of drafts.
    pub token_distribution: TokenDistribution,
    /// Sources of requests.
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
            grace: Duration::from_secs(40),
            token_distribution: TokenDistribution {
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

    /// Sets the time to wait for answers after the load has ended.
    #[must_use]
    pub fn with_grace(mut self, grace: Duration) -> Self {
        self.grace = grace;
        self
    }

    /// Sets the distribution of the number of tokens of drafts.
    #[must_use]
    pub fn with_tokens(mut self, median: f64, sigma: f64) -> Self {
        self.token_distribution = TokenDistribution { median, sigma };
        self
    }

    /// Adds a source.
    #[must_use]
    pub fn with_source(mut self, source: Source) -> Self {
        self.sources.push(source);
        self
    }

    /// Adds open arrivals of every workspace; `rate` per second is divided by share.
    #[must_use]
    pub fn with_all_workspaces(mut self, deployment: &Deployment, rate: f64, mix: Mix) -> Self {
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

    /// Sends the load and returns the results in order of arrival.
    ///
    /// Requests of backlogged workspaces that are outstanding at the end are
    /// abandoned; all other requests are abandoned after the grace time.
    pub async fn run(&self, deployment: &Deployment) -> Vec<CallerResult> {
        let received = Rc::new(RefCell::new(Vec::new()));
        let started = Instant::now();
        let mut tasks = Vec::new();
        for (source, number) in self.sources.iter().zip(0_u64..) {
            let generator = RequestGenerator::new(self, deployment, source, number, started);
            let received = Rc::clone(&received);
            match source.arrivals {
                Arrivals::Open(rate) => {
                    tasks.push(compio::runtime::spawn(run_open_loop(
                        generator, rate, received,
                    )));
                }
                Arrivals::Backlog(outstanding) => {
                    let generator = Rc::new(RefCell::new(generator));
                    for _ in 0..outstanding {
                        let task = run_backlog(Rc::clone(&generator), Rc::clone(&received));
                        let end = self.duration;
                        tasks.push(compio::runtime::spawn(async move {
                            // The request in progress at the end is abandoned.
                            let _ = compio::time::timeout(end, task).await;
                        }));
                    }
                }
            }
        }
        let all = futures_util::future::join_all(tasks);
        // Requests that are still outstanding are missing from the results.
        let _ = compio::time::timeout(self.duration + self.grace, all).await;
        received.take()
    }
}

type Results = Rc<RefCell<Vec<CallerResult>>>;

/// Generates the requests of one source.
struct RequestGenerator {
    rng: SmallRng,
    started: Instant,
    duration: Duration,
    deadline: Duration,
    token_distribution: TokenDistribution,
    source: Source,
    router_choice: WeightedIndex<f64>,
    model: String,
    plain: String,
    id_prefix: String,
    number: u64,
}

impl RequestGenerator {
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
            token_distribution: load.token_distribution,
            router_choice: WeightedIndex::new(weights).expect("a source has routers"),
            source: source.clone(),
            model: deployment.model_service.clone(),
            plain: deployment.plain_service.clone(),
            id_prefix: format!("s{}-{number}", load.seed),
            number: 0,
        }
    }

    /// Draws a router by weight.
    fn draw_router(&mut self) -> SocketAddr {
        self.source.routers[self.router_choice.sample(&mut self.rng)].0
    }

    /// Draws the next request.
    fn next_request(&mut self) -> CallerRequest {
        self.number += 1;
        let id = format!("{}-{}", self.id_prefix, self.number);
        let mix = self.source.mix;
        let kind: f64 = self.rng.random();
        let mut request = CallerRequest::new(
            self.draw_router(),
            &id,
            &self.source.workspace,
            Operation::lookup(&self.plain, &id),
        )
        .with_deadline(self.deadline);
        if kind < mix.lookups {
            return request;
        }
        if kind < mix.lookups + mix.writes {
            request.operation = Operation::write(&self.plain, &id);
            if self.rng.random_bool(mix.keyed) {
                request.idempotency_key = Some(format!("key-{id}"));
            }
            return request;
        }
        let tokens = self.token_distribution.draw(&mut self.rng);
        request.hint = self.source.hint.draw(tokens, &mut self.rng);
        request.operation = Operation::Draft {
            service: self.model.clone(),
            prompt: hibiscusrail_standin::text::prompt(&id, tokens),
            stream: self.rng.random_bool(mix.streamed),
        };
        request
    }
}

/// Sends requests at random times until the load ends, and waits for the answers.
async fn run_open_loop(mut generator: RequestGenerator, rate: f64, received: Results) {
    let gaps = Exp::new(rate).expect("the rate is above zero");
    let mut at = Duration::ZERO;
    let mut tasks = Vec::new();
    loop {
        at += Duration::from_secs_f64(gaps.sample(&mut generator.rng));
        if at > generator.duration {
            break;
        }
        let request = generator.next_request();
        let routers: Vec<SocketAddr> = (1..MAX_ATTEMPTS).map(|_| generator.draw_router()).collect();
        compio::time::sleep(at.saturating_sub(generator.started.elapsed())).await;
        let received = Rc::clone(&received);
        tasks.push(compio::runtime::spawn(async move {
            send_with_retries(request, &routers, &received).await;
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
}

/// Keeps one request outstanding until it is cancelled.
async fn run_backlog(generator: Rc<RefCell<RequestGenerator>>, received: Results) {
    loop {
        let request = generator.borrow_mut().next_request();
        let result = send(&request).await;
        let right = result.ending == Ending::Right;
        received.borrow_mut().push(result);
        if !right {
            compio::time::sleep(REFUSAL_PAUSE).await;
        }
    }
}

/// Sends a request; retries one with an idempotency key while its outcome is unknown.
async fn send_with_retries(mut request: CallerRequest, routers: &[SocketAddr], received: &Results) {
    let mut routers = routers.iter();
    loop {
        let result = send(&request).await;
        let unknown = matches!(result.ending, Ending::Unknown | Ending::Cut | Ending::Lost);
        received.borrow_mut().push(result);
        if !unknown || request.idempotency_key.is_none() {
            return;
        }
        let Some(router) = routers.next() else {
            return;
        };
        request.router = *router;
        compio::time::sleep(RETRY_PAUSE).await;
    }
}
