//! The metrics page lists what docs/METRICS.md says.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hibiscusrail_fleet::event::Exclusions;
use hibiscusrail_fleet::objects::Revision;
use hibiscusrail_fleet::rollout::order::{Bounds, Order};
use hibiscusrail_fleet::rollout::{Learner, Rollouts};
use hibiscusrail_front::metrics::Metrics;
use hibiscusrail_front::work::{Kind, LoopTotals, Work};
use hibiscusrail_net::server::AcceptEvent;

/// Returns the names of the metrics on a page.
fn page_names(page: &str) -> BTreeSet<String> {
    let types = page.lines().filter_map(|l| l.strip_prefix("# TYPE "));
    types
        .filter_map(|l| l.split(' ').next())
        .map(str::to_owned)
        .collect()
}

/// Returns the names in the first column of the daemon's table.
fn documented_names() -> BTreeSet<String> {
    let docs = include_str!("../../../../docs/METRICS.md");
    let (_, section) = docs
        .split_once("## `hibiscusrail-front`")
        .expect("the page has the section");
    let cells = section.lines().filter_map(|l| l.strip_prefix("| `"));
    let names = cells.filter_map(|l| l.split(" |").next());
    let names = names.flat_map(|cell| cell.split(", "));
    names.map(|n| n.trim_matches('`').to_owned()).collect()
}

/// Returns rollouts with one order.
fn rollouts() -> Rollouts {
    let bounds = Bounds {
        share: 0.1,
        slack: 50.0,
        rollback: Duration::from_secs(5),
        max_skew: Duration::from_secs(6),
    };
    let order = Order {
        version: 1,
        to: Some("v2".to_owned()),
        duration: Duration::from_secs(12),
    };
    let learner = Learner {
        router: 1,
        routers: 1,
        had_config: true,
    };
    let mut rollouts = Rollouts::new(Some(bounds));
    let orders = [("s".to_owned(), order)].into();
    rollouts.apply_orders(Instant::now(), Revision(1), &orders, &learner);
    rollouts
}

fn filled_metrics() -> String {
    let metrics = Metrics::new();
    metrics.request_ended("s", "answered", "", Duration::ZERO);
    metrics.workspace_request_ended("w", "answered", "");
    metrics.resume_ended("record", "answered", "");
    metrics.observe_first_byte("s", Duration::ZERO);
    metrics.servers_excluded(&Exclusions::default());
    metrics.attempt_failed("Broken");
    metrics.store_error("servers");
    metrics.accept_counter()(AcceptEvent::BatchFull);
    let work = Work::new(Instant::now());
    work.set_lag(
        Instant::now(),
        Duration::from_millis(200),
        LoopTotals::default(),
    );
    work.add(Kind::Refusal, Duration::from_micros(500));
    work.add(Kind::Refusal, Duration::from_micros(500));
    metrics.set_work(&work);
    metrics.set_rollouts(&rollouts());
    String::from_utf8(metrics.render(0, true, 1)).expect("it is text")
}

#[test]
fn metrics_are_documented() {
    assert_eq!(page_names(&filled_metrics()), documented_names());
}

#[test]
fn metrics_show_loop_work() {
    let page = filled_metrics();
    for line in [
        "hibiscusrail_loop_work_total{work=\"refusal\"} 2",
        "hibiscusrail_loop_work_seconds_total{work=\"refusal\"} 0.001",
        "hibiscusrail_loop_work_late_seconds_total{work=\"refusal\"} 0.4",
        "hibiscusrail_loop_work_total{work=\"start\"} 0",
    ] {
        assert!(page.lines().any(|l| l == line), "{line} is not in {page}");
    }
}
