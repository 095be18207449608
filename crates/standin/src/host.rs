//! Serves a stand-in over HTTP and injects its faults.
//!
//! `/faults` returns (GET) or replaces (POST) the faults, which don't affect control requests.

use std::cell::Cell;
use std::fmt;
use std::future::poll_fn;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::HyperStream;
use futures_util::future::LocalBoxFuture;
use hibiscusrail_net::Body;
use http::{Method, Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

use crate::faults::{FaultInjector, RequestFaults};
use crate::http_util::{REQUEST_ID, json_response, parse_json, text_response};

/// A request whose body has been read completely.
pub type BufferedRequest = Request<Bytes>;

/// Request extension: respond with the previous request's id and text.
#[derive(Debug, Clone, Copy)]
pub struct Crossed;

/// A stand-in that [`serve`] exposes over HTTP.
pub trait Service: 'static {
    /// Returns the injector of the stand-in's faults.
    fn faults(&self) -> &FaultInjector;

    /// Handles one request, subject to faults.
    fn handle(self: Rc<Self>, request: BufferedRequest) -> LocalBoxFuture<'static, Response<Body>>;

    /// Handles a control request of the test harness, without faults; `None` for other requests.
    fn handle_control(&self, request: &BufferedRequest) -> Option<Response<Body>>;
}

/// Error that closes a connection as an injected fault.
#[derive(Debug)]
struct ClosedByFault;

impl fmt::Display for ClosedByFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("closed by an injected fault")
    }
}

impl std::error::Error for ClosedByFault {}

/// Delay before accepting again after an accept error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts and serves connections until the task is dropped.
pub async fn serve<S: Service>(listener: TcpListener, service: Rc<S>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let service = Rc::clone(&service);
                compio::runtime::spawn(serve_connection(stream, service)).detach();
            }
            Err(error) => {
                log::warn!(error:% = error; "accept_failed");
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<S: Service>(stream: TcpStream, service: Rc<S>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let opened_at = service.faults().silence_count();
    let is_control = Rc::new(Cell::new(false));
    let handler = {
        let (service, is_control) = (Rc::clone(&service), Rc::clone(&is_control));
        service_fn(move |request| {
            handle_request(Rc::clone(&service), Rc::clone(&is_control), request)
        })
    };
    let mut connection =
        pin!(http1::Builder::new().serve_connection(HyperStream::new_plain(stream), handler));
    // A silenced connection stays open but is never polled again.
    let result = poll_fn(|cx| {
        if service.faults().silence_count() > opened_at && !is_control.get() {
            return Poll::Pending;
        }
        connection.as_mut().poll(cx)
    })
    .await;
    if let Err(error) = result {
        log::debug!(error:% = error; "connection_ended");
    }
}

async fn handle_request<S: Service>(
    service: Rc<S>,
    is_control: Rc<Cell<bool>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, ClosedByFault> {
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return Ok(text_response(StatusCode::BAD_REQUEST, "body incomplete"));
    };
    let mut request = Request::from_parts(parts, body.to_bytes());
    if let Some(response) =
        handle_faults(&*service, &request).or_else(|| service.handle_control(&request))
    {
        is_control.set(true);
        return Ok(response);
    }
    let faults = service.faults().draw();
    if faults.drop_request {
        return Err(ClosedByFault);
    }
    delay(faults.request_delay).await;
    if faults.cross {
        request.extensions_mut().insert(Crossed);
    }
    let id = request.headers().get(REQUEST_ID).cloned();
    let mut response = Rc::clone(&service).handle(request).await;
    if let Some(id) = id {
        // Error responses carry the request id too.
        response.headers_mut().entry(REQUEST_ID).or_insert(id);
    }
    delay(faults.response_delay).await;
    if faults.drop_response {
        return Err(ClosedByFault);
    }
    Ok(response.map(|body| -> Body { Box::pin(FaultyBody::new(body, &faults, service)) }))
}

async fn delay(time: Duration) {
    if !time.is_zero() {
        compio::time::sleep(time).await;
    }
}

/// Handles a request to `/faults`; returns `None` for other paths.
fn handle_faults<S: Service>(service: &S, request: &BufferedRequest) -> Option<Response<Body>> {
    if request.uri().path() != "/faults" {
        return None;
    }
    if request.method() == Method::POST {
        match parse_json(request.body()) {
            Ok(faults) => service.faults().set(faults),
            Err(rejection) => return Some(rejection),
        }
    }
    Some(json_response(&service.faults().get()))
}

/// A response body that a fault may cut off.
struct FaultyBody<S> {
    inner: Body,
    service: Rc<S>,
    /// Chunks left to deliver before the cut; `None` delivers the whole body.
    chunks_left: Option<u32>,
    /// Newest chunk, delivered once another follows, so that the last one is never sent.
    held_chunk: Option<Bytes>,
    ended: bool,
}

impl<S: Service> FaultyBody<S> {
    fn new(inner: Body, faults: &RequestFaults, service: Rc<S>) -> Self {
        Self {
            inner,
            service,
            chunks_left: faults.max_chunks,
            held_chunk: None,
            ended: false,
        }
    }

    fn cut(&mut self) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.ended = true;
        let error = io::Error::new(io::ErrorKind::ConnectionAborted, ClosedByFault);
        Poll::Ready(Some(Err(error)))
    }

    /// Delivers the first half of a body that consists of one chunk.
    fn cut_in_half(&mut self, data: &Bytes) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.chunks_left = Some(0);
        let half = data.slice(..data.len() / 2);
        Poll::Ready(Some(Ok(Frame::data(half))))
    }
}

impl<S: Service> http_body::Body for FaultyBody<S> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let this = &mut *self;
        if this.ended {
            return Poll::Ready(None);
        }
        if this.service.faults().get().down {
            return this.cut();
        }
        let Some(chunks_left) = this.chunks_left else {
            return this.inner.as_mut().poll_frame(cx);
        };
        if chunks_left == 0 {
            return this.cut();
        }
        let single_chunk = this.inner.size_hint().exact().is_some();
        loop {
            let frame = std::task::ready!(this.inner.as_mut().poll_frame(cx));
            let Some(Ok(frame)) = frame else {
                return this.cut();
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if single_chunk {
                return this.cut_in_half(&data);
            }
            if let Some(chunk) = this.held_chunk.replace(data) {
                this.chunks_left = Some(chunks_left - 1);
                return Poll::Ready(Some(Ok(Frame::data(chunk))));
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.chunks_left.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.inner.size_hint()
    }
}
