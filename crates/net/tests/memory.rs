//! Who gives way while memory is short.

use std::sync::Arc;
use std::task::Context;
use std::time::{Duration, Instant};

use futures_util::task::noop_waker_ref;
use hibiscusrail_net::memory::{
    Account, Budget, Candidate, Decision, MemoryShort, WriteState, decide,
};

fn candidate(id: u64, held: usize, idle_ms: u64) -> Candidate {
    let idle = Duration::from_millis(idle_ms);
    Candidate { id, held, idle }
}

/// Guards against a crowd whose bodies stop short and keep all others out.
#[test]
fn decide_stalled_largest_gives_way_first() {
    let all = vec![
        candidate(1, 100, 2_000),
        candidate(2, 400, 2_000),
        candidate(3, 900, 10),
    ];
    assert_eq!(decide(all.clone(), 300), Decision::Evict(vec![2]));
    assert_eq!(decide(all, 450), Decision::Evict(vec![2, 1]));
}

/// Guards against bodies that displace one another, so that none completes.
#[test]
fn decide_moving_bodies_are_kept() {
    let all = vec![candidate(1, 900, 10), candidate(2, 100, 2_000)];
    assert_eq!(decide(all, 300), Decision::Refuse);
}

/// Guards against memory that is never released, and against double release after an eviction.
#[test]
fn account_eviction_and_drop_release_once() {
    let (budget, start) = (Arc::new(Budget::new(1_000)), Instant::now());
    let mut first = Account::for_request(&budget);
    assert_eq!(first.resize(start, 800), Ok(()));
    let mut second = Account::for_request(&budget);
    assert_eq!(second.resize(start, 300), Err(MemoryShort));
    assert_eq!(second.resize(start + Duration::from_secs(2), 300), Ok(()));
    assert_eq!((budget.held(), budget.evictions()), (300, 1));
    assert_eq!(first.resize(start, 900), Err(MemoryShort));
    drop(first);
    let body = second.into_bytes(vec![1; 300]);
    assert_eq!(budget.held(), 300);
    drop(body);
    assert_eq!(budget.held(), 0);
}

/// Guards against a body of a request that is at a server being given up.
#[test]
fn account_complete_body_is_not_evicted() {
    let (budget, start) = (Arc::new(Budget::new(1_000)), Instant::now());
    let mut first = Account::for_request(&budget);
    assert_eq!(first.resize(start, 800), Ok(()));
    let _body = first.into_bytes(vec![1; 800]);
    let mut second = Account::for_request(&budget);
    let later = start + Duration::from_secs(9);
    assert_eq!(second.resize(later, 300), Err(MemoryShort));
}

/// Guards against responses that their clients don't read and that keep all others out, and against
/// the eviction of one whose client reads.
#[test]
fn account_unread_response_gives_way_after_some_seconds() {
    let (budget, start) = (Arc::new(Budget::new(1_000)), Instant::now());
    let cx = Context::from_waker(noop_waker_ref());
    let [unread, read] = [(); 2].map(|()| Arc::<WriteState>::default());
    let response = |reader: &Arc<WriteState>| {
        let account = Account::for_response(&budget).with_reader(Some(Arc::clone(reader)));
        let mut account = account;
        assert_eq!(account.resize(start, 400), Ok(()));
        account.into_bytes(vec![1; 400])
    };
    let (_first, _second) = (response(&unread), response(&read));
    for reader in [&unread, &read] {
        assert!(!reader.poll_blocked(start, &cx));
    }
    let soon = start + Duration::from_secs(2);
    let mut other = Account::for_request(&budget);
    assert_eq!(other.resize(soon, 500), Err(MemoryShort));
    read.advance();
    assert!(!read.poll_blocked(soon, &cx));
    let later = start + Duration::from_secs(4);
    assert_eq!(other.resize(later, 500), Ok(()));
    assert!(unread.poll_blocked(later, &cx));
    assert!(!read.poll_blocked(later, &cx));
    assert_eq!((budget.held(), budget.evictions()), (900, 1));
}
