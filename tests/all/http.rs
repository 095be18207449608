//! HTTP requests and raw connections for tests.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use hibiscusrail_net::{connect, full};
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::BodyExt;
use serde_json::Value;

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a read on a raw connection.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A response with its complete body as text.
#[derive(Debug)]
pub struct TextResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
}

impl TextResponse {
    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("the body is JSON")
    }

    /// Returns the `code` and `execution` fields of a refusal.
    pub fn refusal(&self) -> (String, String) {
        let error = &self.json()["error"];
        let text = |key: &str| error[key].as_str().expect("a text").to_owned();
        let id = self.headers["x-request-id"].to_str().expect("a text");
        assert_eq!(id, text("request_id"));
        (text("code"), text("execution"))
    }

    /// Asserts that this is a refusal with `status` and `code` of a request that was not run.
    pub fn assert_not_run(&self, status: u16, code: &str) {
        assert_eq!(self.status.as_u16(), status, "{}", self.body);
        let expected = (code.to_owned(), "not_run".to_owned());
        assert_eq!(self.refusal(), expected);
    }
}

/// Builds a request with a bearer token.
pub fn request(method: Method, path: &str, token: &str, body: &str) -> Request<String> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, "router")
        .header(header::AUTHORIZATION, format!("Bearer {token}"))
        .body(body.to_owned())
        .expect("the request is valid")
}

/// Sends a request on a new connection.
pub async fn send(peer: SocketAddr, request: Request<String>) -> TextResponse {
    let mut connection = connect(peer, CONNECT_TIMEOUT).await.expect("a connection");
    let (parts, body) = request.into_parts();
    let response = connection
        .send_request(Request::from_parts(parts, full(body)))
        .await
        .expect("a response");
    let (parts, body) = response.into_parts();
    let body = body.collect().await.expect("a whole body").to_bytes();
    TextResponse {
        status: parts.status,
        headers: parts.headers,
        body: String::from_utf8(body.to_vec()).expect("text"),
    }
}

/// Sends raw bytes on a new connection and returns the bytes received until it closes; runs on its
/// own thread, so that the blocking connection does not stop the event loop.
pub async fn raw(peer: SocketAddr, bytes: &'static [u8]) -> String {
    let (sender, receiver) = futures_channel::oneshot::channel();
    std::thread::spawn(move || {
        let mut stream = TcpStream::connect(peer).expect("a connection");
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("a valid timeout");
        stream.write_all(bytes).expect("the bytes are sent");
        let mut response = Vec::new();
        // A connection reset keeps the bytes received before it.
        let _ = stream.read_to_end(&mut response);
        let _ = sender.send(String::from_utf8_lossy(&response).into_owned());
    });
    receiver.await.expect("the thread sends the response")
}
