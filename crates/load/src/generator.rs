//! Open-loop load: requests start at times drawn beforehand, whatever comes back.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hibiscusrail_macros::record;
use http::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

use crate::client::{Ask, Received, Sending, send};
use crate::deployment::Deployment;

/// A load on a deployment.
#[record]
pub struct Load {
    /// Seed of all draws.
    pub seed: u64,
    /// Requests per second.
    pub rate: f64,
    /// How long requests are started.
    pub duration: Duration,
    /// Fraction of plain lookups.
    pub plain: f64,
    /// Median of the tokens of a draft; the distribution is log-normal.
    pub tokens: f64,
    /// Deadline of every request.
    pub deadline: Duration,
}

/// Spread of the log-normal distribution of costs.
const COST_SIGMA: f64 = 0.8;

impl Load {
    /// Draws one request.
    fn draw(&self, deployment: &Deployment, rng: &mut SmallRng, number: u64) -> Sending {
        let workspace = &deployment.workspaces[rng.random_range(0..deployment.workspaces.len())];
        let router = &deployment.routers[rng.random_range(0..deployment.routers.len())];
        let id = format!("r{}-{number}", self.seed);
        let ask = if rng.random_bool(self.plain) {
            Ask::Plain {
                method: Method::GET,
                path: format!("/{}/record/{number}", deployment.plain),
            }
        } else {
            let tokens = LogNormal::new(self.tokens.ln(), COST_SIGMA)
                .expect("the spread is a positive number")
                .sample(rng);
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let tokens = tokens.clamp(1.0, 2_000.0) as u64;
            Ask::Draft {
                service: deployment.model.clone(),
                prompt: hibiscusrail_standin::text::prompt(&id, tokens),
                stream: rng.random_bool(0.5),
            }
        };
        Sending {
            router: router.listen,
            id,
            workspace: workspace.name.clone(),
            key: workspace.key(),
            ask,
            idempotency: None,
            deadline: self.deadline,
        }
    }

    /// Sends the load and returns what came back, in order of arrival.
    ///
    /// # Panics
    ///
    /// When the rate is not above zero.
    pub async fn run(&self, deployment: &Deployment) -> Vec<Received> {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let gaps = Exp::new(self.rate).expect("the rate is above zero");
        let received = Rc::new(RefCell::new(Vec::new()));
        let mut tasks = Vec::new();
        let started = Instant::now();
        let mut at = Duration::ZERO;
        let mut number = 0;
        loop {
            at += Duration::from_secs_f64(gaps.sample(&mut rng));
            if at > self.duration {
                break;
            }
            let sending = self.draw(deployment, &mut rng, number);
            number += 1;
            let wait = at.saturating_sub(started.elapsed());
            compio::time::sleep(wait).await;
            let received = Rc::clone(&received);
            tasks.push(compio::runtime::spawn(async move {
                let result = send(&sending).await;
                received.borrow_mut().push(result);
            }));
        }
        for task in tasks {
            // A task that panicked leaves its request out; the count shows it.
            let _ = task.await;
        }
        received.take()
    }
}
