//! The simulated platform: a transactional table, an object store and a host list.

// Responses are built one at a time, so their size does not matter.
#![allow(clippy::result_large_err)]

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hibiscusrail_macros::{record, value};
use hibiscusrail_net::{Body, full};
use hibiscusrail_store::table::{
    HostList, ReadAnswer, ReadRequest, ScanAnswer, ScanRequest, TransactAnswer, TransactRequest,
};
use http::{HeaderValue, Method, Response, StatusCode, header};
use serde::{Deserialize, Serialize};

use crate::faults::FaultInjector;
use crate::host::Service;
use crate::http_util::{BufferedRequest, json_response, parse_json, text_response};
use crate::rate::RateLimit;
use crate::table::Table;

/// Number of scanned rows that count as one read.
const SCAN_ROWS_PER_READ: usize = 100;
const OBJECTS_PATH: &str = "/objects/";

/// Latency, rate limits and lag of the platform.
#[value]
pub struct PlatformSpec {
    /// Latency of each operation.
    pub latency: Duration,
    /// Maximum number of rows written per second.
    pub write_rate: f64,
    /// Maximum number of rows read per second; a scan counts one, plus one per 100 rows returned.
    pub read_rate: f64,
    /// Delay until a new host list is visible.
    pub host_lag: Duration,
}

impl Default for PlatformSpec {
    fn default() -> Self {
        Self::new()
    }
}

impl PlatformSpec {
    /// Creates the spec with the rate limits of the users' platform, without latency or lag.
    #[must_use]
    pub fn new() -> Self {
        Self {
            latency: Duration::ZERO,
            write_rate: 400.0,
            read_rate: 2_000.0,
            host_lag: Duration::ZERO,
        }
    }

    /// Sets the latency of each operation.
    #[must_use]
    pub fn with_latency(mut self, latency: Duration) -> Self {
        self.latency = latency;
        self
    }

    /// Sets the maximum number of rows written and read per second.
    #[must_use]
    pub fn with_rates(mut self, write_rate: f64, read_rate: f64) -> Self {
        self.write_rate = write_rate;
        self.read_rate = read_rate;
        self
    }

    /// Sets the delay until a new host list is visible.
    #[must_use]
    pub fn with_host_lag(mut self, lag: Duration) -> Self {
        self.host_lag = lag;
        self
    }
}

/// Counts of operations since the start, returned by `GET /counters`.
#[record]
#[derive(Serialize, Deserialize, Default, Copy)]
pub struct Counters {
    /// Number of rows read.
    pub reads: u64,
    /// Number of rows written.
    pub writes: u64,
    /// Number of transactions committed.
    pub committed: u64,
    /// Number of transactions rejected by a conflict.
    pub conflicts: u64,
    /// Number of requests rejected by the rate limits.
    pub limited: u64,
}

/// A simulated platform.
#[derive(Debug)]
pub struct Platform {
    spec: PlatformSpec,
    table: RefCell<Table>,
    objects: RefCell<BTreeMap<String, Bytes>>,
    /// Host lists by the time they were set, oldest first.
    hosts: RefCell<VecDeque<(Instant, HostList)>>,
    writes: RateLimit,
    reads: RateLimit,
    counters: Cell<Counters>,
    faults: FaultInjector,
}

impl Default for Platform {
    fn default() -> Self {
        Self::new(PlatformSpec::new())
    }
}

/// The response to a request; `Err` holds the response of a rejected request.
type RouteResult = Result<Response<Body>, Response<Body>>;

impl Service for Platform {
    fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    fn handle(self: Rc<Self>, request: BufferedRequest) -> LocalBoxFuture<'static, Response<Body>> {
        async move {
            if !self.spec.latency.is_zero() {
                compio::time::sleep(self.spec.latency).await;
            }
            self.route_request(&request)
                .unwrap_or_else(|rejection| rejection)
        }
        .boxed_local()
    }

    fn handle_control(&self, request: &BufferedRequest) -> Option<Response<Body>> {
        let body = request.body();
        let response = match (request.method(), request.uri().path()) {
            (&Method::GET, "/counters") => Ok(json_response(&self.counters())),
            (&Method::POST, "/hosts") => parse_json(body).map(|list| {
                self.set_hosts(list);
                text_response(StatusCode::OK, "")
            }),
            (&Method::POST, "/seed") => parse_json(body).map(|t| json_response(&self.transact(&t))),
            _ => return None,
        };
        Some(response.unwrap_or_else(|rejection| rejection))
    }
}

impl Platform {
    /// Creates a platform with an empty table, object store and host list.
    #[must_use]
    pub fn new(spec: PlatformSpec) -> Self {
        Self {
            spec,
            table: RefCell::default(),
            objects: RefCell::default(),
            hosts: RefCell::default(),
            writes: RateLimit::new(spec.write_rate),
            reads: RateLimit::new(spec.read_rate),
            counters: Cell::default(),
            faults: FaultInjector::default(),
        }
    }

    /// Returns the counts of operations so far.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters.get()
    }

    /// Sets the host list, which becomes visible after the configured lag.
    pub fn set_hosts(&self, list: HostList) {
        self.hosts.borrow_mut().push_back((Instant::now(), list));
    }

    /// Returns the visible host list, which may lag behind [`Self::set_hosts`].
    #[must_use]
    pub fn hosts(&self) -> HostList {
        let mut hosts = self.hosts.borrow_mut();
        let lag = self.spec.host_lag;
        while hosts.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
            hosts.pop_front();
        }
        hosts
            .front()
            .map_or_else(HostList::default, |h| h.1.clone())
    }

    /// Runs a transaction, not subject to rate limits and faults.
    pub fn transact(&self, request: &TransactRequest) -> TransactAnswer {
        let answer = self.table.borrow_mut().transact(request, Instant::now());
        let rows = request.writes.len() as u64;
        self.update_counters(|c| {
            if answer.committed {
                c.committed += 1;
                c.writes += rows;
            } else {
                c.conflicts += 1;
            }
        });
        answer
    }

    /// Reads rows, not subject to rate limits and faults.
    #[must_use]
    pub fn read(&self, request: &ReadRequest) -> ReadAnswer {
        self.table.borrow().read(request, Instant::now())
    }

    /// Scans rows, not subject to rate limits and faults.
    #[must_use]
    pub fn scan(&self, request: &ScanRequest) -> ScanAnswer {
        self.table.borrow().scan(request, Instant::now())
    }

    fn update_counters(&self, update: impl FnOnce(&mut Counters)) {
        let mut counters = self.counters.get();
        update(&mut counters);
        self.counters.set(counters);
    }

    fn route_request(&self, request: &BufferedRequest) -> RouteResult {
        let body = request.body();
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/table/read") => {
                let read: ReadRequest = parse_json(body)?;
                self.take_reads(read.keys.len())?;
                let answer = self.table.borrow().read(&read, self.read_time());
                Ok(json_response(&answer))
            }
            (&Method::POST, "/table/scan") => {
                let scan: ScanRequest = parse_json(body)?;
                let answer = self.table.borrow().scan(&scan, self.read_time());
                self.take_reads(1 + answer.rows.len() / SCAN_ROWS_PER_READ)?;
                Ok(json_response(&answer))
            }
            (&Method::POST, "/table/transact") => {
                let transaction: TransactRequest = parse_json(body)?;
                self.take_writes(transaction.writes.len().max(1))?;
                Ok(json_response(&self.transact(&transaction)))
            }
            (&Method::GET, "/hosts") => Ok(json_response(&self.hosts())),
            (method, path) => match path.strip_prefix(OBJECTS_PATH) {
                Some(name) => self.handle_object(method, name, body),
                None => Ok(text_response(StatusCode::NOT_FOUND, "no such path")),
            },
        }
    }

    /// Returns the time as of which HTTP requests read the table.
    fn read_time(&self) -> Instant {
        let lag = Duration::from_millis(self.faults.get().stale_ms);
        let now = Instant::now();
        now.checked_sub(lag).unwrap_or(now)
    }

    fn take_reads(&self, rows: usize) -> Result<(), Response<Body>> {
        self.check_limit(self.reads.try_take(rows, Instant::now()))?;
        self.update_counters(|c| c.reads += rows as u64);
        Ok(())
    }

    fn take_writes(&self, rows: usize) -> Result<(), Response<Body>> {
        self.check_limit(self.writes.try_take(rows, Instant::now()))
    }

    fn check_limit(&self, allowed: bool) -> Result<(), Response<Body>> {
        if allowed {
            return Ok(());
        }
        self.update_counters(|c| c.limited += 1);
        let mut rejection = text_response(StatusCode::TOO_MANY_REQUESTS, "rate limit");
        let headers = rejection.headers_mut();
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
        Err(rejection)
    }

    /// Handles a request to get or put an object.
    fn handle_object(&self, method: &Method, name: &str, body: &Bytes) -> RouteResult {
        match *method {
            Method::GET => {
                self.take_reads(1)?;
                let object = self.objects.borrow().get(name).cloned();
                let missing = || text_response(StatusCode::NOT_FOUND, "no such object");
                Ok(object.map_or_else(missing, |o| Response::new(full(o))))
            }
            Method::PUT => {
                self.take_writes(1)?;
                let mut objects = self.objects.borrow_mut();
                objects.insert(name.to_owned(), body.clone());
                self.update_counters(|c| c.writes += 1);
                Ok(text_response(StatusCode::OK, ""))
            }
            _ => Ok(text_response(StatusCode::METHOD_NOT_ALLOWED, "GET or PUT")),
        }
    }
}
