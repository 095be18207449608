//! What routers tell each other about members.

use std::net::SocketAddr;

use hibiscusrail_macros::{id, record};

use crate::configuration::exchange::Head;
use crate::ids::{Incarnation, RouterId, ZoneId};

/// Orders what was said about one router: later claims have higher numbers.
#[id]
pub struct Life {
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Raised by the router itself with every claim about itself.
    pub refutation: u32,
}

impl Life {
    /// What is assumed before a router has spoken for itself.
    pub const UNKNOWN: Self = Self {
        incarnation: Incarnation(0),
        refutation: 0,
    };
}

/// What a router says of itself, or what others concluded.
///
/// The order is the precedence of claims with the same [`Life`].
#[id]
pub enum Standing {
    /// It answers, but was declared dead too often lately to have roles.
    Probation,
    /// It answers.
    Alive,
    /// It stops gracefully.
    Leaving,
    /// It does not answer.
    Dead,
}

/// A claim about a router.
#[record]
pub struct Update {
    /// The router.
    pub router: RouterId,
    /// Its zone.
    pub zone: ZoneId,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Orders the claim among others about the router.
    pub life: Life,
    /// Its standing.
    pub standing: Standing,
    /// Whether a probe of it failed and it has not answered since.
    pub suspect: bool,
}

/// What every probe carries.
#[record]
pub struct Gossip {
    /// The sender's configuration in brief.
    pub head: Head,
    /// Claims, at most [`MAX_UPDATES`].
    pub updates: Vec<Update>,
}

/// Claims in one probe or answer at most.
pub const MAX_UPDATES: usize = 8;

/// A probe or its answer.
#[record]
pub enum Probe {
    /// Asks for an [`Probe::Ack`].
    Ping {
        /// Number of the probe at its sender.
        seq: u64,
        /// Carried along.
        gossip: Gossip,
    },
    /// Answers a ping, or passes on the answer of a third router.
    Ack {
        /// Number of the probe.
        seq: u64,
        /// Carried along.
        gossip: Gossip,
    },
    /// Asks the receiver to ping a third router.
    Request {
        /// Number of the probe at its sender.
        seq: u64,
        /// The router to ping.
        target: RouterId,
        /// Carried along.
        gossip: Gossip,
    },
}

impl Probe {
    /// Returns the kind as a short stable name for metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Ping { .. } => "ping",
            Self::Ack { .. } => "ack",
            Self::Request { .. } => "ping_request",
        }
    }

    /// Returns what it carries along.
    #[must_use]
    pub fn gossip(&self) -> &Gossip {
        match self {
            Self::Ping { gossip, .. } | Self::Ack { gossip, .. } | Self::Request { gossip, .. } => {
                gossip
            }
        }
    }
}
