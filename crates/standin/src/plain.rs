//! A plain service, not a model engine: calls take a fixed time, those above capacity are rejected.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hibiscusrail_net::{Body, full};
use http::{HeaderValue, Method, Response, StatusCode};
use serde::Serialize;

use crate::faults::FaultInjector;
use crate::host::{Crossed, Service};
use crate::http_util::{
    BufferedRequest, REQUEST_ID, epoch_ms, header_str, json_response, text_response,
};
use crate::runs::{Run, RunLog};

/// Response header of a request that the server rejected without processing it.
pub const NOT_ADMITTED: &str = "x-not-admitted";

/// The service's load report, returned by `GET /load`.
#[derive(Debug, Serialize)]
struct Load {
    incarnation: u64,
    running: u32,
    waiting: u32,
}

/// A simulated plain service.
#[derive(Debug)]
pub struct Plain {
    /// Time to process a call.
    delay: Duration,
    running: Cell<u32>,
    /// Maximum number of concurrent calls.
    capacity: u32,
    incarnation: Cell<u64>,
    /// Request id and response text of the previous call, for the `cross` fault.
    previous: RefCell<(String, String)>,
    faults: FaultInjector,
    /// Log of all calls that were admitted.
    pub runs: RunLog,
}

/// Counts a call as running until dropped, also when the caller disconnects.
struct RunningGuard<'a>(&'a Cell<u32>);

impl<'a> RunningGuard<'a> {
    fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Plain {
    /// Creates a service that takes `delay` for each call and processes up to `capacity` at once.
    #[must_use]
    pub fn new(delay: Duration, capacity: u32) -> Self {
        Self {
            delay,
            running: Cell::new(0),
            capacity,
            incarnation: Cell::new(epoch_ms()),
            previous: RefCell::default(),
            faults: FaultInjector::default(),
            runs: RunLog::default(),
        }
    }

    async fn call(&self, request: &BufferedRequest) -> Response<Body> {
        if self.running.get() >= self.capacity {
            self.runs.count_rejected();
            return not_admitted_response();
        }
        let _running = RunningGuard::new(&self.running);
        let run = self
            .runs
            .push(Run::new(request, self.running.get(), self.capacity));
        compio::time::sleep(self.delay).await;
        self.runs.update(run, |r| {
            r.output_tokens = 1;
            r.end(true);
        });
        let id = header_str(request.headers(), REQUEST_ID).unwrap_or_default();
        let text = format!("{id} {} {}", request.method(), request.uri().path());
        let previous = self.previous.replace((id.clone(), text.clone()));
        let crossed = request.extensions().get::<Crossed>().is_some();
        let (id, text) = if crossed { previous } else { (id, text) };
        let mut response = Response::new(full(text));
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(REQUEST_ID, id);
        }
        response
    }
}

/// Builds the response to a request that a server at its capacity rejects.
#[must_use]
pub fn not_admitted_response() -> Response<Body> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "overloaded");
    response
        .headers_mut()
        .insert(NOT_ADMITTED, HeaderValue::from_static("1"));
    response
}

impl Service for Plain {
    fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    fn handle(self: Rc<Self>, request: BufferedRequest) -> LocalBoxFuture<'static, Response<Body>> {
        async move {
            if request.method() == Method::GET && request.uri().path() == "/load" {
                return json_response(&Load {
                    incarnation: self.incarnation.get(),
                    running: self.running.get(),
                    waiting: 0,
                });
            }
            self.call(&request).await
        }
        .boxed_local()
    }

    fn handle_control(&self, request: &BufferedRequest) -> Option<Response<Body>> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/runs") => Some(json_response(&self.runs.page(request))),
            (&Method::POST, "/restart") => {
                self.incarnation.set(epoch_ms());
                Some(text_response(StatusCode::OK, ""))
            }
            _ => None,
        }
    }
}
