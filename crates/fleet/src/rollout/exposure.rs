//! Bound on the requests that a router sends to a version which is being rolled out.
//!
//! Each router counts only its own requests, so the bound holds for all of them together without any
//! messages, whatever they know of each other.

/// Requests of this router to a service since it knew the order.
#[derive(Debug, Clone)]
pub struct Exposure {
    sent: u64,
    sent_new: u64,
    /// Requests to the new version beyond the share.
    credit: f64,
    /// Requests by which the first one to the new version is delayed.
    offset: f64,
}

impl Exposure {
    /// Creates the count of a router that may send `credit` requests beyond the share, and holds
    /// back the first one by `offset` so that not all routers send theirs at once.
    #[must_use]
    pub fn new(credit: f64, offset: f64) -> Self {
        Self {
            sent: 0,
            sent_new: 0,
            credit,
            offset,
        }
    }

    /// Returns whether the next request may go to the new version, which gets `share` of all.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn allows(&self, share: f64) -> bool {
        let next = (self.sent + 1) as f64 * share + self.credit - self.offset;
        (self.sent_new + 1) as f64 <= next
    }

    /// Counts a request that is being sent.
    pub fn record_sent(&mut self, is_new: bool) {
        self.sent += 1;
        self.sent_new += u64::from(is_new);
    }

    /// Takes a request of which no byte was sent off the service's; it still counts for the version.
    pub fn record_unsent(&mut self) {
        self.sent = self.sent.saturating_sub(1);
    }

    /// Returns the requests to the service and those of them to the new version.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        (self.sent, self.sent_new)
    }
}
