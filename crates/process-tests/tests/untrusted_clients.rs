//! Crowds of clients that make the router hold memory. Each test guards against a process that
//! exceeds the memory of its host, and is killed there, or that no longer answers others.
//!
//! The bound is the host's memory as the settings give it. It does not depend on the machine.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Barrier;
use std::thread;
use std::time::{Duration, Instant};

use hibiscusrail_process_tests::http::{call, connect};
use hibiscusrail_process_tests::process::{Router, lock};
use hibiscusrail_process_tests::standin::{self, HEADERS, MAX_BODY, PLAIN, STREAM};

/// Memory of the host in megabytes.
const MEMORY_MB: u32 = 44;
/// Memory of the host in the test of unread streams, of which the router holds less.
const STREAM_MEMORY_MB: u32 = 20;
/// Memory of the host in the test of one-byte chunks, which take long to read.
const CHUNK_MEMORY_MB: u32 = 14;
/// Memory of the host in the test of small bodies, of which the router holds less.
const SMALL_MEMORY_MB: u32 = 20;
/// Clients that hold their connections at the same time.
const CROWD: usize = 16;
/// Clients that send one-byte chunks.
const CHUNK_CROWD: usize = 48;
/// Clients that send small bodies.
const SMALL_CROWD: usize = 400;
/// Time for which the resident memory does not grow once all bytes have been read.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Longest wait for that.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(90);
/// Descriptors of the router beyond those of the crowd and of its requests at the server.
const OTHER_DESCRIPTORS: usize = 64;
/// Bytes by which a body stops short of its end.
const SHORT: usize = 16;
/// Bytes of a body that arrives in one-byte chunks.
const ONE_BYTE_CHUNKS: usize = 512 << 10;
/// Attempts of the ordinary request, which may be told to come back later.
const ATTEMPTS: usize = 10;

/// What one client sends: the bytes before and after all clients have sent as much.
struct Sending {
    head: String,
    before: Vec<u8>,
    after: Vec<u8>,
}

/// Sends the same from each client of the crowd and checks the router while they stay.
fn check_crowd(memory_mb: u32, crowd: usize, sending: &Sending) {
    let _guard = lock();
    let mut router = Router::start(standin::start(), memory_mb);
    await_service(&router);
    let barrier = Barrier::new(crowd);
    let clients: Vec<Option<TcpStream>> = thread::scope(|scope| {
        let send = || {
            let mut stream = connect(router.address).ok()?;
            // A refused client may be unable to send the rest.
            let _ = stream.write_all(sending.head.as_bytes());
            let _ = stream.write_all(&sending.before);
            barrier.wait();
            let _ = stream.write_all(&sending.after);
            Some(stream)
        };
        let running: Vec<_> = (0..crowd).map(|_| scope.spawn(send)).collect();
        let join = |c: thread::ScopedJoinHandle<'_, _>| c.join().expect("clients don't panic");
        running.into_iter().map(join).collect()
    });
    settle(&router);
    assert!(router.is_alive(), "the process ended");
    let peak = router.memory("VmHWM");
    let descriptors = router.descriptors();
    let rest = router.memory("VmRSS");
    println!("high-water mark {peak} bytes, resident {rest}, descriptors {descriptors}");
    assert!(is_served(&router, b"small"), "an ordinary request failed");
    assert!(descriptors <= 2 * crowd + OTHER_DESCRIPTORS);
    let bound = memory_mb as usize * 1_000_000;
    assert!(peak <= bound, "{peak} bytes, above the host's {bound}");
    drop(clients);
}

/// Waits until the bytes that are under way have been read.
fn settle(router: &Router) {
    let started = Instant::now();
    let mut last = (router.memory("VmRSS"), started);
    while last.1.elapsed() < SETTLE_TIME && started.elapsed() < MAX_SETTLE_TIME {
        thread::sleep(Duration::from_millis(100));
        let resident = router.memory("VmRSS");
        if resident > last.0 {
            last = (resident, Instant::now());
        }
    }
}

fn is_served(router: &Router, body: &[u8]) -> bool {
    (0..ATTEMPTS).any(|_| {
        let status = call(router.address, PLAIN, HEADERS, body);
        let served = matches!(status, Ok(200));
        if !served {
            thread::sleep(Duration::from_millis(500));
        }
        served
    })
}

/// Waits until the router knows its configuration and server.
fn await_service(router: &Router) {
    assert!(is_served(router, b"first"), "the router does not serve");
    println!("at rest {} bytes", router.memory("VmRSS"));
}

fn head(framing: &str) -> String {
    format!("POST {PLAIN} HTTP/1.1\r\nhost: h\r\n{HEADERS}{framing}\r\n\r\n")
}

/// Returns `count` chunks of `size` bytes.
fn chunks(count: usize, size: usize) -> Vec<u8> {
    let mut chunk = format!("{size:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + size, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk.repeat(count)
}

#[test]
fn whole_bodies_that_stop_short_stay_within_memory() {
    check_crowd(
        MEMORY_MB,
        CROWD,
        &Sending {
            head: head(&format!("content-length: {MAX_BODY}")),
            before: vec![b'x'; MAX_BODY - SHORT],
            after: Vec::new(),
        },
    );
}

#[test]
fn bodies_in_pieces_that_stop_short_stay_within_memory() {
    let part = MAX_BODY / 2;
    check_crowd(
        MEMORY_MB,
        CROWD,
        &Sending {
            head: head(&format!("content-length: {MAX_BODY}")),
            before: vec![b'x'; part],
            after: vec![b'x'; part - SHORT],
        },
    );
}

#[test]
fn large_chunks_that_stop_short_stay_within_memory() {
    check_crowd(
        MEMORY_MB,
        CROWD,
        &Sending {
            head: head("transfer-encoding: chunked"),
            before: chunks(15, 256 << 10),
            after: Vec::new(),
        },
    );
}

#[test]
fn one_byte_chunks_that_stop_short_stay_within_memory() {
    check_crowd(
        CHUNK_MEMORY_MB,
        CHUNK_CROWD,
        &Sending {
            head: head("transfer-encoding: chunked"),
            before: chunks(ONE_BYTE_CHUNKS, 1),
            after: Vec::new(),
        },
    );
}

#[test]
fn small_bodies_that_stop_short_stay_within_memory() {
    let mut body = chunks(4, 4_000);
    body.truncate(body.len() - SHORT);
    check_crowd(
        SMALL_MEMORY_MB,
        SMALL_CROWD,
        &Sending {
            head: head("transfer-encoding: chunked"),
            before: body,
            after: Vec::new(),
        },
    );
}

#[test]
fn announced_oversize_stays_within_memory() {
    check_crowd(
        MEMORY_MB,
        CROWD,
        &Sending {
            head: head("content-length: 1073741824"),
            before: vec![b'x'; MAX_BODY - SHORT],
            after: vec![b'x'; MAX_BODY],
        },
    );
}

#[test]
fn endless_body_stays_within_memory() {
    check_crowd(
        MEMORY_MB,
        CROWD,
        &Sending {
            head: head("transfer-encoding: chunked"),
            before: chunks(15, 256 << 10),
            after: chunks(64, 64 << 10),
        },
    );
}

#[test]
fn streams_that_are_not_read_stay_within_memory() {
    check_crowd(
        STREAM_MEMORY_MB,
        CROWD,
        &Sending {
            head: format!(
                "POST {STREAM} HTTP/1.1\r\nhost: h\r\n{HEADERS}content-length: 0\r\n\r\n"
            ),
            before: Vec::new(),
            after: Vec::new(),
        },
    );
}

#[test]
fn calm_largest_body_is_served() {
    let _guard = lock();
    let router = Router::start(standin::start(), MEMORY_MB);
    await_service(&router);
    assert!(is_served(&router, &vec![b'x'; MAX_BODY]));
}
