//! Connections to servers that are kept between requests.
//!
//! A connection that has been idle for long may be dead without either end
//! knowing it, so it is dropped. Only requests that may be repeated use a kept
//! connection at all; others open a new one. When a connection has gone
//! silent, the idle ones to the same address are suspect and dropped too;
//! those in use are proven by the answers that they still deliver.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::client::{Channel, Connection};

/// Time for which an idle connection may still be used.
const IDLE_LIMIT: Duration = Duration::from_secs(5);
/// Idle connections kept for each address.
const IDLE_COUNT: usize = 32;
/// Time for the end of an answer that was delivered already.
const END_TIME: Duration = Duration::from_secs(1);

/// A connection that a pool can keep.
pub trait Keep: 'static {
    /// Returns whether a request can be sent now.
    fn is_ready(&self) -> bool;

    /// Returns whether the connection is closed.
    fn is_closed(&self) -> bool;
}

impl Keep for Connection {
    fn is_ready(&self) -> bool {
        Self::is_ready(self)
    }

    fn is_closed(&self) -> bool {
        Self::is_closed(self)
    }
}

impl Keep for Channel {
    fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// A connection that waits for its next request.
#[derive(Debug)]
struct Idle<C> {
    connection: C,
    since: Instant,
}

/// The idle connections of a router.
#[derive(Debug)]
pub struct Pool<C> {
    idle: RefCell<BTreeMap<SocketAddr, Vec<Idle<C>>>>,
    limit: Duration,
}

impl<C> Default for Pool<C> {
    fn default() -> Self {
        Self {
            idle: RefCell::default(),
            limit: IDLE_LIMIT,
        }
    }
}

impl<C: Keep> Pool<C> {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the time for which an idle connection may still be used.
    #[must_use]
    pub fn with_max_idle(mut self, limit: Duration) -> Self {
        self.limit = limit;
        self
    }

    /// Takes the connection that was used last, if it may be used.
    pub fn take(&self, address: SocketAddr, now: Instant) -> Option<C> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        kept.retain(|i| now.duration_since(i.since) < self.limit && !i.connection.is_closed());
        let at = kept.iter().rposition(|i| i.connection.is_ready())?;
        Some(kept.remove(at).connection)
    }

    /// Keeps a connection whose last answer arrived whole.
    pub fn put(&self, address: SocketAddr, connection: C, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        kept.retain(|i| now.duration_since(i.since) < self.limit);
        if kept.len() >= IDLE_COUNT {
            kept.remove(0);
        }
        kept.push(Idle {
            connection,
            since: now,
        });
    }

    /// Drops the idle connections to an address at which one went silent.
    pub fn suspect(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Returns the number of idle connections to an address.
    #[must_use]
    pub fn idle(&self, address: SocketAddr) -> usize {
        self.idle.borrow().get(&address).map_or(0, Vec::len)
    }

    /// Keeps a connection once nothing of its delivered answer is left to arrive.
    pub fn recycle(self: &Rc<Self>, address: SocketAddr, connection: C, mut rest: Incoming) {
        let pool = Rc::clone(self);
        compio::runtime::spawn(async move {
            let end = compio::time::timeout(END_TIME, rest.frame()).await;
            if matches!(end, Ok(None)) {
                pool.put(address, connection, Instant::now());
            }
        })
        .detach();
    }
}
