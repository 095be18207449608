//! Processor time that a router's thread takes for a refused stream, from accepting the connection
//! to closing it, and for the steps of it.
//!
//! Threads of callers connect over loopback; only the router's thread is measured. Its loop pauses
//! in each turn, as that of an overloaded router, so that connections and their bytes wait. Log lines go to standard output with the rate limit of a router,
//! and results to standard error. `cargo test` runs a few requests of each kind.

use std::hint::black_box;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsFd;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use compio::driver::ToSharedFd;
use compio::net::TcpListener;
use compio::runtime::fd::PollFd;
use futures_util::FutureExt;
use hibiscusrail_core::SystemClock;
use hibiscusrail_fleet::objects::Repeat;
use hibiscusrail_fleet::placement::name_hash;
use hibiscusrail_fleet::pressure::Connection;
use hibiscusrail_fleet::quota::WorkspaceHash;
use hibiscusrail_fleet::unrecorded::Shard;
use hibiscusrail_fleet::{Event, RequestKey, Submission};
use hibiscusrail_front::shell::Shell;
use hibiscusrail_front::{caller, overload, refusal};
use hibiscusrail_net::server::Handler;
use hibiscusrail_net::{bind, logs, serve_counted};
use http::StatusCode;
use http::request::Parts;
use http_body_util::BodyExt;
use rustix::net::{RecvFlags, SendFlags, SocketFlags, accept_with, recv, send};
use support::{
    BODY_BYTES, WORKSPACES, empty_shell, prompt, protocol, report, request, shell, thread_time,
    time,
};

mod support;

/// Threads of callers, so that several connections wait at a time.
const CALLERS: usize = 40;
/// Pause in each turn of the loop; it takes no processor time.
const PAUSE: Duration = Duration::from_millis(2);

/// Makes the router refuse every stream.
fn overload(shell: &Shell) {
    for _ in 0..50 {
        shell.handle(Event::LoopLag(Duration::from_secs(1)));
    }
}

fn submission(shell: &Shell, key: u64) -> Submission {
    let now = shell.now();
    let workspace = format!("workspace{}", key % WORKSPACES as u64);
    Submission {
        key: RequestKey(u64::MAX - key),
        workspace: Some(WorkspaceHash(u64::from(name_hash(&workspace)))),
        fingerprint: key,
        service: "engines".to_owned(),
        prompt: Some(prompt()),
        target: now + Duration::from_millis(800),
        deadline: now + Duration::from_secs(12),
        repeat: Repeat::Once,
        resumable: true,
        max_attempts: 2,
        version: None,
        goes_on: false,
        shard: Shard::default(),
        rank: 0,
        max_pause: None,
    }
}

/// Returns the head of a request as hyper parses it.
fn head() -> Parts {
    let request = http::Request::post("/route1/2f")
        .header("host", "host.example")
        .header("x-id", "9c41d07be2a35f68")
        .header("x-model", "m")
        .header("x-usage", "1460,80")
        .header("x-prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
        .header("x-wait-ms", "12000")
        .header("authorization", "Bearer key1")
        .header("content-length", BODY_BYTES);
    request.body(()).expect("it is valid").into_parts().0
}

/// Sends `count` requests, each on a connection of its own, and returns how many were refused.
fn call(address: SocketAddr, count: usize) -> usize {
    let mut refused = 0;
    let mut response = Vec::new();
    for number in 0..count {
        let mut stream = TcpStream::connect(address).expect("it listens");
        // The router may close the connection before it has read the request.
        let _ = stream.write_all(&request(number));
        response.clear();
        let _ = stream.read_to_end(&mut response);
        refused += usize::from(response.starts_with(b"HTTP/1.1 503"));
    }
    refused
}

/// Like [`call`] on one connection, which each response has to leave open.
fn call_kept(address: SocketAddr, count: usize) -> usize {
    let mut stream = TcpStream::connect(address).expect("it listens");
    let mut buffer = [0; 4_096];
    let mut refused = 0;
    for number in 0..count {
        stream.write_all(&request(number)).expect("it is open");
        let mut response = Vec::new();
        // The bodies end in a newline, and heads in a whole line end.
        while !response.ends_with(b"\n") || response.ends_with(b"\r\n") {
            let read = stream.read(&mut buffer).expect("it is open");
            assert!(read > 0, "the connection is closed");
            response.extend_from_slice(&buffer[..read]);
        }
        refused += usize::from(response.starts_with(b"HTTP/1.1 503"));
    }
    refused
}

/// Serves `count` requests and prints the processor time of one.
fn measure(name: &str, count: usize, shell: &Rc<Shell>, handler: Option<Handler>) {
    measure_calls(call, name, count, shell, handler);
}

fn measure_calls(
    call: fn(SocketAddr, usize) -> usize,
    name: &str,
    count: usize,
    shell: &Rc<Shell>,
    handler: Option<Handler>,
) {
    let runtime = compio::runtime::Runtime::new().expect("the event loop is created");
    runtime.block_on(async {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("loopback is up");
        let address = listener.local_addr().expect("the listener is bound");
        let refused = Arc::new(AtomicUsize::new(0));
        let threads: Vec<_> = (0..CALLERS)
            .map(|_| {
                let refused = Arc::clone(&refused);
                std::thread::spawn(move || {
                    let count = call(address, count / CALLERS);
                    refused.fetch_add(count, Ordering::Relaxed);
                })
            })
            .collect();
        let start = thread_time();
        match handler {
            Some(handler) => {
                let limits = hibiscusrail_net::Limits::new();
                let connections = Rc::clone(shell.connections());
                let serving = serve_counted(listener, limits, handler, connections);
                compio::runtime::spawn(serving).detach();
            }
            None => compio::runtime::spawn(answer_at_once(listener)).detach(),
        }
        compio::runtime::spawn(async {
            loop {
                std::thread::sleep(PAUSE);
                compio::time::sleep(Duration::from_micros(1)).await;
            }
        })
        .detach();
        while threads.iter().any(|t| !t.is_finished()) {
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        let used = thread_time() - start;
        let refused = refused.load(Ordering::Relaxed);
        report(name, used, count);
        eprintln!("{:>50} refused {refused} of {count}", "");
    });
}

/// Answers each connection by a fixed response: the system calls that no server can save.
async fn answer_at_once(listener: TcpListener) {
    let response = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n\r\n";
    let ready = PollFd::from_shared_fd(listener.to_shared_fd()).expect("it can be polled");
    let mut buffer = vec![0; 16 << 10];
    loop {
        ready.accept_ready().await.expect("it listens");
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        while let Ok(stream) = accept_with(listener.as_fd(), flags) {
            let _ = recv(&stream, &mut buffer[..], RecvFlags::DONTWAIT);
            let _ = send(&stream, response, SendFlags::NOSIGNAL);
        }
    }
}

fn refusing(reads_body: bool) -> Handler {
    Rc::new(move |request| {
        async move {
            if reads_body {
                let _ = request.into_body().collect().await;
            }
            let mut response = refusal::text_response(StatusCode::SERVICE_UNAVAILABLE, "busy");
            let close = http::HeaderValue::from_static("close");
            response
                .headers_mut()
                .insert(http::header::CONNECTION, close);
            response
        }
        .boxed_local()
    })
}

fn main() {
    let is_bench = std::env::args().any(|a| a == "--bench");
    let count = if is_bench { 40_000 } else { 40 };
    logs::init_rate_limited("info", 200).expect("the level is known");
    let started = Instant::now();
    let shell = shell(SocketAddr::from(([127, 0, 0, 1], 1)));
    overload(&shell);
    measure("accept, receive, send, close", count, &shell, None);
    let plain = Rc::new(Shell::new(
        shell.settings(),
        protocol(),
        Box::new(SystemClock),
    ));
    measure(
        "+ hyper, body not read",
        count,
        &plain,
        Some(refusing(false)),
    );
    measure("+ body", count, &plain, Some(refusing(true)));
    let handler = caller::handler(&shell);
    measure(
        "a refusal by hyper",
        count,
        &shell,
        Some(Rc::clone(&handler)),
    );
    overload::install(&shell);
    measure("a refusal at the head", count, &shell, Some(handler));
    let empty = empty_shell();
    let handler = caller::handler(&empty);
    measure_calls(call_kept, "kept: no server", count, &empty, Some(handler));
    overload(&shell);
    time("reducer: a refused stream", count, |key| {
        let submission = submission(&shell, key);
        shell.with_fleet_mut(|f| f.handle(shell.now(), Event::Submit(submission)));
    });
    let head = head();
    let triage = overload::triage(&shell);
    time("judging a head, with the reducer", count, |_| {
        black_box(triage.judge(&head, Some(BODY_BYTES as u64)));
    });
    time("reducer: the same without a submission", count, |key| {
        let workspace = Some(WorkspaceHash(key % 30));
        let prompt = prompt();
        black_box(shell.with_fleet_mut(|f| {
            f.overloaded(shell.now(), workspace, Some(&prompt), Connection::New)
        }));
    });
    time("two log lines, mostly dropped", count, |key| {
        log::info!(call = key, reason:? = "RouterBusy", late_ms = 500, standing:? = 1; "request_not_placed");
        log::info!(
            request = "9c41d07be2a35f68", call = key, workspace = "workspace1",
            service = "engines", outcome = "NotRun", reason = "RouterBusy", attempts = 0,
            events = 0, server = "", total_ms = 0;
            "request_ended"
        );
    });
    time("counters", count, |_| {
        let metrics = shell.metrics();
        metrics.request_ended("engines", "NotRun", "RouterBusy", Duration::ZERO);
        metrics.workspace_request_ended("workspace1", "NotRun", "RouterBusy");
    });
    eprintln!("{:>50} {:?} in all", "", started.elapsed());
}
