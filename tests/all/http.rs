//! Plain HTTP requests and raw connections for tests.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use hibiscusrail_net::{connect, full};
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::BodyExt;
use serde_json::Value;

/// Time to connect.
const CONNECT_TIME: Duration = Duration::from_secs(5);
/// Time after which a raw read gives up.
const READ_TIME: Duration = Duration::from_secs(20);

/// An answer that was read whole.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: String,
}

impl Answer {
    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("the body is JSON")
    }

    /// Returns code and execution of a refusal.
    pub fn refusal(&self) -> (String, String) {
        let error = &self.json()["error"];
        let text = |key: &str| error[key].as_str().expect("a text").to_owned();
        let id = self.headers["x-request-id"].to_str().expect("a text");
        assert_eq!(id, text("request_id"));
        (text("code"), text("execution"))
    }

    /// Checks that this is a refusal of a request that was not run.
    pub fn assert_not_run(&self, status: u16, code: &str) {
        assert_eq!(self.status.as_u16(), status, "{}", self.body);
        let expected = (code.to_owned(), "not_run".to_owned());
        assert_eq!(self.refusal(), expected);
    }
}

/// Returns a request to `path` with a bearer token.
pub fn request(method: Method, path: &str, token: &str, body: &str) -> Request<String> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, "router")
        .header(header::AUTHORIZATION, format!("Bearer {token}"))
        .body(body.to_owned())
        .expect("the request is valid")
}

/// Sends a request on a connection of its own.
pub async fn send(peer: SocketAddr, request: Request<String>) -> Answer {
    let mut connection = connect(peer, CONNECT_TIME).await.expect("a connection");
    let (parts, body) = request.into_parts();
    let answer = connection
        .send_request(Request::from_parts(parts, full(body)))
        .await
        .expect("an answer");
    let (parts, body) = answer.into_parts();
    let body = body.collect().await.expect("a whole body").to_bytes();
    Answer {
        status: parts.status,
        headers: parts.headers,
        body: String::from_utf8(body.to_vec()).expect("text"),
    }
}

/// Sends raw bytes from a thread of its own and returns all that comes back
/// until the router closes.
pub async fn raw(peer: SocketAddr, bytes: &'static [u8]) -> String {
    let (sender, receiver) = futures_channel::oneshot::channel();
    std::thread::spawn(move || {
        let mut stream = TcpStream::connect(peer).expect("a connection");
        stream.set_read_timeout(Some(READ_TIME)).expect("a time");
        stream.write_all(bytes).expect("the bytes leave");
        let mut answer = Vec::new();
        // A reset after the answer still leaves what came before it.
        let _ = stream.read_to_end(&mut answer);
        let _ = sender.send(String::from_utf8_lossy(&answer).into_owned());
    });
    receiver.await.expect("the thread answers")
}
