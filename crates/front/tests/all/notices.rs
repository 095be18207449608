//! Responses in which a server says that it leaves, wants a pause or accepts only so many requests.

use std::time::{Duration, Instant};

use hibiscusrail_fleet::objects::Revision;
use hibiscusrail_front::watch::{Registration, RouterTable, TableRead};

use super::support::{Act, Front, STREAM_END, STREAM_HEAD, Server, chunk, header, run, status};

/// Returns a response with an additional header line.
fn with_header(response: &str, line: &str) -> String {
    response.replacen("\r\n", &format!("\r\n{line}\r\n"), 1)
}

fn rejected(line: &str) -> String {
    let head = "HTTP/1.1 503 Service Unavailable\r\nx-id: {id}\r\nx-not-run: 1\r\n";
    format!("{head}{line}\r\ncontent-length: 0\r\n\r\n")
}

/// Sends `count` requests to a router with one server, which gives every request the same
/// response, and returns the last response and the number of requests that the server received.
async fn repeat_call(path: &str, response: String, count: usize) -> (String, usize) {
    let server = Server::start(vec![Act::Write(response)]);
    let front = Front::start(&[&server]);
    let mut last = String::new();
    for _ in 0..count {
        last = front.call(path, "").await;
    }
    (last, server.received().len())
}

#[test]
fn leaving_server_in_full_response_receives_nothing_more() {
    run(async {
        let response = super::support::full_response("200 OK", "body");
        let response = with_header(&response, "x-leaving: 1");
        let (last, received) = repeat_call("/once/x", response, 2).await;
        assert_eq!((status(&last), received), (503, 1));
    });
}

#[test]
fn leaving_server_in_stream_receives_nothing_more() {
    run(async {
        let events = chunk("id: 1\ndata: 1\n\n");
        let response = with_header(STREAM_HEAD, "x-leaving: 1") + &events + STREAM_END;
        let (last, received) = repeat_call("/stream/x", response, 2).await;
        assert_eq!((status(&last), received), (503, 1));
    });
}

#[test]
fn misdirected_response_says_nothing_of_the_server() {
    run(async {
        let text = "HTTP/1.1 421 Misdirected Request\r\nx-leaving: 1\r\ncontent-length: 0\r\n\r\n";
        let server = Server::start(vec![
            Act::Write(text.to_owned()),
            Act::Write(super::support::full_response("200 OK", "body")),
        ]);
        let front = Front::start(&[&server]);
        front.call("/once/x", "").await;
        assert_eq!(status(&front.call("/once/x", "").await), 200);
    });
}

#[test]
fn pause_of_only_server_refuses_with_rest_of_pause() {
    run(async {
        let (last, received) = repeat_call("/once/x", rejected("retry-after: 1.5"), 3).await;
        assert_eq!((status(&last), received), (503, 1));
        let wait = header(&last, "retry-after").expect("the refusal says when to come back");
        let wait: f64 = wait.parse().expect("a number of seconds");
        assert!((1.0..=1.5).contains(&wait), "{wait}");
    });
}

#[test]
fn pause_with_unreadable_length_is_a_second() {
    run(async {
        for value in ["-3", "soon", "Wed, 21 Oct 2015 07:28:00 GMT", "inf", "NaN"] {
            let line = format!("retry-after: {value}");
            let (last, received) = repeat_call("/once/x", rejected(&line), 2).await;
            assert_eq!((status(&last), received), (503, 1), "{value}");
        }
    });
}

#[test]
fn rejection_without_pause_is_tried_again() {
    run(async {
        let (_, received) = repeat_call("/once/x", rejected("x-other: 1"), 2).await;
        assert_eq!(received, 2);
    });
}

/// Guards against a server that receives more than the rate which it names.
#[test]
fn rate_of_only_server_refuses_what_is_above() {
    run(async {
        let response = super::support::full_response("200 OK", "body");
        let response = with_header(&response, "x-rate: 0.5");
        let (last, received) = repeat_call("/once/x", response, 5).await;
        assert_eq!((status(&last), received), (503, 1));
        assert!(header(&last, "retry-after").is_some());
    });
}

#[test]
fn rate_that_is_no_number_is_ignored() {
    run(async {
        for value in ["-3", "soon", "inf", "NaN"] {
            let response = super::support::full_response("200 OK", "body");
            let response = with_header(&response, &format!("x-rate: {value}"));
            let (last, received) = repeat_call("/once/x", response, 3).await;
            assert_eq!((status(&last), received), (200, 3), "{value}");
        }
    });
}

fn registration(name: &str) -> Registration {
    Registration {
        name: name.to_owned(),
        address: std::net::SocketAddr::from(([10, 0, 0, 1], 1)),
        zone: "a".to_owned(),
        renewed: 0,
    }
}

/// Applies rows read in an era and returns the known routers and whether the store was restored.
fn read(table: &mut RouterTable, now: Instant, era: u16, names: &[&str]) -> (Vec<String>, bool) {
    let rows = names.iter().map(|n| registration(n)).collect();
    let restored = table.update(
        now,
        TableRead {
            revision: Revision::new(era, 1),
            complete: Revision::new(era, 1),
            value: Some(rows),
        },
    );
    (table.rows.keys().cloned().collect(), restored)
}

#[test]
fn routers_missing_from_restored_store_are_kept_for_a_time() {
    let now = Instant::now();
    let mut table = RouterTable::default();
    assert!(!read(&mut table, now, 4, &["r1", "r2", "r3"]).1);
    let gone = read(&mut table, now, 4, &["r1", "r2"]);
    assert_eq!(gone, (vec!["r1".to_owned(), "r2".to_owned()], false));
    let (names, restored) = read(&mut table, now, 5, &["r2"]);
    assert_eq!((names.len(), restored), (2, true));
    let later = now + Duration::from_secs(10);
    let (names, restored) = read(&mut table, later, 5, &["r2", "r4"]);
    assert_eq!((names.len(), restored), (3, false));
    let (names, _) = read(&mut table, now + Duration::from_secs(31), 5, &["r2", "r4"]);
    assert_eq!(names, ["r2", "r4"]);
}

/// Reads one row renewed at this time of day and returns whether its router counts at `epoch_ms`.
fn is_live(table: &mut RouterTable, now: Instant, renewed: u64, epoch_ms: u64) -> bool {
    let mut row = registration("r1");
    row.renewed = renewed;
    table.update(
        now,
        TableRead {
            revision: Revision::new(1, 1),
            complete: Revision::new(1, 1),
            value: Some(vec![row]),
        },
    );
    table.live(now, epoch_ms).next().is_some()
}

// Guards against FAILBACK when the clock of the reader or of the writer is wrong by minutes.
#[test]
fn routers_with_other_clocks_count() {
    let now = Instant::now();
    let minutes = 200_000;
    assert!(is_live(&mut RouterTable::default(), now, 0, minutes));
    assert!(is_live(&mut RouterTable::default(), now, minutes, 0));
}

#[test]
fn routers_that_renew_no_longer_are_dropped() {
    let start = Instant::now();
    let mut table = RouterTable::default();
    for second in (0..=80).step_by(10) {
        let now = start + Duration::from_secs(second);
        assert!(is_live(&mut table, now, 7, 7), "after {second} s");
    }
    let now = start + Duration::from_secs(90);
    assert!(!is_live(&mut table, now, 7, 7));
    assert!(is_live(&mut table, now, 8, 8), "it renewed its row");
}

// Guards against FAILBACK after the store was away for longer than rows are kept.
#[test]
fn routers_that_could_not_renew_in_an_outage_count() {
    let start = Instant::now();
    let mut table = RouterTable::default();
    assert!(is_live(&mut table, start, 7, 7));
    let now = start + Duration::from_secs(100);
    assert!(is_live(&mut table, now, 7, 100_007));
}

#[test]
fn routers_with_rows_of_long_ago_do_not_count() {
    let day = 86_400_000;
    assert!(!is_live(
        &mut RouterTable::default(),
        Instant::now(),
        0,
        day
    ));
}
