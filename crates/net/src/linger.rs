//! Closes connections whose peer may still be sending.
//!
//! A socket that is closed with unread bytes is reset, and a peer that is reset may lose a response
//! that it has not read yet. So after the last response only this side is closed, and what the peer
//! still sends is read and dropped for a while.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use std::time::{Duration, Instant};

use rustix::net::Shutdown;

use crate::event_loop;
use crate::socket::receive;

/// Maximum connections that are read from; the oldest one makes room for a further one.
const MAX_LINGERING: usize = 128;
/// Time for which a connection is read from.
const LINGER_TIME: Duration = Duration::from_secs(2);
/// Maximum bytes read from a connection.
const MAX_BYTES: usize = 16 * 1024 * 1024;
/// Maximum bytes read from a connection in a turn of the event loop.
const MAX_TURN_BYTES: usize = 128 * 1024;
/// Maximum bytes read from all connections in a turn of the event loop.
const MAX_TOTAL_BYTES: usize = 1024 * 1024;
/// Interval of looking at the connections.
const INTERVAL: Duration = Duration::from_millis(20);

/// A connection of which this side is closed.
#[derive(Debug)]
struct Lingering {
    stream: OwnedFd,
    /// Bytes that the peer is expected to send; none if it is expected to close the connection.
    left: Option<u64>,
    read: usize,
    until: Instant,
}

impl Lingering {
    /// Reads and drops what has arrived, up to about `budget` bytes, which are taken from it; returns
    /// whether more may come.
    fn look(&mut self, now: Instant, budget: &mut usize) -> bool {
        let limit = MAX_TURN_BYTES.min(*budget);
        let mut turn = 0;
        while self.left != Some(0) && turn < limit {
            match receive(self.stream.as_fd(), |_| ()) {
                Ok(0) => return false,
                Ok(count) => {
                    turn += count;
                    self.left = self.left.map(|l| l.saturating_sub(count as u64));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // The peer has gone.
                Err(_) => return false,
            }
        }
        *budget = budget.saturating_sub(turn);
        self.read += turn;
        self.left != Some(0) && self.read < MAX_BYTES && now < self.until
    }
}

/// Connections that are closed once their peers have stopped sending.
#[derive(Debug, Default)]
pub(crate) struct LingerQueue {
    connections: RefCell<VecDeque<Lingering>>,
}

impl LingerQueue {
    /// Closes this side of a connection, and the connection once the peer has sent `left` bytes or has
    /// closed its own side.
    pub(crate) fn close(self: &Rc<Self>, now: Instant, stream: OwnedFd, left: Option<u64>) {
        if rustix::net::shutdown(&stream, Shutdown::Write).is_err() {
            return;
        }
        let mut lingering = Lingering {
            stream,
            left,
            read: 0,
            until: now + LINGER_TIME,
        };
        let mut budget = MAX_TURN_BYTES;
        if !lingering.look(now, &mut budget) {
            return;
        }
        let mut connections = self.connections.borrow_mut();
        if connections.len() >= MAX_LINGERING {
            connections.pop_front();
        }
        connections.push_back(lingering);
        if connections.len() == 1 {
            event_loop::spawn(Rc::clone(self).watch());
        }
    }

    /// Looks at the connections until there are none.
    async fn watch(self: Rc<Self>) {
        while !self.connections.borrow().is_empty() {
            compio::time::sleep(INTERVAL).await;
            let now = Instant::now();
            let mut budget = MAX_TOTAL_BYTES;
            let mut connections = self.connections.borrow_mut();
            connections.retain_mut(|c| c.look(now, &mut budget));
        }
    }
}
