//! A plain service: answers each call after a short time, and counts it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hibiscusrail_net::{Body, full};
use http::{HeaderValue, Method, Response, StatusCode};
use serde::Serialize;

use crate::faults::FaultSwitch;
use crate::host::{Crossed, Service};
use crate::http_util::{REQUEST_ID, Whole, epoch_ms, header_text, ok_json, status};
use crate::runs::{Run, Runs};

/// Header that says that a request was not admitted.
pub const NOT_ADMITTED: &str = "x-not-admitted";

/// A report of the service's load, `GET /load`.
#[derive(Debug, Serialize)]
struct Load {
    incarnation: u64,
    running: u32,
    waiting: u32,
}

/// A plain service.
#[derive(Debug)]
pub struct Plain {
    delay: Duration,
    running: Cell<u32>,
    bearable: u32,
    incarnation: Cell<u64>,
    /// Id and text of the call before, for crossed answers.
    last: RefCell<(String, String)>,
    faults: FaultSwitch,
    /// The record of runs.
    pub runs: Runs,
}

/// Counts a call as running until it ends, also when its caller goes away.
struct Running<'a>(&'a Cell<u32>);

impl<'a> Running<'a> {
    fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Plain {
    /// Creates a service that takes `delay` for each call and bears `bearable` at once.
    #[must_use]
    pub fn new(delay: Duration, bearable: u32) -> Self {
        Self {
            delay,
            running: Cell::new(0),
            bearable,
            incarnation: Cell::new(epoch_ms()),
            last: RefCell::default(),
            faults: FaultSwitch::default(),
            runs: Runs::default(),
        }
    }

    async fn call(&self, request: &Whole) -> Response<Body> {
        if self.running.get() >= self.bearable {
            self.runs.refuse();
            return not_admitted();
        }
        let _running = Running::new(&self.running);
        let run = self
            .runs
            .begin(Run::new(request, self.running.get(), self.bearable));
        compio::time::sleep(self.delay).await;
        self.runs.update(run, |r| {
            r.work = 1;
            r.end(true);
        });
        let id = header_text(request.headers(), REQUEST_ID).unwrap_or_default();
        let text = format!("{id} {} {}", request.method(), request.uri().path());
        let before = self.last.replace((id.clone(), text.clone()));
        let crossed = request.extensions().get::<Crossed>().is_some();
        let (id, text) = if crossed { before } else { (id, text) };
        let mut answer = Response::new(full(text));
        if let Ok(id) = HeaderValue::from_str(&id) {
            answer.headers_mut().insert(REQUEST_ID, id);
        }
        answer
    }
}

/// Builds the answer that refuses a request because the server bears no more.
#[must_use]
pub fn not_admitted() -> Response<Body> {
    let mut answer = status(StatusCode::SERVICE_UNAVAILABLE, "overloaded");
    answer
        .headers_mut()
        .insert(NOT_ADMITTED, HeaderValue::from_static("1"));
    answer
}

impl Service for Plain {
    fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    fn answer(self: Rc<Self>, request: Whole) -> LocalBoxFuture<'static, Response<Body>> {
        async move {
            if request.method() == Method::GET && request.uri().path() == "/load" {
                return ok_json(&Load {
                    incarnation: self.incarnation.get(),
                    running: self.running.get(),
                    waiting: 0,
                });
            }
            self.call(&request).await
        }
        .boxed_local()
    }

    fn control(&self, request: &Whole) -> Option<Response<Body>> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/runs") => Some(ok_json(&self.runs.page(request))),
            (&Method::POST, "/restart") => {
                self.incarnation.set(epoch_ms());
                Some(status(StatusCode::OK, ""))
            }
            _ => None,
        }
    }
}
