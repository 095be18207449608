//! Max-min fair shares of throughput.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::quota::{Quota, WorkspaceHash};
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(4);
const SMALL: WorkspaceHash = WorkspaceHash(1);
const LARGE: WorkspaceHash = WorkspaceHash(2);

#[test]
fn share_status_small_demand_is_met() {
    let now = Instant::now();
    let mut quota = Quota::new(WINDOW);
    quota.add_requested(now, SMALL, 1_000.0);
    quota.add_requested(now, LARGE, 1_000_000.0);
    quota.add_admitted(now, SMALL, 900.0);
    quota.add_admitted(now, LARGE, 50_000.0);
    assert!(quota.share_status(now, SMALL, 10_000.0).is_within());
    assert!(!quota.share_status(now, LARGE, 10_000.0).is_within());
}

#[test]
fn usage_counts_window_and_pending() {
    let now = Instant::now();
    let mut quota = Quota::new(WINDOW);
    quota.add_requested(now, SMALL, 1_000.0);
    quota.add_admitted(now, SMALL, 400.0);
    quota.add_pending(SMALL, 100.0);
    quota.add_admitted(now, LARGE, 50_000.0);
    let usage = quota.usage(now, SMALL);
    assert_eq!(
        [usage.requested, usage.received, usage.most_received].map(f64::to_bits),
        [1_000.0, 500.0, 50_000.0].map(f64::to_bits)
    );
    let later = quota.usage(now + WINDOW, SMALL);
    assert_eq!(
        [later.requested, later.received].map(f64::to_bits),
        [0.0, 100.0].map(f64::to_bits)
    );
}

#[test]
fn share_status_unused_share_goes_to_larger_demand() {
    let now = Instant::now();
    let mut quota = Quota::new(WINDOW);
    quota.add_requested(now, SMALL, 1_000.0);
    quota.add_requested(now, LARGE, 1_000_000.0);
    // 40,000 tokens in a window minus the 1,000 of the small workspace.
    quota.add_admitted(now, LARGE, 38_000.0);
    assert!(quota.share_status(now, LARGE, 10_000.0).is_within());
    quota.add_admitted(now, LARGE, 1_000.0);
    assert!(!quota.share_status(now, LARGE, 10_000.0).is_within());
}

#[test]
fn share_status_within_while_all_demand_fits() {
    let now = Instant::now();
    let mut quota = Quota::new(WINDOW);
    quota.add_requested(now, LARGE, 39_000.0);
    quota.add_admitted(now, LARGE, 39_000.0);
    assert!(quota.share_status(now, LARGE, 10_000.0).is_within());
}

#[test]
fn share_status_idle_time_earns_no_credit() {
    let start = Instant::now();
    let mut quota = Quota::new(WINDOW);
    let later = start + Duration::from_secs(60);
    quota.add_requested(later, SMALL, 100_000.0);
    quota.add_requested(later, LARGE, 100_000.0);
    quota.add_admitted(later, SMALL, 20_000.0);
    assert!(!quota.share_status(later, SMALL, 10_000.0).is_within());
}

#[test]
fn share_status_old_tokens_leave_window() {
    let start = Instant::now();
    let mut quota = Quota::new(WINDOW);
    quota.add_requested(start, LARGE, 100_000.0);
    quota.add_admitted(start, LARGE, 100_000.0);
    let later = start + WINDOW + Duration::from_millis(1);
    quota.add_requested(later, LARGE, 100_000.0);
    assert!(quota.share_status(later, LARGE, 10_000.0).is_within());
}

proptest! {
    /// The tokens that workspaces receive within their shares add up to the throughput or, if that
    /// is less, to the total demand. No workspace is limited before one that requests more.
    #[test]
    fn share_status_shares_add_up_to_throughput(asked in prop::collection::vec(1.0_f64..1e6, 1..20)) {
        let now = Instant::now();
        let throughput = 50_000.0;
        let capacity = throughput * WINDOW.as_secs_f64();
        let mut taken = 0.0;
        for (who, demand) in asked.iter().enumerate() {
            let mut quota = Quota::new(WINDOW);
            for (other, demand) in asked.iter().enumerate() {
                quota.add_requested(now, WorkspaceHash(other as u64), *demand);
            }
            let who = WorkspaceHash(who as u64);
            // Steps of a thousandth of the capacity until the share is used up.
            let step = capacity / 1_000.0;
            let mut got = 0.0;
            while got < *demand && quota.share_status(now, who, throughput).is_within() {
                quota.add_admitted(now, who, step);
                got += step;
            }
            taken += got.min(*demand);
        }
        let demand: f64 = asked.iter().sum();
        let slack = capacity / 1_000.0 * asked.len() as f64;
        prop_assert!(taken <= demand.min(capacity) + slack);
        prop_assert!(taken >= demand.min(capacity) - slack);
    }
}

#[test]
fn pending_tokens_count_until_they_fail() {
    let now = Instant::now();
    let mut quota = Quota::new(WINDOW);
    quota.add_requested(now, LARGE, 200_000.0);
    quota.add_pending(LARGE, 100_000.0);
    assert!(!quota.share_status(now, LARGE, 10_000.0).is_within());
    quota.add_pending(LARGE, -100_000.0);
    assert!(quota.share_status(now, LARGE, 10_000.0).is_within());
}
