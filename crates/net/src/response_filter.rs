//! Skips responses to earlier requests on a connection that is used again.
//!
//! A faulty server may send a second copy of a response, late, where the next response is expected.
//! Servers repeat the id of a request in their response, which tells the two apart. The filter looks
//! at the heads of responses from when a request is sent until its own response begins, and has no
//! cost afterwards. What it can't skip with certainty it leaves to the reader, who rejects it.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use http::{HeaderName, HeaderValue, header};
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};

/// Maximum number of responses skipped before one response.
const MAX_COPIES: u32 = 4;
/// Maximum bytes skipped before one response.
const MAX_SKIPPED_BYTES: u64 = 1 << 20;
/// Maximum size of a head, or of a line within a body, that is waited for.
const MAX_HELD_BYTES: usize = 64 << 10;
/// Maximum number of header lines; hyper has the same limit.
const MAX_HEADERS: usize = 100;
/// Bytes read at once.
const READ_BYTES: usize = 4 << 10;

/// The response that a connection's owner waits for.
#[derive(Debug)]
pub(crate) struct Expected {
    /// Header in which servers repeat the id of the request.
    pub(crate) name: HeaderName,
    /// Id of the request.
    pub(crate) id: HeaderValue,
}

/// Response that a connection waits for; none once it has begun.
pub(crate) type SharedExpected = Rc<RefCell<Option<Expected>>>;

/// How a response's body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length(u64),
    Chunked,
}

/// What is left of a response that is skipped.
#[derive(Debug)]
struct Skip {
    /// Bytes that are dropped before anything is parsed.
    left: u64,
    /// Whether further chunks follow.
    chunked: bool,
}

/// What the held bytes are.
#[derive(Debug, PartialEq, Eq)]
enum Step {
    /// More bytes are needed.
    Incomplete,
    /// They are for the reader.
    Deliver,
}

/// A connection whose reader does not see responses to earlier requests.
#[derive(Debug)]
pub(crate) struct ResponseFilter<S> {
    inner: S,
    peer: SocketAddr,
    expected: SharedExpected,
    /// Bytes that are not decided on, or that the reader has not taken.
    held: Vec<u8>,
    skip: Option<Skip>,
    copies: u32,
    skipped: u64,
}

impl<S> ResponseFilter<S> {
    pub(crate) fn new(inner: S, peer: SocketAddr, expected: SharedExpected) -> Self {
        Self {
            inner,
            peer,
            expected,
            held: Vec::new(),
            skip: None,
            copies: 0,
            skipped: 0,
        }
    }

    /// Moves held bytes to the reader.
    fn deliver(&mut self, buf: &mut ReadBufCursor<'_>) {
        let count = self.held.len().min(buf.remaining());
        buf.put_slice(&self.held[..count]);
        self.held.drain(..count);
    }

    /// Ends the search, as the response begins or can't be told from others.
    fn end_search(&mut self) {
        self.expected.take();
        self.skip = None;
        if self.copies > 0 {
            let (copies, bytes) = (self.copies, self.skipped);
            log::info!(peer:% = self.peer, copies = copies, bytes = bytes; "responses_skipped");
        }
        (self.copies, self.skipped) = (0, 0);
    }

    /// Drops responses to other requests at the beginning of the held bytes.
    fn look(&mut self) -> Step {
        loop {
            let Some(skip) = &mut self.skip else {
                match self.begin_skip() {
                    Some(step) => return step,
                    None => continue,
                }
            };
            if skip.left > 0 {
                let count = skip.left.min(self.held.len() as u64);
                skip.left -= count;
                self.skipped += count;
                self.held
                    .drain(..usize::try_from(count).unwrap_or(usize::MAX));
                if self.skipped > MAX_SKIPPED_BYTES {
                    return Step::Deliver;
                }
                if self.skip.as_ref().is_some_and(|s| s.left > 0) {
                    return Step::Incomplete;
                }
            } else if skip.chunked {
                match next_chunk(&self.held) {
                    Chunk::Size { bytes, last } => {
                        skip.left = bytes;
                        skip.chunked = !last;
                    }
                    Chunk::Incomplete if self.held.len() < MAX_HELD_BYTES => {
                        return Step::Incomplete;
                    }
                    Chunk::Incomplete | Chunk::Invalid => return Step::Deliver,
                }
            } else {
                self.skip = None;
            }
        }
    }

    /// Parses the head of the next response; none if it is skipped.
    fn begin_skip(&mut self) -> Option<Step> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut lines);
        let head = match response.parse(&self.held) {
            Ok(httparse::Status::Complete(head)) => head,
            Ok(httparse::Status::Partial) if self.held.len() < MAX_HELD_BYTES => {
                return Some(Step::Incomplete);
            }
            Ok(httparse::Status::Partial) | Err(_) => return Some(Step::Deliver),
        };
        let is_other = self.expected.borrow().as_ref().is_some_and(|expected| {
            let id = find(&response, expected.name.as_str());
            id.is_some_and(|id| id != expected.id.as_bytes())
        });
        let framing = framing(&response).filter(|_| is_other && self.copies < MAX_COPIES);
        let Some(framing) = framing else {
            return Some(Step::Deliver);
        };
        self.copies += 1;
        self.skip = Some(match framing {
            Framing::Length(length) => Skip {
                left: length.saturating_add(head as u64),
                chunked: false,
            },
            Framing::Chunked => Skip {
                left: head as u64,
                chunked: true,
            },
        });
        None
    }
}

/// Returns the value of a response's only header of this name.
fn find<'a>(response: &httparse::Response<'_, 'a>, name: &str) -> Option<&'a [u8]> {
    let mut found = response
        .headers
        .iter()
        .filter(|line| line.name.eq_ignore_ascii_case(name));
    let value = found.next()?.value;
    found.next().is_none().then_some(value)
}

/// Returns how the body ends; none if that is not certain.
fn framing(response: &httparse::Response<'_, '_>) -> Option<Framing> {
    let count = |name: &HeaderName| {
        let lines = response.headers.iter();
        lines
            .filter(|l| l.name.eq_ignore_ascii_case(name.as_str()))
            .count()
    };
    if count(&header::CONTENT_LENGTH) > 1 || count(&header::TRANSFER_ENCODING) > 1 {
        return None;
    }
    let length = find(response, header::CONTENT_LENGTH.as_str());
    let coding = find(response, header::TRANSFER_ENCODING.as_str());
    match (response.code?, length, coding) {
        (0..200, _, _) => None,
        (204 | 304, _, _) => Some(Framing::Length(0)),
        (_, Some(length), None) => {
            let text = std::str::from_utf8(length).ok()?;
            let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
            Some(Framing::Length(text.parse().ok().filter(|_| is_number)?))
        }
        (_, None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => {
            Some(Framing::Chunked)
        }
        _ => None,
    }
}

/// The next chunk of a body.
enum Chunk {
    /// It takes so many bytes, with its size and line ends.
    Size {
        bytes: u64,
        last: bool,
    },
    Incomplete,
    Invalid,
}

fn next_chunk(bytes: &[u8]) -> Chunk {
    match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete((start, 0))) => {
            let rest = &bytes[start..];
            // Trailers end with an empty line, which is the first one if there are none.
            let end = if rest.starts_with(b"\r\n") {
                Some(2)
            } else {
                rest.windows(4)
                    .position(|w| w == b"\r\n\r\n")
                    .map(|at| at + 4)
            };
            end.map_or(Chunk::Incomplete, |end| Chunk::Size {
                bytes: (start + end) as u64,
                last: true,
            })
        }
        Ok(httparse::Status::Complete((start, size))) => Chunk::Size {
            bytes: size.saturating_add(start as u64 + 2),
            last: false,
        },
        Ok(httparse::Status::Partial) => Chunk::Incomplete,
        Err(_) => Chunk::Invalid,
    }
}

impl<S: Read + Unpin> Read for ResponseFilter<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        while this.expected.borrow().is_some() {
            let mut bytes = [0; READ_BYTES];
            let mut read = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut this.inner).poll_read(cx, read.unfilled()))?;
            this.held.extend_from_slice(read.filled());
            if read.filled().is_empty() || this.look() == Step::Deliver {
                this.end_search();
                if this.held.is_empty() {
                    return Poll::Ready(Ok(()));
                }
            }
        }
        if this.held.is_empty() {
            return Pin::new(&mut this.inner).poll_read(cx, buf);
        }
        this.deliver(&mut buf);
        Poll::Ready(Ok(()))
    }
}

impl<S: Write + Unpin> Write for ResponseFilter<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
