//! How the ends of callers' connections are logged.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::{Mutex, Once};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use hibiscusrail_net::{Connections, Limits, bind, channel, full, serve_counted};
use http::{HeaderName, Response};

/// Timeout of every read in these tests, and of waiting for a log line.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Header with the id of a request.
const ID: HeaderName = HeaderName::from_static("x-call");

type Line = BTreeMap<String, String>;

/// Ends of connections that were logged.
static LINES: Mutex<Vec<Line>> = Mutex::new(Vec::new());

struct Recorder;

impl log::Log for Recorder {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.args().to_string() != "connection_ended" {
            return;
        }
        let mut line = Pairs(Line::new());
        record
            .key_values()
            .visit(&mut line)
            .expect("all pairs are visited");
        line.0
            .insert("level".to_owned(), record.level().to_string());
        LINES.lock().expect("no test panicked").push(line.0);
    }

    fn flush(&self) {}
}

struct Pairs(Line);

impl<'a> log::kv::VisitSource<'a> for Pairs {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'a>,
        value: log::kv::Value<'a>,
    ) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

/// Returns the line about the connection whose last request had this id.
fn line_of(id: &str) -> Line {
    let start = Instant::now();
    while start.elapsed() < TIMEOUT {
        let lines = LINES.lock().expect("no test panicked");
        let found = lines
            .iter()
            .find(|l| l.get("request").is_some_and(|r| r == id));
        if let Some(line) = found {
            return line.clone();
        }
        drop(lines);
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("the end of {id} was not logged");
}

fn assert_line(line: &Line, expected: &[(&str, &str)]) {
    for (key, value) in expected {
        assert_eq!(line.get(*key).map(String::as_str), Some(*value), "{line:?}");
    }
}

/// Starts a server that answers `/whole`, breaks off `/broken` and never answers `/held`.
fn start() -> SocketAddr {
    static LOGGER: Once = Once::new();
    LOGGER.call_once(|| {
        log::set_logger(&Recorder).expect("no other logger is set");
        log::set_max_level(log::LevelFilter::Debug);
    });
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().expect("the event loop is created");
        runtime.block_on(async {
            let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("loopback is up");
            let address = listener.local_addr().expect("the listener is bound");
            sender.send(address).expect("the test waits");
            let handler = Rc::new(|request: http::Request<hyper::body::Incoming>| {
                async move {
                    match request.uri().path() {
                        "/broken" => {
                            let (sender, body) = channel();
                            let part = Ok(Bytes::from_static(b"part"));
                            sender.unbounded_send(part).expect("it is open");
                            let error = Err(io::Error::other("broken off"));
                            sender.unbounded_send(error).expect("it is open");
                            Response::new(body)
                        }
                        "/held" => std::future::pending().await,
                        "/long" => Response::new(full(vec![b'x'; 20_000_000])),
                        _ => Response::new(full("ok")),
                    }
                }
                .boxed_local()
            });
            let limits = Limits {
                head_timeout: Duration::from_millis(300),
                write_timeout: Duration::from_millis(300),
                ..Limits::new()
            };
            let connections = Rc::new(Connections::new().with_id_header(ID));
            serve_counted(listener, limits, handler, connections).await;
        });
    });
    receiver.recv().expect("the server starts")
}

fn send(address: SocketAddr, path: &str, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("it listens");
    let timeout = Some(TIMEOUT);
    stream.set_read_timeout(timeout).expect("it is open");
    let head = format!("GET {path} HTTP/1.1\r\nhost: h\r\n{ID}: {id}\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("it is open");
    stream
}

/// Guards against a response that breaks off without a line that names its request.
#[test]
fn end_of_aborted_response_is_logged() {
    let mut stream = send(start(), "/broken", "aborted");
    let _ = stream.read_to_end(&mut Vec::new());
    let expected = [
        ("level", "INFO"),
        ("requests", "1"),
        ("stage", "Responding"),
        ("cause", "ResponseAborted"),
    ];
    assert_line(&line_of("aborted"), &expected);
}

/// Guards against a caller's end while its request runs that looks like one of an idle connection.
#[test]
fn end_by_waiting_caller_is_logged() {
    let stream = send(start(), "/held", "left");
    std::thread::sleep(Duration::from_millis(50));
    drop(stream);
    let expected = [
        ("level", "INFO"),
        ("stage", "Handling"),
        ("cause", "PeerClosed"),
    ];
    assert_line(&line_of("left"), &expected);
}

/// Guards against a response that its caller did not read to the end and that counts as delivered.
#[test]
fn end_of_unread_response_is_logged() {
    let stream = send(start(), "/long", "unread");
    let line = line_of("unread");
    drop(stream);
    let expected = [
        ("level", "INFO"),
        ("stage", "Flushing"),
        ("cause", "WriteTimeout"),
    ];
    assert_line(&line, &expected);
}

/// Guards against ends of idle connections that fill the log, or that name no cause.
#[test]
fn end_of_idle_connection_is_logged_as_debug() {
    let address = start();
    let mut stream = send(address, "/whole", "first");
    let mut answer = [0; 1_024];
    let _ = stream.read(&mut answer).expect("it is answered");
    let head = format!("GET /whole HTTP/1.1\r\nhost: h\r\n{ID}: idle\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("it is open");
    let expected = [
        ("level", "DEBUG"),
        ("requests", "2"),
        ("stage", "Idle"),
        ("cause", "HeadTimeout"),
    ];
    assert_line(&line_of("idle"), &expected);
    let mut stream = send(address, "/whole", "closed");
    let _ = stream.read(&mut answer).expect("it is answered");
    drop(stream);
    let expected = [
        ("level", "DEBUG"),
        ("stage", "Idle"),
        ("cause", "PeerClosed"),
    ];
    assert_line(&line_of("closed"), &expected);
}
