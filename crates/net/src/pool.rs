//! Pools idle connections to servers between requests.
//!
//! A connection that has been idle for long may be broken without either end
//! noticing, so it is dropped. Only requests that can be retried should use a
//! pooled connection; others open a new one. When a connection has timed out,
//! the idle ones to the same address are suspect and dropped too; those in use
//! show by the responses that they still deliver that they work.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::client::{Connection, OwnedConnection};
use crate::event_loop;
use crate::time::timeout;

/// Default maximum idle time of a pooled connection.
const DEFAULT_MAX_IDLE: Duration = Duration::from_secs(5);
/// Maximum idle connections for each address.
const MAX_IDLE_COUNT: usize = 32;
/// Timeout for the end of a response body whose content was already delivered.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection that a pool can keep.
pub trait Poolable: 'static {
    /// Returns whether a request can be sent at once.
    fn is_ready(&mut self) -> bool;

    /// Returns whether the connection is closed.
    fn is_closed(&self) -> bool;
}

impl Poolable for Connection {
    fn is_ready(&mut self) -> bool {
        Self::is_ready(self)
    }

    fn is_closed(&self) -> bool {
        Self::is_closed(self)
    }
}

impl Poolable for OwnedConnection {
    fn is_ready(&mut self) -> bool {
        Self::is_ready(self)
    }

    fn is_closed(&self) -> bool {
        Self::is_closed(self)
    }
}

/// An idle connection and when it became idle.
#[derive(Debug)]
struct Idle<C> {
    connection: C,
    since: Instant,
}

/// Idle connections by the address of their peer.
#[derive(Debug)]
pub struct Pool<C> {
    idle: RefCell<BTreeMap<SocketAddr, Vec<Idle<C>>>>,
    max_idle: Duration,
}

impl<C> Default for Pool<C> {
    fn default() -> Self {
        Self {
            idle: RefCell::default(),
            max_idle: DEFAULT_MAX_IDLE,
        }
    }
}

impl<C: Poolable> Pool<C> {
    /// Creates an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the maximum idle time.
    #[must_use]
    pub fn with_max_idle(mut self, max_idle: Duration) -> Self {
        self.max_idle = max_idle;
        self
    }

    /// Takes the most recently used connection to an address that can send a request.
    pub fn take(&self, address: SocketAddr, now: Instant) -> Option<C> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        kept.retain(|i| now.duration_since(i.since) < self.max_idle && !i.connection.is_closed());
        let at = kept.iter_mut().rposition(|i| i.connection.is_ready())?;
        Some(kept.remove(at).connection)
    }

    /// Adds a connection whose last response is complete; a full pool drops the oldest one.
    pub fn put(&self, address: SocketAddr, mut connection: C, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        kept.retain(|i| now.duration_since(i.since) < self.max_idle);
        if kept.len() >= MAX_IDLE_COUNT {
            kept.remove(0);
        }
        // From now on the event loop watches the idle connection.
        connection.is_ready();
        kept.push(Idle {
            connection,
            since: now,
        });
    }

    /// Drops the connections that have been idle for too long, also those to peers that are gone.
    pub fn drop_expired(&self, now: Instant) {
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|i| now.duration_since(i.since) < self.max_idle);
            !kept.is_empty()
        });
    }

    /// Drops the idle connections to an address after another one to it timed out.
    pub fn discard(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Returns the number of idle connections to an address.
    #[must_use]
    pub fn idle(&self, address: SocketAddr) -> usize {
        self.idle.borrow().get(&address).map_or(0, Vec::len)
    }

    /// Adds a connection once the end of its response body has arrived.
    pub fn put_after_body(self: &Rc<Self>, address: SocketAddr, connection: C, mut rest: Incoming) {
        let pool = Rc::clone(self);
        event_loop::spawn(async move {
            let end = timeout(END_TIMEOUT, rest.frame()).await;
            if matches!(end, Ok(None)) {
                pool.put(address, connection, Instant::now());
            }
        });
    }
}
