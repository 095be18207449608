//! Refusal of requests on new connections before they are served.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use hibiscusrail_net::triage::{Admitted, Triage, Verdict};
use hibiscusrail_net::{Connections, Limits, bind, full, serve_counted};
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Timeout of every read in these tests.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Refuses the paths below `/refused`, admits those below `/admitted` and serves others.
struct ByPath {
    counts: Arc<Counts>,
}

#[derive(Default)]
struct Counts {
    inactive: AtomicBool,
    judged: AtomicUsize,
    served: AtomicUsize,
}

impl Triage for ByPath {
    fn is_active(&self) -> bool {
        !self.counts.inactive.load(Ordering::SeqCst)
    }

    fn judge(&self, request: &Parts, _length: Option<u64>) -> Verdict {
        self.counts.judged.fetch_add(1, Ordering::SeqCst);
        let path = request.uri.path();
        if path.starts_with("/refused") {
            let mut response = Response::new(Bytes::from_static(b"busy\n"));
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            return Verdict::Refuse(response);
        }
        if path.starts_with("/admitted") {
            return Verdict::Admit;
        }
        Verdict::Serve
    }

    fn refuse_excess(&self, _request: &Parts) -> Response<Bytes> {
        let mut response = Response::new(Bytes::from_static(b"full\n"));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response
    }
}

/// Responds with the path, the size of the body and whether the request was admitted.
async fn echo(request: Request<Incoming>) -> Response<hibiscusrail_net::Body> {
    let (parts, body) = request.into_parts();
    let size = body.collect().await.map_or(0, |b| b.to_bytes().len());
    let admitted = parts.extensions.get::<Admitted>().is_some();
    let text = format!("{} {size} admitted={admitted}\n", parts.uri.path());
    Response::new(full(text))
}

/// Starts a server on a thread of its own.
fn start() -> (SocketAddr, Arc<Counts>) {
    let counts = Arc::new(Counts::default());
    let own = Arc::clone(&counts);
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().expect("the event loop is created");
        runtime.block_on(async {
            let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("loopback is up");
            let address = listener.local_addr().expect("the listener is bound");
            sender.send(address).expect("the test waits");
            let connections = Rc::new(Connections::new());
            let triage = ByPath {
                counts: Arc::clone(&own),
            };
            connections.set_triage(Rc::new(triage));
            let handler = Rc::new(move |request| {
                own.served.fetch_add(1, Ordering::SeqCst);
                echo(request).boxed_local()
            });
            serve_counted(listener, Limits::new(), handler, connections).await;
        });
    });
    let address = receiver.recv().expect("the server starts");
    (address, counts)
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("it listens");
    let timeout = Some(TIMEOUT);
    stream.set_read_timeout(timeout).expect("it is open");
    stream
}

/// Reads to the end of the connection, which must not be a reset.
fn read_all(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    stream
        .read_to_string(&mut text)
        .expect("the connection ends in order");
    text
}

/// Sends the parts with short pauses and returns everything received.
fn call(address: SocketAddr, parts: &[&str]) -> String {
    call_slowly(address, parts, Duration::from_millis(20))
}

/// Sends the parts with pauses and returns everything received.
fn call_slowly(address: SocketAddr, parts: &[&str], pause: Duration) -> String {
    let mut stream = connect(address);
    for (number, part) in parts.iter().enumerate() {
        if number > 0 {
            std::thread::sleep(pause);
        }
        stream.write_all(part.as_bytes()).expect("it is open");
    }
    read_all(&mut stream)
}

fn assert_refused(response: &str) {
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    assert!(response.contains("\r\nconnection: close\r\n"), "{response}");
    assert!(response.ends_with("\r\n\r\nbusy\n"), "{response}");
    assert_eq!(response.matches("HTTP/1.1").count(), 1, "{response}");
}

#[test]
fn refused_request_is_answered_without_being_served() {
    let (address, counts) = start();
    let request = "POST /refused HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody";
    assert_refused(&call(address, &[request]));
    assert_refused(&call(
        address,
        &["GET /refused HTTP/1.1\r\nhost: h\r\n\r\n"],
    ));
    assert_eq!(counts.served.load(Ordering::SeqCst), 0);
}

/// Guards against a response that is lost as the connection is closed with unread bytes.
#[test]
fn refused_request_with_late_body_gets_its_response() {
    let (address, _) = start();
    let head = "POST /refused HTTP/1.1\r\nhost: h\r\ncontent-length: 8\r\n\r\n";
    assert_refused(&call(address, &[head, "body", "rest"]));
}

/// Guards against a reset of a caller that sends a long body while it is refused.
#[test]
fn refused_request_with_long_body_gets_its_response() {
    let (address, _) = start();
    let size = 3_000_000;
    let head = format!("POST /refused HTTP/1.1\r\nhost: h\r\ncontent-length: {size}\r\n\r\n");
    let mut stream = connect(address);
    stream.write_all(head.as_bytes()).expect("it is open");
    stream.write_all(&vec![b'x'; size]).expect("it is read");
    assert_refused(&read_all(&mut stream));
}

#[test]
fn refused_request_in_chunks_gets_its_response() {
    let (address, _) = start();
    let head = "POST /refused HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
    let whole = format!("{head}4\r\nbody\r\n0\r\n\r\n");
    assert_refused(&call(address, &[&whole]));
    let part = format!("{head}4\r\nbody\r\n");
    assert_refused(&call(address, &[&part, "0\r\n\r\n"]));
}

/// Guards against a caller without end that holds a refused connection.
#[test]
fn refused_request_without_end_is_closed() {
    let (address, _) = start();
    let head = "POST /refused HTTP/1.1\r\nhost: h\r\ncontent-length: 1000\r\n\r\nbody";
    let mut stream = connect(address);
    stream.write_all(head.as_bytes()).expect("it is open");
    assert_refused(&read_all(&mut stream));
    // The server stops reading after a while.
    let reset = loop {
        std::thread::sleep(Duration::from_millis(50));
        if let Err(error) = stream.write_all(b"x") {
            break error.kind();
        }
    };
    assert!(matches!(
        reset,
        ErrorKind::ConnectionReset | ErrorKind::BrokenPipe
    ));
}

/// Guards against a request that is smuggled behind a refused one.
#[test]
fn refused_request_is_the_last_on_its_connection() {
    let (address, counts) = start();
    let first = "POST /refused HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody";
    let second = "GET /served HTTP/1.1\r\nhost: h\r\n\r\n";
    assert_refused(&call(address, &[&(first.to_owned() + second)]));
    assert_eq!(counts.served.load(Ordering::SeqCst), 0);
    assert_eq!(counts.judged.load(Ordering::SeqCst), 1);
}

#[test]
fn refused_request_that_expects_100_gets_only_503() {
    let (address, _) = start();
    let head = "POST /refused HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\
                expect: 100-continue\r\n\r\n";
    let mut stream = connect(address);
    stream.write_all(head.as_bytes()).expect("it is open");
    let response = read_all(&mut stream);
    assert_refused(&response);
    stream.shutdown(Shutdown::Both).expect("it is open");
}

/// Guards against a body whose end is read in two ways.
#[test]
fn request_with_doubtful_framing_is_left_to_hyper() {
    let (address, counts) = start();
    let doubtful = [
        "content-length: 4\r\ntransfer-encoding: chunked\r\n",
        "content-length: 4\r\ncontent-length: 5\r\n",
        "content-length: +4\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
        "connection: upgrade\r\nupgrade: other\r\n",
        "folded: a\r\n b\r\n",
    ];
    for lines in doubtful {
        let request = format!(
            "POST /refused HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{lines}\r\n0\r\n\r\n"
        );
        let mut stream = connect(address);
        stream.write_all(request.as_bytes()).expect("it is open");
        stream.shutdown(Shutdown::Write).expect("it is open");
        let mut response = Vec::new();
        // hyper may close the connection with bytes that it has not read.
        let _ = stream.read_to_end(&mut response);
        assert!(!response.starts_with(b"HTTP/1.1 503"), "{lines}");
    }
    assert_eq!(counts.judged.load(Ordering::SeqCst), 0);
}

#[test]
fn request_in_http_1_0_is_left_to_hyper() {
    let (address, counts) = start();
    let response = call(address, &["GET /refused HTTP/1.0\r\nhost: h\r\n\r\n"]);
    assert!(response.starts_with("HTTP/1.0 200 "), "{response}");
    assert_eq!(counts.judged.load(Ordering::SeqCst), 0);
}

#[test]
fn request_with_long_head_is_left_to_hyper() {
    let (address, counts) = start();
    let line = |size| format!("x-long: {}\r\n", "x".repeat(size));
    let request = |size| {
        let line = line(size);
        format!("GET /refused HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{line}\r\n")
    };
    let response = call(address, &[&request(40_000)]);
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    let mut stream = connect(address);
    let _ = stream.write_all(request(100_000).as_bytes());
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    assert!(response.is_empty() || response.starts_with(b"HTTP/1.1 431"));
    assert_eq!(counts.judged.load(Ordering::SeqCst), 0);
}

#[test]
fn request_that_is_not_http_gets_400() {
    let (address, counts) = start();
    let response = call(address, &["nonsense\r\n\r\n"]);
    assert!(response.starts_with("HTTP/1.1 400 "), "{response}");
    assert_eq!(counts.judged.load(Ordering::SeqCst), 0);
}

/// Guards against bytes that are lost or repeated where hyper takes over.
#[test]
fn served_request_is_complete() {
    let (address, _) = start();
    let body = "x".repeat(50_000);
    let head = "POST /served HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
                content-length: 50000\r\n\r\n";
    let whole = format!("{head}{body}");
    let split = whole.split_at(20_000);
    for parts in [
        vec![whole.as_str()],
        vec![head, &body],
        vec![split.0, split.1],
    ] {
        let response = call(address, &parts);
        assert!(
            response.ends_with("/served 50000 admitted=false\n"),
            "{response}"
        );
    }
}

/// Guards against a slow caller that holds up others or is refused unread.
#[test]
fn request_in_pieces_is_served() {
    let (address, _) = start();
    let parts = [
        "POST /refu",
        "sed HTTP/1.1\r\nhost: h\r\nconnection: cl",
        "ose\r\ncontent-length: 4\r\n\r\nbo",
        "dy",
    ];
    let response = call_slowly(address, &parts, Duration::from_millis(200));
    assert!(
        response.ends_with("/refused 4 admitted=false\n"),
        "{response}"
    );
}

#[test]
fn admitted_request_is_marked_once() {
    let (address, counts) = start();
    let request = "GET /admitted HTTP/1.1\r\nhost: h\r\n\r\n";
    let last = "GET /admitted HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    let response = call(address, &[&(request.to_owned() + last)]);
    let marks: Vec<_> = response
        .match_indices("admitted=")
        .map(|(at, _)| &response[at..])
        .collect();
    assert!(marks[0].starts_with("admitted=true"), "{response}");
    assert!(marks[1].starts_with("admitted=false"), "{response}");
    assert_eq!(counts.judged.load(Ordering::SeqCst), 1);
}

#[test]
fn inactive_triage_is_not_asked() {
    let (address, counts) = start();
    counts.inactive.store(true, Ordering::SeqCst);
    let response = call(
        address,
        &["GET /refused HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"],
    );
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert_eq!(counts.judged.load(Ordering::SeqCst), 0);
}
