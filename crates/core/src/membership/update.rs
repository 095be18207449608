//! Messages of the membership protocol.

use std::net::SocketAddr;

use hibiscusrail_macros::{id, record};

use crate::configuration::exchange::Head;
use crate::ids::{Incarnation, RouterId, ZoneId};

/// Orders the updates about one router: a later update has a higher value.
#[id]
pub struct UpdateVersion {
    /// Incarnation of the router.
    pub incarnation: Incarnation,
    /// Raised by the router with every update about itself within its incarnation.
    pub refutation: u32,
}

impl UpdateVersion {
    /// The value before the first update from the router itself.
    pub const UNKNOWN: Self = Self {
        incarnation: Incarnation(0),
        refutation: 0,
    };
}

/// State of a router as announced by itself, or dead as concluded by others.
///
/// The order is the precedence of updates with the same [`UpdateVersion`].
#[id]
pub enum Standing {
    /// It answers but was declared dead too often recently to have roles.
    Probation,
    /// It answers.
    Alive,
    /// It stops gracefully.
    Leaving,
    /// It does not answer probes.
    Dead,
}

/// State of one router, as sent to others.
#[record]
pub struct Update {
    /// The router.
    pub router: RouterId,
    /// Its zone.
    pub zone: ZoneId,
    /// Address at which it receives datagrams.
    pub address: SocketAddr,
    /// Orders this update among others about the router.
    pub version: UpdateVersion,
    /// Its standing.
    pub standing: Standing,
    /// Whether a probe of it failed and the suspicion was not refuted.
    pub suspect: bool,
}

/// Data that every probe and answer carries.
#[record]
pub struct Gossip {
    /// Summary of the sender's configuration.
    pub head: Head,
    /// Updates about routers, at most [`MAX_UPDATES`].
    pub updates: Vec<Update>,
}

/// Maximum number of updates in one probe or answer.
pub const MAX_UPDATES: usize = 8;

/// A probe or its answer.
#[record]
pub enum Probe {
    /// Asks the receiver for a [`Probe::Ack`].
    Ping {
        /// Sequence number chosen by the sender.
        seq: u64,
        /// Gossip of the sender.
        gossip: Gossip,
    },
    /// Answers a ping, or forwards the answer of a third router.
    Ack {
        /// Sequence number of the answered ping.
        seq: u64,
        /// Gossip of the sender.
        gossip: Gossip,
    },
    /// Asks the receiver to ping a third router.
    Request {
        /// Sequence number chosen by the sender.
        seq: u64,
        /// The router to ping.
        target: RouterId,
        /// Gossip of the sender.
        gossip: Gossip,
    },
}

impl Probe {
    /// Returns the stable name of the probe kind, for metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Ping { .. } => "ping",
            Self::Ack { .. } => "ack",
            Self::Request { .. } => "ping_request",
        }
    }

    /// Returns the gossip that the probe carries.
    #[must_use]
    pub fn gossip(&self) -> &Gossip {
        match self {
            Self::Ping { gossip, .. } | Self::Ack { gossip, .. } | Self::Request { gossip, .. } => {
                gossip
            }
        }
    }
}
