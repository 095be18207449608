//! Processor time that a router's thread takes for a stream: for its request, and for each of its
//! events.
//!
//! Threads of callers and engines are connected to the router over loopback; only the router's
//! thread is measured, on its own event loop. Streams of two lengths give the costs of a request and
//! of an event. `cargo test` runs a few streams.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hibiscusrail_front::{caller, overload};
use hibiscusrail_net::{EventLoop, bind, event_loop, logs, serve_counted};
use support::{BODY_BYTES, report, request, shell, thread_time};

#[allow(dead_code, reason = "each benchmark uses a part")]
mod support;

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
/// Time until the first event of a stream.
const FIRST_EVENT: Duration = Duration::from_millis(50);
/// Events of the short and of the long streams.
const SHORT: usize = 5;
const LONG: usize = 55;

/// Answers requests on a connection by streams of `events` events.
fn answer(stream: TcpStream, events: usize) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let mut id = String::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            if let Some(value) = line.strip_prefix("x-id: ") {
                value.trim().clone_into(&mut id);
            }
            if line == "\r\n" {
                break;
            }
        }
        reader.read_exact(&mut [0; BODY_BYTES])?;
        std::thread::sleep(FIRST_EVENT);
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: 1\r\ncontent-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        let text = "t".repeat(60);
        for number in 1..=events {
            if number > 1 {
                std::thread::sleep(EVENT_INTERVAL);
            }
            let event = format!("id: {number}\ndata: {text}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            writer.write_all(chunk.as_bytes())?;
        }
        writer.write_all(b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")?;
    }
}

fn engines(events: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback is up");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || answer(stream, events));
        }
    });
    address
}

/// Sends `count` requests, each on a connection of its own, and returns how many streams ended whole.
fn call(address: SocketAddr, first: usize, count: usize) -> usize {
    let mut whole = 0;
    for number in 0..count {
        let mut stream = TcpStream::connect(address).expect("it listens");
        stream
            .write_all(&request(first + number))
            .expect("it is open");
        let mut received = Vec::new();
        let mut buffer = [0; 4_096];
        while !received.ends_with(b"0\r\n\r\n") {
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(read) => received.extend_from_slice(&buffer[..read]),
            }
        }
        whole += usize::from(received.ends_with(b"[DONE]\n\n\r\n0\r\n\r\n"));
    }
    whole
}

/// Returns how often this thread has waited.
fn waits() -> f64 {
    let status = std::fs::read_to_string("/proc/thread-self/status").unwrap_or_default();
    let line = status
        .lines()
        .find_map(|l| l.strip_prefix("voluntary_ctxt_switches:"));
    line.and_then(|l| l.trim().parse().ok()).unwrap_or(0.0)
}

/// Serves `count` streams of `events` events in each of `callers` threads; returns the processor time
/// and prints the number of waits.
fn serve_streams(callers: usize, count: usize, events: usize) -> Duration {
    let shell = shell(engines(events));
    let event_loop = EventLoop::new(Instant::now).expect("the event loop is created");
    event_loop.run(async {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("loopback is up");
        let address = listener.local_addr().expect("the listener is bound");
        overload::install(&shell);
        let limits = hibiscusrail_net::Limits::new();
        let connections = Rc::clone(shell.connections());
        let handler = caller::handler(&shell);
        event_loop::spawn(serve_counted(listener, limits, handler, connections));
        let whole = Arc::new(AtomicUsize::new(0));
        let (began, waited) = (thread_time(), waits());
        let threads: Vec<_> = (0..callers)
            .map(|caller| {
                let whole = Arc::clone(&whole);
                std::thread::spawn(move || {
                    std::thread::sleep(EVENT_INTERVAL / 40 * u32::try_from(caller % 40).unwrap());
                    let ended = call(address, caller * count, count);
                    whole.fetch_add(ended, Ordering::Relaxed);
                })
            })
            .collect();
        while threads.iter().any(|t| !t.is_finished()) {
            compio::time::sleep(Duration::from_millis(25)).await;
        }
        let (used, waited) = (thread_time() - began, waits() - waited);
        let (whole, all) = (whole.load(Ordering::Relaxed), callers * count);
        eprintln!(
            "{:>50} {whole} of {all} streams of {events} events whole, {waited} waits",
            ""
        );
        used
    })
}

/// Prints the costs of a request and of an event with so many streams open.
fn measure(callers: usize, count: usize) {
    let short = serve_streams(callers, count, SHORT);
    let long = serve_streams(callers, count, LONG);
    let streams = (callers * count) as f64;
    let event = (long.as_secs_f64() - short.as_secs_f64()) / streams / (LONG - SHORT) as f64;
    let request = short.as_secs_f64() / streams - event * SHORT as f64;
    let open = format!("{callers} streams open");
    report(
        &format!("an event, {open}"),
        Duration::from_secs_f64(event.max(0.0)),
        1,
    );
    let request = Duration::from_secs_f64(request.max(0.0));
    report(&format!("a request without its events, {open}"), request, 1);
}

fn main() {
    let is_bench = std::env::args().any(|a| a == "--bench");
    logs::init_rate_limited("info", 200).expect("the level is known");
    let rounds = if is_bench { 8 } else { 1 };
    for callers in [10, 40, 160] {
        measure(callers, rounds);
    }
}
