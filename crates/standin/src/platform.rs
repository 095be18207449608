//! The platform: a transactional table, an object store and a list of hosts.

// Answers are made one at a time; their size does not matter.
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

use crate::faults::FaultSwitch;
use crate::host::Service;
use crate::http_util::{Whole, ok_json, read_json, status};
use crate::rate::RateLimit;
use crate::table::Table;

/// Rows of a scan that count as one read.
const SCAN_ROWS: usize = 100;
/// Prefix of the paths of objects.
const OBJECTS: &str = "/objects/";

/// How the platform behaves.
#[value]
pub struct PlatformSpec {
    /// Time of one operation.
    pub latency: Duration,
    /// Rows written per second at most.
    pub writes: f64,
    /// Rows read per second at most; a scan counts one for each hundred rows.
    pub reads: f64,
    /// By how much the host list lags.
    pub host_lag: Duration,
}

impl Default for PlatformSpec {
    fn default() -> Self {
        Self::new()
    }
}

impl PlatformSpec {
    /// Returns a platform with the users' limits that answers at once.
    #[must_use]
    pub fn new() -> Self {
        Self {
            latency: Duration::ZERO,
            writes: 400.0,
            reads: 2_000.0,
            host_lag: Duration::ZERO,
        }
    }

    /// Sets the time of one operation.
    #[must_use]
    pub fn with_latency(mut self, latency: Duration) -> Self {
        self.latency = latency;
        self
    }

    /// Sets the rows written and read per second at most.
    #[must_use]
    pub fn with_rates(mut self, writes: f64, reads: f64) -> Self {
        self.writes = writes;
        self.reads = reads;
        self
    }

    /// Sets by how much the host list lags.
    #[must_use]
    pub fn with_host_lag(mut self, lag: Duration) -> Self {
        self.host_lag = lag;
        self
    }
}

/// Operations so far, `GET /counters`.
#[record]
#[derive(Serialize, Deserialize, Default, Copy)]
pub struct Counters {
    /// Rows read.
    pub reads: u64,
    /// Rows written.
    pub writes: u64,
    /// Transactions that were committed.
    pub committed: u64,
    /// Transactions that met a conflict.
    pub conflicts: u64,
    /// Requests refused by the limits.
    pub limited: u64,
}

/// State of the platform.
#[derive(Debug)]
pub struct Platform {
    spec: PlatformSpec,
    table: RefCell<Table>,
    objects: RefCell<BTreeMap<String, Bytes>>,
    hosts: RefCell<VecDeque<(Instant, HostList)>>,
    writes: RateLimit,
    reads: RateLimit,
    counters: Cell<Counters>,
    faults: FaultSwitch,
}

impl Default for Platform {
    fn default() -> Self {
        Self::new(PlatformSpec::new())
    }
}

type Answer = Result<Response<Body>, Response<Body>>;

impl Service for Platform {
    fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    fn answer(self: Rc<Self>, request: Whole) -> LocalBoxFuture<'static, Response<Body>> {
        async move {
            if !self.spec.latency.is_zero() {
                compio::time::sleep(self.spec.latency).await;
            }
            self.route(&request).unwrap_or_else(|refusal| refusal)
        }
        .boxed_local()
    }

    fn control(&self, request: &Whole) -> Option<Response<Body>> {
        let body = request.body();
        let answer = match (request.method(), request.uri().path()) {
            (&Method::GET, "/counters") => Ok(ok_json(&self.counters())),
            (&Method::POST, "/hosts") => read_json(body).map(|list| {
                self.set_hosts(list);
                status(StatusCode::OK, "")
            }),
            (&Method::POST, "/seed") => read_json(body).map(|q| ok_json(&self.transact(&q))),
            _ => return None,
        };
        Some(answer.unwrap_or_else(|refusal| refusal))
    }
}

impl Platform {
    /// Creates a platform with an empty table.
    #[must_use]
    pub fn new(spec: PlatformSpec) -> Self {
        Self {
            spec,
            table: RefCell::default(),
            objects: RefCell::default(),
            hosts: RefCell::default(),
            writes: RateLimit::new(spec.writes),
            reads: RateLimit::new(spec.reads),
            counters: Cell::default(),
            faults: FaultSwitch::default(),
        }
    }

    /// Returns the operations so far.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters.get()
    }

    /// Sets the host list, which is seen once the lag has passed.
    pub fn set_hosts(&self, list: HostList) {
        self.hosts.borrow_mut().push_back((Instant::now(), list));
    }

    /// Returns the host list as it was when the lag began.
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

    /// Carries out a transaction, without limits and faults.
    pub fn transact(&self, question: &TransactRequest) -> TransactAnswer {
        let answer = self.table.borrow_mut().transact(question, Instant::now());
        let rows = question.writes.len() as u64;
        self.count(|c| {
            if answer.committed {
                c.committed += 1;
                c.writes += rows;
            } else {
                c.conflicts += 1;
            }
        });
        answer
    }

    /// Reads rows, without limits and faults.
    #[must_use]
    pub fn read(&self, question: &ReadRequest) -> ReadAnswer {
        self.table.borrow().read(question, Instant::now())
    }

    /// Scans rows, without limits and faults.
    #[must_use]
    pub fn scan(&self, question: &ScanRequest) -> ScanAnswer {
        self.table.borrow().scan(question, Instant::now())
    }

    fn count(&self, change: impl FnOnce(&mut Counters)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }

    fn route(&self, request: &Whole) -> Answer {
        let body = request.body();
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/table/read") => {
                let question: ReadRequest = read_json(body)?;
                self.take_reads(question.keys.len())?;
                let answer = self.table.borrow().read(&question, self.read_time());
                Ok(ok_json(&answer))
            }
            (&Method::POST, "/table/scan") => {
                let question: ScanRequest = read_json(body)?;
                let answer = self.table.borrow().scan(&question, self.read_time());
                self.take_reads(1 + answer.rows.len() / SCAN_ROWS)?;
                Ok(ok_json(&answer))
            }
            (&Method::POST, "/table/transact") => {
                let question: TransactRequest = read_json(body)?;
                self.take_writes(question.writes.len().max(1))?;
                Ok(ok_json(&self.transact(&question)))
            }
            (&Method::GET, "/hosts") => Ok(ok_json(&self.hosts())),
            (method, path) => match path.strip_prefix(OBJECTS) {
                Some(name) => self.object(method, name, body),
                None => Ok(status(StatusCode::NOT_FOUND, "no such path")),
            },
        }
    }

    /// Returns the time as of which reads see the table.
    fn read_time(&self) -> Instant {
        let lag = Duration::from_millis(self.faults.get().stale_ms);
        let now = Instant::now();
        now.checked_sub(lag).unwrap_or(now)
    }

    fn take_reads(&self, rows: usize) -> Result<(), Response<Body>> {
        self.limited(self.reads.take(rows, Instant::now()))?;
        self.count(|c| c.reads += rows as u64);
        Ok(())
    }

    fn take_writes(&self, rows: usize) -> Result<(), Response<Body>> {
        self.limited(self.writes.take(rows, Instant::now()))
    }

    fn limited(&self, allowed: bool) -> Result<(), Response<Body>> {
        if allowed {
            return Ok(());
        }
        self.count(|c| c.limited += 1);
        let mut refusal = status(StatusCode::TOO_MANY_REQUESTS, "rate limit");
        let headers = refusal.headers_mut();
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
        Err(refusal)
    }

    /// Stores or returns an object.
    fn object(&self, method: &Method, name: &str, body: &Bytes) -> Answer {
        match *method {
            Method::GET => {
                self.take_reads(1)?;
                let object = self.objects.borrow().get(name).cloned();
                let missing = || status(StatusCode::NOT_FOUND, "no such object");
                Ok(object.map_or_else(missing, |o| Response::new(full(o))))
            }
            Method::PUT => {
                self.take_writes(1)?;
                let mut objects = self.objects.borrow_mut();
                objects.insert(name.to_owned(), body.clone());
                self.count(|c| c.writes += 1);
                Ok(status(StatusCode::OK, ""))
            }
            _ => Ok(status(StatusCode::METHOD_NOT_ALLOWED, "GET or PUT")),
        }
    }
}
