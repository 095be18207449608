//! Requests of the fault tests, what is wrong with their responses, and what became of those without
//! one.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::faults::{Answer, Client, EVENTS, Server, Unanswered};

/// Routes of the deployment under test.
pub const ROUTES: [&str; 3] = ["again", "once", "stream"];
/// Time after its last byte in which a request that crosses the close of its connection may end
/// without an answer, if no server has got it.
const CROSSING_TIME: Duration = Duration::from_millis(200);

/// A request and what its client got.
#[derive(Debug)]
pub struct Call {
    /// Id of the request.
    pub id: String,
    /// Name of its route.
    pub route: &'static str,
    /// Number of the router that it was sent to.
    pub router: usize,
    /// What its client got.
    pub answer: Answer,
    /// When its connection was opened.
    pub opened: Instant,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
}

impl Call {
    /// Sends a request on the connection of `client`.
    pub fn send(
        client: &mut Client,
        router: usize,
        route: &'static str,
        id: String,
        key: &str,
    ) -> Self {
        let sent = Instant::now();
        let answer = client.call(&format!("/{route}/"), &id, key);
        Self {
            id,
            route,
            router,
            answer,
            opened: client.opened(),
            sent,
            ended: Instant::now(),
        }
    }

    /// Returns whether the connection ended without a complete response, though the router had the
    /// whole request: a server has got it, or it did not just cross the close of the connection.
    #[must_use]
    pub fn is_lost(&self, runs: usize) -> bool {
        match self.answer {
            Answer::None(Unanswered::Closed(after)) => runs > 0 || after > CROSSING_TIME,
            Answer::Broken(..) => true,
            Answer::None(_) | Answer::Complete(..) => false,
        }
    }
}

/// Returns how often servers have got each request.
#[must_use]
pub fn count_runs(servers: &[Server]) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for arrival in servers.iter().flat_map(Server::arrivals) {
        *runs.entry(arrival.id).or_default() += 1;
    }
    runs
}

/// Prints for each route how many requests ended in which way.
pub fn print_summary(name: &str, calls: &[Call], runs: &BTreeMap<String, usize>) {
    let runs = |c: &Call| runs.get(&c.id).copied().unwrap_or(0);
    for route in ROUTES {
        let count = |is_counted: &dyn Fn(&Call) -> bool| {
            let of_route = calls.iter().filter(|c| c.route == route);
            of_route.filter(|c| is_counted(c)).count()
        };
        let ended = |how: fn(Unanswered) -> bool, got: bool| {
            count(&|c| matches!(c.answer, Answer::None(u) if how(u)) && (runs(c) > 0) == got)
        };
        let closed = |u: Unanswered| matches!(u, Unanswered::Closed(_));
        let crossed = |u: Unanswered| matches!(u, Unanswered::Closed(t) if t <= CROSSING_TIME);
        println!(
            "{name}: {route}: {} requests, {} served, {} refused, {} other responses, {} broken \
             off, {} sent again; no response: {} not connected, {} not sent, {} given up, {} closed \
             after a server had them, {} closed before ({} of them within {CROSSING_TIME:?})",
            count(&|_| true),
            count(&|c| matches!(c.answer, Answer::Complete(200, _))),
            count(&|c| c.answer.is_refusal()),
            count(&|c| matches!(c.answer, Answer::Complete(s, _) if s != 200)
                && !c.answer.is_refusal()),
            count(&|c| matches!(c.answer, Answer::Broken(..))),
            count(&|c| runs(c) > 1),
            count(&|c| c.answer == Answer::None(Unanswered::Unconnected)),
            count(&|c| c.answer == Answer::None(Unanswered::Unsent)),
            count(&|c| c.answer == Answer::None(Unanswered::GivenUp)),
            ended(closed, true),
            ended(closed, false),
            ended(crossed, false),
        );
    }
}

/// Returns what is wrong with a response.
#[must_use]
pub fn check_answer(call: &Call, runs: usize) -> Option<String> {
    let Call {
        id, route, answer, ..
    } = call;
    if *route == "once" && runs > 1 {
        return Some(format!("{id} ran {runs} times"));
    }
    if answer.is_refusal() && runs > 0 {
        return Some(format!("{id} was refused and ran {runs} times: {answer:?}"));
    }
    let (Answer::Complete(status, body) | Answer::Broken(status, body)) = answer else {
        return None;
    };
    if *status == 0 {
        return Some(format!("{id} got the response of another request"));
    }
    if *status != 200 {
        return None;
    }
    let is_complete = matches!(answer, Answer::Complete(..));
    if *route == "stream" {
        return check_events(id, body, is_complete);
    }
    let expected = format!("response to {id}\n");
    let is_right = if is_complete {
        *body == expected
    } else {
        expected.starts_with(body.as_str())
    };
    (!is_right).then(|| format!("{id} got {body:?}"))
}

/// Returns what is wrong with the events of a stream, which may break off if it is not complete.
fn check_events(id: &str, body: &str, is_complete: bool) -> Option<String> {
    let events: Vec<&str> = body.split("\n\n").collect();
    // What follows the last blank line is not an event.
    let (rest, events) = events.split_last()?;
    let mut next = 1;
    let mut is_done = false;
    for event in events {
        if *event == "data: [DONE]" {
            is_done = true;
            continue;
        }
        if is_done || *event != format!("id: {next}\ndata: {id}") {
            return Some(format!("{id} got {event:?} in place of event {next}"));
        }
        next += 1;
    }
    let ended = is_done && next == EVENTS + 1 && rest.is_empty();
    (is_complete && !ended).then(|| format!("{id} ended before event {next}: {body:?}"))
}
