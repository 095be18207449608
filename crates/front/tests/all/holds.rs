//! Streams that leave their servers' bytes unread for a short time while the router is behind.

use std::time::{Duration, Instant};

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;

use super::support::{
    Act, Front, STREAM_END, STREAM_HEAD, Server, TIMEOUT, chunk, event, read_until, run, status,
    wait_until,
};

const REQUEST: &str = "POST /stream/x HTTP/1.1\r\nhost: host\r\nauthorization: Bearer key\r\n\
                       x-id: r1\r\nx-wait-ms: 5000\r\nconnection: close\r\n\r\n";

/// Bound on forwarding an event which makes holds longer than the delays of a busy test machine.
const LONG_BOUND: Duration = Duration::from_secs(2);
/// Shortest time that shows a hold under [`LONG_BOUND`], and longest one without a hold.
const SHORT_TIME: Duration = Duration::from_millis(400);

/// Returns a server that sends event 1, and each of `texts` after its pause.
fn paced(texts: &[(u64, String)]) -> Server {
    let texts = texts.iter();
    let texts = texts.map(|(ms, text)| (Duration::from_millis(*ms), text.clone()));
    let begun = STREAM_HEAD.to_owned() + &chunk(&event(1));
    Server::start(vec![Act::Paced(begun, texts.collect())])
}

/// Sends the request for a stream.
async fn request(front: &Front) -> TcpStream {
    let mut caller = TcpStream::connect(front.address).await.expect("it listens");
    let BufResult(written, _) = caller.write_all(REQUEST.as_bytes().to_vec()).await;
    written.expect("the router reads the request");
    caller
}

/// Reads until an event has arrived in full.
async fn read_event(caller: &mut TcpStream, id: u32) -> String {
    let text = read_until(caller, &(event(id) + "\r\n")).await;
    assert!(text.contains(&event(id)), "{text}");
    text
}

/// Reads to the end and returns the time after which each event arrived, and all that arrived.
async fn read_times(caller: &mut TcpStream, events: u32) -> (Vec<Duration>, String) {
    let began = Instant::now();
    let (mut times, mut text) = (Vec::new(), String::new());
    loop {
        let reading = caller.read(vec![0; 4_096]);
        let BufResult(read, buffer) = compio::time::timeout(TIMEOUT, reading).await.expect("time");
        let count = read.unwrap_or(0);
        if count == 0 {
            return (times, text);
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
        let arrived = (1..=events).filter(|id| text.contains(&event(*id)));
        times.resize(arrived.count(), began.elapsed());
    }
}

/// Guards against a first event that is held, on which the caller's time to first byte depends.
#[test]
fn first_event_is_not_held() {
    run(async {
        let server = paced(&[(1_500, chunk(&event(2)) + STREAM_END)]);
        let front = Front::start(&[&server]);
        front.set_pass_bound(LONG_BOUND);
        front.fall_behind();
        let began = Instant::now();
        let mut caller = request(&front).await;
        let head = read_event(&mut caller, 1).await;
        assert_eq!(status(&head), 200, "{head}");
        assert!(began.elapsed() < SHORT_TIME, "{:?}", began.elapsed());
    });
}

/// Events that arrive during a hold reach the caller together, within the bound, and the stream ends
/// whole. Guards against a hold for each part of a batch, which would delay each event more than the
/// one before.
#[test]
fn events_behind_arrive_together_within_bound() {
    run(async {
        let mut texts: Vec<_> = (2..=9).map(|id| (40, chunk(&event(id)))).collect();
        texts.push((0, STREAM_END.to_owned()));
        let server = paced(&texts);
        let front = Front::start(&[&server]);
        front.set_pass_bound(LONG_BOUND);
        let mut caller = request(&front).await;
        read_event(&mut caller, 1).await;
        front.fall_behind();
        let (times, text) = read_times(&mut caller, 9).await;
        for id in 2..=9 {
            assert_eq!(text.matches(&event(id)).count(), 1, "{text}");
        }
        assert!(text.ends_with(STREAM_END), "{text}");
        // Event 1 was read from the connection before.
        assert_eq!(times.len(), 8, "{times:?}");
        // Event 2 begins a hold in which all others arrive.
        assert!(times[0] < SHORT_TIME, "{times:?}");
        assert!(times[1] > 2 * SHORT_TIME, "{times:?}");
        assert_eq!(times[1], times[7], "{times:?}");
        let bound = LONG_BOUND / 2 + Duration::from_millis(40);
        assert!(times[7] < bound + SHORT_TIME, "{times:?}");
    });
}

/// Guards against holds at a router that is not behind, or not any more.
#[test]
fn events_are_not_held_without_lag() {
    run(async {
        let text = chunk(&event(3)) + STREAM_END;
        let server = paced(&[(0, chunk(&event(2))), (0, text)]);
        let front = Front::start(&[&server]);
        front.set_pass_bound(LONG_BOUND);
        front.fall_behind();
        front.catch_up().await;
        let mut caller = request(&front).await;
        let (times, text) = read_times(&mut caller, 3).await;
        assert!(text.ends_with(STREAM_END), "{text}");
        assert!(times[2] < SHORT_TIME, "{times:?}");
    });
}

/// Guards against holds that exceed the pause which the route allows, or the caller's deadline.
#[test]
fn events_are_not_held_longer_than_route_allows() {
    run(async {
        let server = paced(&[(0, chunk(&event(2))), (50, chunk(&event(3)) + STREAM_END)]);
        let front = Front::start(&[&server]);
        front.set_pass_bound(2 * LONG_BOUND);
        front.configure(|deployment| {
            for route in &mut deployment.routes {
                route.max_pause = Some(Duration::from_millis(100));
            }
        });
        front.fall_behind();
        let mut caller = request(&front).await;
        let (times, text) = read_times(&mut caller, 3).await;
        assert!(text.ends_with(STREAM_END), "{text}");
        assert!(times[2] < SHORT_TIME, "{times:?}");
    });
}

/// Guards against a server that goes on generating for a caller that left during a hold.
#[test]
fn caller_that_leaves_during_hold_frees_server() {
    run(async {
        let begun = STREAM_HEAD.to_owned() + &chunk(&event(1));
        let more = vec![(Duration::from_millis(30), chunk(&event(2)))];
        let server = Server::start(vec![Act::Paced(begun, more)]);
        let front = Front::start(&[&server]);
        front.set_pass_bound(4 * LONG_BOUND);
        front.fall_behind();
        let mut caller = request(&front).await;
        read_event(&mut caller, 2).await;
        let held = Instant::now();
        drop(caller);
        wait_until(|| server.closed() == 1).await;
        assert!(held.elapsed() < SHORT_TIME, "{:?}", held.elapsed());
    });
}

/// Guards against a stop that waits for held streams.
#[test]
fn stop_ends_holds() {
    run(async {
        let server = paced(&[(30, chunk(&event(2))), (30, chunk(&event(3)) + STREAM_END)]);
        let front = Front::start(&[&server]);
        front.set_pass_bound(4 * LONG_BOUND);
        front.fall_behind();
        let mut caller = request(&front).await;
        read_event(&mut caller, 2).await;
        let held = Instant::now();
        compio::time::sleep(Duration::from_millis(60)).await;
        front.shell.begin_exit();
        let (_, text) = read_times(&mut caller, 3).await;
        assert!(text.ends_with(STREAM_END), "{text}");
        assert!(held.elapsed() < SHORT_TIME, "{:?}", held.elapsed());
    });
}
