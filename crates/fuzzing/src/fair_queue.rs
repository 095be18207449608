//! A single ideal fair queue: the oracle of fair service.
//!
//! All capacity is one fluid, shared at every moment among the backlogged
//! workspaces in proportion to their shares.

/// Work of one workspace.
#[derive(Debug, Clone)]
struct Work {
    share: f64,
    backlog: f64,
    served: f64,
}

/// The ideal queue.
#[derive(Debug, Clone)]
pub struct FairQueue {
    work: Vec<Work>,
}

impl FairQueue {
    /// Creates the queue for workspaces with the given shares.
    #[must_use]
    pub fn new(shares: &[f64]) -> Self {
        let work = shares.iter().map(|share| Work {
            share: *share,
            backlog: 0.0,
            served: 0.0,
        });
        Self {
            work: work.collect(),
        }
    }

    /// Adds `cost` to the backlog of a workspace.
    pub fn arrive(&mut self, workspace: usize, cost: f64) {
        self.work[workspace].backlog += cost;
    }

    /// Serves `amount` cost units, or less when less is there.
    pub fn serve(&mut self, amount: f64) {
        let mut left = amount;
        while left > 0.0 {
            let busy = self.work.iter().filter(|w| w.backlog > 0.0);
            let shares: f64 = busy.clone().map(|w| w.share).sum();
            let Some(least) = busy.map(|w| w.backlog / w.share).reduce(f64::min) else {
                return;
            };
            let portion = least.min(left / shares);
            for work in self.work.iter_mut().filter(|w| w.backlog > 0.0) {
                let cost = portion * work.share;
                work.served += cost;
                work.backlog -= cost;
                if work.backlog <= least * work.share * f64::EPSILON {
                    work.backlog = 0.0;
                }
            }
            left -= portion * shares;
            if portion < least {
                return;
            }
        }
    }

    /// Returns the service that a workspace has received.
    #[must_use]
    pub fn served(&self, workspace: usize) -> f64 {
        self.work[workspace].served
    }
}
