//! A plain service: answers each call after a short time, and counts it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hibiscusrail_net::{Body, full};
use http::{HeaderValue, Method, Response};

use crate::http_util::{REQUEST_ID, Service, Whole, epoch_ms, header_text, ok_json};
use crate::runs::{Run, Runs};

/// A plain service.
#[derive(Debug)]
pub struct Plain {
    delay: Duration,
    running: Cell<u32>,
    bearable: u32,
    /// The record of runs.
    pub runs: Runs,
}

impl Plain {
    /// Creates a service that takes `delay` for each call.
    #[must_use]
    pub fn new(delay: Duration, bearable: u32) -> Self {
        Self {
            delay,
            running: Cell::new(0),
            bearable,
            runs: Runs::default(),
        }
    }

    async fn call(&self, request: &Whole) -> Response<Body> {
        let headers = request.headers();
        let id = header_text(headers, REQUEST_ID).unwrap_or_default();
        self.running.set(self.running.get() + 1);
        let run = self.runs.begin(Run {
            request: id.clone(),
            workspace: header_text(headers, "x-workspace").unwrap_or_default(),
            key: header_text(headers, "idempotency-key"),
            start_ms: epoch_ms(),
            end_ms: None,
            work: 1,
            complete: false,
            running: self.running.get(),
            bearable: self.bearable,
        });
        compio::time::sleep(self.delay).await;
        self.running.set(self.running.get() - 1);
        self.runs.update(run, |r| {
            r.end_ms = Some(epoch_ms());
            r.complete = true;
        });
        let path = request.uri().path();
        let mut answer = Response::new(full(format!("{id} {} {path}", request.method())));
        if let Ok(id) = HeaderValue::from_str(&id) {
            answer.headers_mut().insert(REQUEST_ID, id);
        }
        answer
    }
}

impl Service for Plain {
    fn answer(self: Rc<Self>, request: Whole) -> LocalBoxFuture<'static, Response<Body>> {
        async move {
            if request.method() == Method::GET && request.uri().path() == "/runs" {
                return ok_json(&self.runs.all());
            }
            self.call(&request).await
        }
        .boxed_local()
    }
}
