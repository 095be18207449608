//! Serves a stand-in over HTTP and lets its faults strike.

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

use crate::faults::{Fate, FaultSwitch};
use crate::http_util::{REQUEST_ID, ok_json, read_json, status};

/// A request whose body has been read.
pub type Whole = Request<Bytes>;

/// Marks a request whose answer is to be as if to another request.
#[derive(Debug, Clone, Copy)]
pub struct Crossed;

/// A stand-in that answers requests.
pub trait Service: 'static {
    /// Returns the faults.
    fn faults(&self) -> &FaultSwitch;

    /// Answers one request.
    fn answer(self: Rc<Self>, request: Whole) -> LocalBoxFuture<'static, Response<Body>>;

    /// Answers a request of whoever runs the test; none when it is not one.
    ///
    /// Faults leave such requests alone.
    fn control(&self, request: &Whole) -> Option<Response<Body>>;
}

/// Why a connection is closed without an answer.
#[derive(Debug)]
struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("closed by a fault")
    }
}

impl std::error::Error for Closed {}

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until the task is dropped.
pub async fn serve<S: Service>(listener: TcpListener, service: Rc<S>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let service = Rc::clone(&service);
                compio::runtime::spawn(connection(stream, service)).detach();
            }
            Err(error) => {
                log::warn!(error:% = error; "accept_failed");
                compio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<S: Service>(stream: TcpStream, service: Rc<S>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let opened = service.faults().silences();
    let control = Rc::new(Cell::new(false));
    let exchange = {
        let (service, control) = (Rc::clone(&service), Rc::clone(&control));
        service_fn(move |request| respond(Rc::clone(&service), Rc::clone(&control), request))
    };
    let mut exchanges =
        pin!(http1::Builder::new().serve_connection(HyperStream::new_plain(stream), exchange));
    // A silent connection stays open and is never looked at again.
    let result = poll_fn(|cx| {
        if service.faults().silences() > opened && !control.get() {
            return Poll::Pending;
        }
        exchanges.as_mut().poll(cx)
    })
    .await;
    if let Err(error) = result {
        log::debug!(error:% = error; "connection_ended");
    }
}

async fn respond<S: Service>(
    service: Rc<S>,
    control: Rc<Cell<bool>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Closed> {
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return Ok(status(StatusCode::BAD_REQUEST, "body incomplete"));
    };
    let mut request = Request::from_parts(parts, body.to_bytes());
    if let Some(answer) = switch(&*service, &request).or_else(|| service.control(&request)) {
        control.set(true);
        return Ok(answer);
    }
    let fate = service.faults().draw();
    if fate.refuse {
        return Err(Closed);
    }
    pause(fate.slow).await;
    if fate.cross {
        request.extensions_mut().insert(Crossed);
    }
    let id = request.headers().get(REQUEST_ID).cloned();
    let mut answer = Rc::clone(&service).answer(request).await;
    if let Some(id) = id {
        // Refusals and failures name their request too.
        answer.headers_mut().entry(REQUEST_ID).or_insert(id);
    }
    pause(fate.late).await;
    if fate.lose {
        return Err(Closed);
    }
    Ok(answer.map(|body| -> Body { Box::pin(Faulty::new(body, &fate, service)) }))
}

async fn pause(time: Duration) {
    if !time.is_zero() {
        compio::time::sleep(time).await;
    }
}

/// Shows and switches the faults.
fn switch<S: Service>(service: &S, request: &Whole) -> Option<Response<Body>> {
    if request.uri().path() != "/faults" {
        return None;
    }
    if request.method() == Method::POST {
        match read_json(request.body()) {
            Ok(faults) => service.faults().set(faults),
            Err(refusal) => return Some(refusal),
        }
    }
    Some(ok_json(&service.faults().get()))
}

/// A body that may be cut in the middle.
struct Faulty<S> {
    inner: Body,
    service: Rc<S>,
    /// Parts left until the cut.
    parts: Option<u32>,
    /// The part that is delivered once another follows; the last one is lost.
    held: Option<Bytes>,
    ended: bool,
}

impl<S: Service> Faulty<S> {
    fn new(inner: Body, fate: &Fate, service: Rc<S>) -> Self {
        Self {
            inner,
            service,
            parts: fate.truncate,
            held: None,
            ended: false,
        }
    }

    fn cut(&mut self) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.ended = true;
        let error = io::Error::new(io::ErrorKind::ConnectionAborted, Closed);
        Poll::Ready(Some(Err(error)))
    }

    /// Cuts a body that consists of one part in its middle.
    fn halve(&mut self, data: &Bytes) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.parts = Some(0);
        let half = data.slice(..data.len() / 2);
        Poll::Ready(Some(Ok(Frame::data(half))))
    }
}

impl<S: Service> http_body::Body for Faulty<S> {
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
        let Some(parts) = this.parts else {
            return this.inner.as_mut().poll_frame(cx);
        };
        if parts == 0 {
            return this.cut();
        }
        let whole = this.inner.size_hint().exact().is_some();
        loop {
            let frame = std::task::ready!(this.inner.as_mut().poll_frame(cx));
            let Some(Ok(frame)) = frame else {
                return this.cut();
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if whole {
                return this.halve(&data);
            }
            if let Some(part) = this.held.replace(data) {
                this.parts = Some(parts - 1);
                return Poll::Ready(Some(Ok(Frame::data(part))));
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.parts.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.inner.size_hint()
    }
}
