//! Rollouts of a version, from the operator's order to the status row in the store.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hibiscusrail_fleet::Event;
use hibiscusrail_fleet::freshness::{Confirmation, Source};
use hibiscusrail_fleet::objects::Revision;
use hibiscusrail_fleet::rollout::order::{Order, State, Status};
use hibiscusrail_front::rollouts::{RolloutRows, follow_rollouts};

use super::support::{Act, Front, Server, full_response, run, status, wait_until};
use super::tables::Tables;

const SERVICE: &str = "plain";
/// Version of the order's row.
const ORDER: u64 = 2;
/// Time limit of the order.
const LIMIT: Duration = Duration::from_secs(4);
/// Time by which a rollout ends whatever the store does: four slow calls and the limit.
const END: Duration = Duration::from_secs(20);
/// Time in which a router that has nothing left to write would write again.
const QUIET: Duration = Duration::from_millis(500);

/// Starts a router with an old and a new server that follows the rollouts of the tables.
fn start(tables: &Rc<Tables>, new: &Server) -> Front {
    let old = Server::start(vec![Act::Write(full_response("200 OK", "old"))]);
    let front = Front::start_with_rollouts(&[&old, new]);
    let revision = Revision(1);
    front.shell.handle(Event::ConfigConfirmed(Confirmation {
        revision,
        complete: revision,
        at: front.shell.now(),
        source: Source::Store,
    }));
    let following = follow_rollouts(Rc::clone(&front.shell), Rc::clone(tables));
    compio::runtime::spawn(following).detach();
    front
}

/// Writes the order to roll out version 2, whose server is registered.
fn order(front: &Front, tables: &Tables) {
    let order = Order {
        version: ORDER,
        to: Some("v2".to_owned()),
        duration: LIMIT,
    };
    let rows = RolloutRows {
        order: Some(ORDER),
        ..RolloutRows::default()
    };
    let mut rollouts = tables.rollouts.borrow_mut();
    rollouts.insert(SERVICE.to_owned(), rows);
    let mut config = front.shell.with_fleet(|f| f.config().clone());
    config.rollouts.insert(SERVICE.to_owned(), order);
    front.shell.handle(Event::Config(Revision(ORDER), config));
    front.set_service_versions(SERVICE, &["v1", "v2"]);
}

/// Sends requests until the router holds the rollout for ended, and for a while after it; returns
/// the number of responses of the new version before its end.
async fn serve(front: &Front) -> u64 {
    let started = Instant::now();
    let mut ended = None;
    let mut responses = 0;
    while ended.is_none_or(|at: Instant| at.elapsed() < QUIET) {
        assert!(started.elapsed() < END, "the rollout ends");
        assert_ne!(status(&front.call("/again/x", "").await), 0);
        front.shell.handle(Event::Tick);
        let state = state(front);
        if ended.is_none() {
            responses = new_responses(front);
            ended = state.is_some_and(State::is_final).then(Instant::now);
        }
    }
    responses
}

fn state(front: &Front) -> Option<State> {
    front.shell.with_fleet(|f| f.rollouts().state(SERVICE))
}

fn new_responses(front: &Front) -> u64 {
    front.shell.with_fleet(|f| {
        let counts = f.rollouts().counts().find(|(name, _)| *name == SERVICE);
        counts.map_or(0, |(_, [_, new])| new.responses)
    })
}

fn good_server() -> Server {
    Server::start(vec![Act::Write(full_response("200 OK", "new"))])
}

fn bad_server() -> Server {
    let response = full_response("500 Internal Server Error", "new");
    Server::start(vec![Act::Write(response)])
}

// Guards against a rollout that never ends, or whose final state is written twice.
#[test]
fn rollout_ends_with_one_final_state() {
    run(async {
        let cases = [
            (good_server(), State::Completed),
            (bad_server(), State::Reverted),
        ];
        for (server, end) in cases {
            let tables = Rc::new(Tables::default());
            let front = start(&tables, &server);
            assert_eq!(status(&front.call("/again/x", "").await), 200);
            assert!(server.received().is_empty() && tables.rollouts.borrow().is_empty());
            order(&front, &tables);
            // The bad version is found at once, and the first state is not written after the final one.
            wait_until(|| !tables.rollout_states.borrow().is_empty()).await;
            let responses = serve(&front).await;
            let rows = tables.rollouts.borrow();
            let written = rows[SERVICE].status.as_ref().expect("it was written");
            assert_eq!(
                state(&front),
                Some(end),
                "{written:?}, {responses} responses"
            );
            assert!(responses > 0, "evidence of the new version");
            assert_eq!(*tables.rollout_states.borrow(), [State::InProgress, end]);
            assert_eq!((written.order, written.to.as_str()), (ORDER, "v2"));
        }
    });
}

// Guards against a state that is written again because the answer to its write was lost.
#[test]
fn rollout_adopts_own_write_whose_answer_is_lost() {
    run(async {
        let tables = Rc::new(Tables::default());
        let server = bad_server();
        let front = start(&tables, &server);
        tables.lost_answers.set(2);
        order(&front, &tables);
        wait_until(|| !tables.rollout_states.borrow().is_empty()).await;
        serve(&front).await;
        assert_eq!(tables.lost_answers.get(), 0);
        assert_eq!(state(&front), Some(State::Reverted));
        let states = tables.rollout_states.borrow();
        let finals = states.iter().filter(|s| s.is_final());
        assert_eq!(finals.count(), 1, "{states:?}");
    });
}

// Guards against a rollout that never ends at a store that takes 2 s for each call, or that gets a
// second final state there.
#[test]
fn rollout_ends_at_slow_store() {
    run(async {
        let tables = Rc::new(Tables::default());
        let server = bad_server();
        let front = start(&tables, &server);
        tables.delay.set(Duration::from_secs(2));
        order(&front, &tables);
        serve(&front).await;
        assert_eq!(state(&front), Some(State::Reverted));
        let states = tables.rollout_states.borrow();
        let finals = states.iter().filter(|s| s.is_final());
        assert_eq!(finals.count(), 1, "{states:?}");
    });
}

// Guards against a version whose servers refuse connections and which goes into service, as the old
// ones take the requests.
#[test]
fn rollout_of_refusing_server_is_reverted() {
    run(async {
        let tables = Rc::new(Tables::default());
        let server = Server::unreachable();
        let front = start(&tables, &server);
        order(&front, &tables);
        // The server is left alone after a few refusals, so that one router has little evidence.
        let responses = serve(&front).await;
        assert!(responses > 0, "the refusals are evidence");
        assert_eq!(state(&front), Some(State::Reverted));
    });
}

// Guards against a router that replaces the final state which another one wrote after its read.
#[test]
fn rollout_adopts_final_state_of_faster_router() {
    run(async {
        let tables = Rc::new(Tables::default());
        let server = good_server();
        let front = start(&tables, &server);
        tables.rival.replace(Some(Status {
            order: ORDER,
            to: "v2".to_owned(),
            state: State::Reverted,
            reason: "failures".to_owned(),
            started: front.shell.epoch_ms(),
            barred: BTreeSet::new(),
        }));
        order(&front, &tables);
        serve(&front).await;
        assert_eq!(state(&front), Some(State::Reverted));
        assert!(tables.rollout_states.borrow().is_empty());
    });
}

// Guards against a state written for an order that the operator replaced after it was read.
#[test]
fn rollout_of_replaced_order_writes_nothing() {
    run(async {
        let tables = Rc::new(Tables::default());
        let server = good_server();
        let front = start(&tables, &server);
        tables.next_order.set(Some(ORDER + 1));
        order(&front, &tables);
        wait_until(|| tables.next_order.get().is_none()).await;
        compio::time::sleep(QUIET).await;
        assert!(tables.rollout_states.borrow().is_empty());
    });
}
