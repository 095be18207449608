//! Refuses requests on new connections of an overloaded program, from the bytes that have arrived.
//!
//! A refused connection gets no task, no registration with the event loop and no connection of
//! hyper: its head is parsed, the response is written, and the connection is closed once the body has
//! been read. Anything that is not a plain HTTP/1.1 request, and whatever the handler
//! lets pass, goes on to hyper with the bytes that were read.

use std::io;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, Uri, Version, header};
use rustix::net::SendFlags;

use crate::socket::receive;

/// Maximum bytes of a head that are read here; hyper reads longer ones within its own limit.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of header lines; hyper has the same limit.
const MAX_HEADERS: usize = 100;
/// Maximum connections whose bytes are waited for.
const MAX_WAITING: usize = 64;
/// Time for which the rest of a head is waited for before hyper takes over.
const HEAD_TIMEOUT: Duration = Duration::from_millis(30);
/// Interval of looking at the connections that are waited for.
const WAIT_INTERVAL: Duration = Duration::from_millis(20);

/// Decision on the first request of a new connection.
#[derive(Debug)]
pub enum Verdict {
    /// Serve it; whether it is admitted is decided later.
    Serve,
    /// Serve it; the request was admitted and has [`Admitted`] among its extensions.
    Admit,
    /// Write this response and close the connection.
    Refuse(Response<Bytes>),
}

/// Extension of a request that [`Triage::judge`] admitted.
#[derive(Debug, Clone, Copy)]
pub struct Admitted;

/// Decides on the first request of new connections.
pub trait Triage {
    /// Returns whether requests may be refused at present; otherwise connections are served.
    fn is_active(&self) -> bool;

    /// Decides on a request; `length` is the size of its body, unless that is sent in chunks.
    fn judge(&self, request: &Parts, length: Option<u64>) -> Verdict;

    /// Returns the response to a request on a connection over the limit.
    fn refuse_excess(&self, request: &Parts) -> Response<Bytes>;
}

/// Refuses every request, as its connection is over the limit.
pub(crate) struct OverLimit(pub(crate) Rc<dyn Triage>);

impl Triage for OverLimit {
    fn is_active(&self) -> bool {
        true
    }

    fn judge(&self, request: &Parts, _length: Option<u64>) -> Verdict {
        Verdict::Refuse(self.0.refuse_excess(request))
    }

    fn refuse_excess(&self, request: &Parts) -> Response<Bytes> {
        self.0.refuse_excess(request)
    }
}

/// A connection with the bytes read from it.
#[derive(Debug)]
pub(crate) struct Opened {
    /// Socket that does not block.
    pub(crate) stream: OwnedFd,
    pub(crate) bytes: Vec<u8>,
    pub(crate) admitted: bool,
}

impl Opened {
    /// Creates a connection that nothing was read from.
    pub(crate) fn new(stream: OwnedFd) -> Self {
        Self {
            stream,
            bytes: Vec::new(),
            admitted: false,
        }
    }
}

/// What is done next with a connection.
pub(crate) enum Next {
    /// hyper serves it.
    Serve(Opened),
    /// The rest of the head has to arrive.
    Wait(Waiting),
    /// Its request was refused and so many bytes of the body are left, or an unknown number.
    Refused(OwnedFd, Option<u64>),
    /// It is closed.
    Done,
}

/// A connection whose request's head has not arrived.
#[derive(Debug)]
pub(crate) struct Waiting {
    stream: OwnedFd,
    bytes: Vec<u8>,
    until: Instant,
}

/// Size of a request's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length(u64),
    Chunked,
}

/// A parsed request head.
struct Head {
    parts: Parts,
    bytes: usize,
    framing: Framing,
}

enum Parsed {
    Complete(Box<Head>),
    Partial,
    /// Not a request that is handled here.
    Other,
}

/// Connections that wait for their heads, in the order of their arrival.
#[derive(Debug, Default)]
pub(crate) struct WaitingRoom {
    waiting: Vec<Waiting>,
}

impl WaitingRoom {
    /// Returns the interval of looking at the connections.
    pub(crate) const INTERVAL: Duration = WAIT_INTERVAL;

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a connection; if there is no room for it, returns it for hyper.
    pub(crate) fn add(&mut self, waiting: Waiting) -> Result<(), Opened> {
        if self.waiting.len() >= MAX_WAITING {
            return Err(waiting.give_up());
        }
        self.waiting.push(waiting);
        Ok(())
    }

    /// Looks at all connections again and returns what is done with those that don't wait any longer.
    pub(crate) fn look(&mut self, now: Instant, triage: &dyn Triage) -> Vec<Next> {
        let mut ended = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            match waiting.look(triage) {
                Next::Wait(waiting) if now < waiting.until => self.waiting.push(waiting),
                Next::Wait(waiting) => ended.push(Next::Serve(waiting.give_up())),
                next => ended.push(next),
            }
        }
        ended
    }
}

/// Looks at a new connection.
pub(crate) fn open(now: Instant, stream: OwnedFd, triage: &dyn Triage) -> Next {
    let waiting = Waiting {
        stream,
        bytes: Vec::new(),
        until: now + HEAD_TIMEOUT,
    };
    waiting.look(triage)
}

impl Waiting {
    /// Returns the connection for hyper, as its request is not decided on.
    fn give_up(self) -> Opened {
        Opened {
            stream: self.stream,
            bytes: self.bytes,
            admitted: false,
        }
    }

    fn serve(self, admitted: bool) -> Next {
        Next::Serve(Opened {
            stream: self.stream,
            bytes: self.bytes,
            admitted,
        })
    }

    fn look(mut self, triage: &dyn Triage) -> Next {
        match receive(&self.stream, |bytes| self.bytes.extend_from_slice(bytes)) {
            Ok(0) => return Next::Done,
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Next::Wait(self),
            Err(error) => {
                log::debug!(step = "triage", error:% = error; "connection_ended");
                return Next::Done;
            }
        }
        let head = match parse(&self.bytes) {
            Parsed::Complete(head) => head,
            Parsed::Partial if self.bytes.len() < MAX_HEAD_BYTES => return Next::Wait(self),
            Parsed::Partial | Parsed::Other => return self.serve(false),
        };
        let length = match head.framing {
            Framing::Length(length) => Some(length),
            Framing::Chunked => None,
        };
        match triage.judge(&head.parts, length) {
            Verdict::Serve => self.serve(false),
            Verdict::Admit => self.serve(true),
            Verdict::Refuse(response) => self.refuse(&head, &response),
        }
    }

    /// Writes the response.
    fn refuse(self, head: &Head, response: &Response<Bytes>) -> Next {
        let bytes = serialize(response);
        match rustix::net::send(&self.stream, &bytes, SendFlags::NOSIGNAL) {
            Ok(sent) if sent == bytes.len() => {}
            // A new connection has room for a response, unless the caller has gone.
            Ok(sent) => {
                log::debug!(step = "refuse", sent = sent; "connection_ended");
                return Next::Done;
            }
            Err(error) => {
                log::debug!(step = "refuse", error:% = io::Error::from(error); "connection_ended");
                return Next::Done;
            }
        }
        let body = &self.bytes[head.bytes..];
        let left = match head.framing {
            Framing::Length(length) => Some(length.saturating_sub(body.len() as u64)),
            Framing::Chunked if has_last_chunk(body) => Some(0),
            Framing::Chunked => None,
        };
        Next::Refused(self.stream, left)
    }
}

fn parse(bytes: &[u8]) -> Parsed {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut lines);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        // hyper answers requests that are not valid.
        Err(_) => return Parsed::Other,
    };
    let Some(head) = to_head(&request, length) else {
        return Parsed::Other;
    };
    Parsed::Complete(Box::new(head))
}

/// Converts a parsed head; none if its body has no certain end or hyper treats it in another way.
fn to_head(request: &httparse::Request<'_, '_>, bytes: usize) -> Option<Head> {
    let path = request.path.filter(|p| p.starts_with('/'))?;
    if request.version != Some(1) {
        return None;
    }
    let mut headers = HeaderMap::with_capacity(request.headers.len());
    for line in request.headers.iter() {
        let name = HeaderName::from_bytes(line.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(line.value).ok()?);
    }
    if headers.contains_key(header::UPGRADE) {
        return None;
    }
    let framing = framing(&headers)?;
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = Method::from_bytes(request.method?.as_bytes()).ok()?;
    parts.uri = path.parse::<Uri>().ok()?;
    parts.version = Version::HTTP_11;
    parts.headers = headers;
    Some(Head {
        parts,
        bytes,
        framing,
    })
}

/// Returns the size of a body; none if the headers leave any doubt.
fn framing(headers: &HeaderMap) -> Option<Framing> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let framing = match (lengths.next(), codings.next()) {
        (None, None) => Framing::Length(0),
        (Some(length), None) => {
            let text = length.to_str().ok()?;
            let is_number = text.bytes().all(|b| b.is_ascii_digit());
            Framing::Length(text.parse().ok().filter(|_| is_number)?)
        }
        (None, Some(coding)) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Framing::Chunked
        }
        _ => return None,
    };
    (lengths.next().is_none() && codings.next().is_none()).then_some(framing)
}

/// Returns whether the chunks of a body end in these bytes.
fn has_last_chunk(mut body: &[u8]) -> bool {
    while let Ok(httparse::Status::Complete((start, size))) = httparse::parse_chunk_size(body) {
        if size == 0 {
            // The last chunk may be followed by trailers; an empty line ends them.
            let rest = &body[start..];
            return rest.starts_with(b"\r\n") || rest.windows(4).any(|w| w == b"\r\n\r\n");
        }
        let end = usize::try_from(size)
            .ok()
            .and_then(|size| start.checked_add(size)?.checked_add(2));
        let Some(rest) = end.and_then(|end| body.get(end..)) else {
            return false;
        };
        body = rest;
    }
    false
}

/// Returns the bytes of a response after which the connection is closed.
fn serialize(response: &Response<Bytes>) -> Vec<u8> {
    let status = response.status();
    let mut bytes = Vec::with_capacity(256 + response.body().len());
    bytes.extend_from_slice(b"HTTP/1.1 ");
    bytes.extend_from_slice(status.as_str().as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(status.canonical_reason().unwrap_or_default().as_bytes());
    bytes.extend_from_slice(b"\r\n");
    let is_set_here = |n: &HeaderName| [header::CONNECTION, header::CONTENT_LENGTH].contains(n);
    for (name, value) in response.headers().iter().filter(|(n, _)| !is_set_here(n)) {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    let length = response.body().len();
    bytes.extend_from_slice(
        format!("connection: close\r\ncontent-length: {length}\r\n\r\n").as_bytes(),
    );
    bytes.extend_from_slice(response.body());
    bytes
}
