//! Ideal fair queue (fluid generalized processor sharing): the oracle of fair service.
//!
//! At every moment, capacity is divided among the backlogged workspaces in
//! proportion to their shares.

/// Queue of one workspace, in cost units.
#[derive(Debug, Clone)]
struct Queue {
    share: f64,
    backlog: f64,
    served: f64,
}

/// Ideal fair queue of several workspaces.
#[derive(Debug, Clone)]
pub struct FairQueue {
    queues: Vec<Queue>,
}

impl FairQueue {
    /// Creates the queue for workspaces with the given shares.
    #[must_use]
    pub fn new(shares: &[f64]) -> Self {
        let queues = shares.iter().map(|share| Queue {
            share: *share,
            backlog: 0.0,
            served: 0.0,
        });
        Self {
            queues: queues.collect(),
        }
    }

    /// Adds `cost` to the backlog of a workspace.
    pub fn enqueue(&mut self, workspace: usize, cost: f64) {
        self.queues[workspace].backlog += cost;
    }

    /// Serves `amount` cost units, or the whole backlog if that is less.
    pub fn serve(&mut self, amount: f64) {
        let mut remaining = amount;
        while remaining > 0.0 {
            let backlogged = self.queues.iter().filter(|q| q.backlog > 0.0);
            let shares: f64 = backlogged.clone().map(|q| q.share).sum();
            // Service per share after which the first backlog is empty.
            let Some(shortest) = backlogged.map(|q| q.backlog / q.share).reduce(f64::min) else {
                return;
            };
            let per_share = shortest.min(remaining / shares);
            for queue in self.queues.iter_mut().filter(|q| q.backlog > 0.0) {
                let cost = per_share * queue.share;
                queue.served += cost;
                queue.backlog -= cost;
                if queue.backlog <= shortest * queue.share * f64::EPSILON {
                    queue.backlog = 0.0;
                }
            }
            remaining -= per_share * shares;
            if per_share < shortest {
                return;
            }
        }
    }

    /// Returns the service that a workspace has received, in cost units.
    #[must_use]
    pub fn served(&self, workspace: usize) -> f64 {
        self.queues[workspace].served
    }
}
