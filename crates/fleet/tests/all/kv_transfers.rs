//! More requests with one shared prefix than the engine that has it cached can serve.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hibiscusrail_fleet::objects::{Revision, Servers};
use hibiscusrail_fleet::peers::Scope;
use hibiscusrail_fleet::{Decision, Event, Fleet, Outcome, Params, RequestKey, Submission};

use super::support::{self, ENGINES, backend, prompt, sent_to, submission};

/// Returns the id, address and transfer source of the engine that receives a request.
fn placement(decisions: &[Decision]) -> (String, SocketAddr, Option<SocketAddr>) {
    let send = decisions.iter().find_map(|d| match d {
        Decision::Send {
            id,
            address,
            source,
            ..
        } => Some((id.clone(), *address, *source)),
        _ => None,
    });
    send.expect("the request is sent")
}

/// Gives the preferred engine of prefix 7 a long prefill, and returns its id and address.
fn load_preferred(fleet: &mut Fleet, now: Instant) -> (String, SocketAddr) {
    let first = fleet.handle(now, Event::Submit(submission(1, 1, prompt(7, 30_000), now)));
    let (id, address, source) = placement(&first);
    assert_eq!(source, None, "no engine has the prefix yet");
    (id, address)
}

#[test]
fn submit_uncached_engine_transfers_from_preferred() {
    let now = Instant::now();
    let mut fleet = support::router("r", 9, now);
    let (preferred, address) = load_preferred(&mut fleet, now);
    let next = fleet.handle(now, Event::Submit(submission(2, 1, prompt(7, 500), now)));
    let (other, _, source) = placement(&next);
    assert_ne!(other, preferred);
    assert_eq!(source, Some(address));
    let tokens = next.iter().find_map(|d| match d {
        Decision::Send { inputs, .. } => Some((inputs.transferred, inputs.prefill_tokens)),
        _ => None,
    });
    assert_eq!(tokens, Some((5_000, 500)));
}

#[test]
fn submit_no_transfer_from_draining_engine() {
    let now = Instant::now();
    let mut fleet = support::router("r", 9, now);
    let (preferred, _) = load_preferred(&mut fleet, now);
    let mut servers = support::servers(9);
    let server = servers.get_mut(&preferred).expect("it is listed");
    server.leaving = true;
    fleet.handle(now, Event::Servers(Revision(2), servers));
    let next = fleet.handle(now, Event::Submit(submission(2, 1, prompt(7, 500), now)));
    assert_eq!(placement(&next).2, None);
}

#[test]
fn submit_transfer_within_zone_if_possible() {
    let now = Instant::now();
    let mut fleet = Fleet::new(
        "r",
        1,
        Params {
            ..support::params()
        },
        now,
    );
    fleet.handle(now, Event::Config(Revision(1), support::config(&[])));
    let mut servers = Servers::new();
    for number in 0..6 {
        let mut engine = backend(ENGINES, number);
        engine.zone = if number < 3 { "a" } else { "b" }.to_owned();
        servers.insert(format!("e{number}"), engine);
    }
    fleet.handle(now, Event::Servers(Revision(1), servers.clone()));
    support::hear_servers(&mut fleet, now);
    // Each engine receives one long prompt, until every zone has the prefix cached.
    let mut holders: Vec<(String, SocketAddr)> = Vec::new();
    for key in 0..6 {
        let decisions = fleet.handle(
            now,
            Event::Submit(submission(key, 1, prompt(7, 20_000), now)),
        );
        let (id, address, source) = placement(&decisions);
        if let Some(source) = source {
            let zone = &servers[&id].zone;
            let of = |address| holders.iter().find(|(_, a)| *a == address);
            let (from, _) = of(source).expect("the source has the prefix");
            let near = holders.iter().any(|(h, _)| servers[h].zone == *zone);
            assert!(!near || servers[from].zone == *zone, "{id} from {from}");
        }
        holders.push((id, address));
    }
}

#[test]
fn submit_no_transfer_of_short_prefix() {
    let now = Instant::now();
    let mut fleet = support::router("r", 9, now);
    let mut short = prompt(7, 30_000);
    short.parts[0].tokens = 200;
    let first = fleet.handle(now, Event::Submit(submission(1, 1, short.clone(), now)));
    let preferred = sent_to(&first).expect("engines are idle").to_owned();
    let next = fleet.handle(now, Event::Submit(submission(2, 1, short, now)));
    let (other, _, source) = placement(&next);
    assert_ne!(other, preferred);
    assert_eq!(source, None);
}

/// Returns two routers that both know that an engine with a long prefill has prefix 7.
fn routers_with_loaded_preferred(now: Instant) -> (Fleet, Fleet) {
    let mut first = support::router("first", 9, now);
    let mut second = support::router("second", 9, now);
    load_preferred(&mut first, now);
    let report = first.report(now, Scope::All);
    second.handle(now, Event::Report(report));
    (first, second)
}

/// Returns a request that takes up the stream of [`submission`] 2 at another router.
fn take_up(now: Instant) -> Submission {
    Submission {
        version: Some("v1".to_owned()),
        ..submission(2, 1, prompt(7, 500), now)
    }
}

// Guards against a transfer that two routers request for one stream, whose caller takes it up at the
// second one while the first one still has it (report 6): the report of the placement prevents it.
#[test]
fn take_up_at_other_router_requests_no_second_transfer() {
    let now = Instant::now();
    let (mut first, mut second) = routers_with_loaded_preferred(now);
    let sent = first.handle(now, Event::Submit(submission(2, 1, prompt(7, 500), now)));
    let (id, _, source) = placement(&sent);
    assert!(source.is_some(), "the first router requests a transfer");
    let report = first.incremental_report(now);
    second.handle(now, Event::Report(report.expect("it placed a prompt")));
    let sent = second.handle(now, Event::Submit(take_up(now)));
    let (other, _, source) = placement(&sent);
    assert!(other != id || source.is_none(), "{other} fetches it again");
}

// The same with the report lost: each router requests at most one transfer, with the request that it
// sends, and both from the engine that has the prefix.
#[test]
fn take_up_without_report_requests_one_transfer_for_each_router() {
    let now = Instant::now();
    let (mut first, mut second) = routers_with_loaded_preferred(now);
    let requests = [submission(2, 1, prompt(7, 500), now), take_up(now)];
    let mut sources = Vec::new();
    for (router, request) in [&mut first, &mut second].into_iter().zip(requests) {
        let sent = router.handle(now, Event::Submit(request));
        let later = now + Duration::from_millis(500);
        let all = sent.into_iter().chain(router.handle(later, Event::Tick));
        let found = all.filter_map(|d| match d {
            Decision::Send { source, .. } => source,
            _ => None,
        });
        let found: Vec<SocketAddr> = found.collect();
        assert!(found.len() <= 1, "{found:?}");
        sources.extend(found);
    }
    sources.dedup();
    assert_eq!(sources.len(), 1, "{sources:?}");
}

// Guards against a second transfer to the engine that has fetched the prefix, when a stream breaks there
// and goes on.
#[test]
fn broken_stream_requests_no_second_transfer_to_its_engine() {
    let now = Instant::now();
    let mut fleet = support::router("r", 9, now);
    load_preferred(&mut fleet, now);
    let sent = fleet.handle(now, Event::Submit(submission(2, 1, prompt(7, 500), now)));
    let (id, _, source) = placement(&sent);
    assert!(source.is_some());
    fleet.handle(now, Event::FirstByte(RequestKey(2)));
    let again = fleet.handle(now, Event::Ended(RequestKey(2), Outcome::Broken));
    let (other, _, source) = placement(&again);
    assert!(other != id || source.is_none(), "{other} fetches it again");
}
