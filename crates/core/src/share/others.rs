//! Service that other dispatchers gave to one flow, with bounded changes.

/// Number of consecutive lower reports after which a lower sum is accepted.
const MIN_LOWER_REPORTS: u32 = 3;

/// Service that other dispatchers gave to a flow, as it counts for the order of flows.
///
/// One report changes the counted service by a bounded amount. A sum that permanently falls by
/// more, because an account holder restarted without its state, becomes the new base. Service
/// beyond the bound that routers report after a network partition is never counted.
#[derive(Debug, Default)]
pub struct RemoteCost {
    counted: f64,
    /// Difference between the counted service and the reported sum.
    base: Option<f64>,
    /// Number of consecutive reports that were too low.
    lower: u32,
}

impl RemoteCost {
    /// Returns the counted service, in cost units.
    #[must_use]
    pub fn counted(&self) -> f64 {
        self.counted
    }

    /// Updates the counted service from a reported sum, by `max_change` at most.
    pub fn report(&mut self, sum: f64, max_change: f64) {
        let base = *self.base.get_or_insert(self.counted - sum);
        let target = sum + base;
        if target < self.counted - max_change {
            self.lower += 1;
            if self.lower >= MIN_LOWER_REPORTS {
                self.base = Some(self.counted - sum);
                self.lower = 0;
            }
            return;
        }
        self.lower = 0;
        let next = target.min(self.counted + max_change);
        self.base = Some(base - (target - next));
        self.counted = next;
    }
}
