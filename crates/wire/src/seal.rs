//! Authentication of datagrams and protection against replays.
//!
//! Layout: one byte of protocol version, 16 bytes of truncated HMAC-SHA256 over the version and the
//! envelope, then the encoded envelope, which is not encrypted.

use hibiscusrail_core::{Incarnation, RouterId};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use snafu::Snafu;
use std::collections::BTreeMap;

use crate::convert::{PeerMessage, decode, encode};

/// Protocol version that this router sends and accepts.
pub const PROTOCOL_VERSION: u8 = 1;
/// Maximum length of an accepted datagram, in bytes.
pub const MAX_DATAGRAM: usize = 60_000;
/// Length of the truncated MAC, in bytes.
const MAC_LEN: usize = 16;
/// Length of the version and the MAC, which precede the envelope, in bytes.
pub const HEADER_LEN: usize = 1 + MAC_LEN;
/// Datagrams whose sequence number is at least this far below the highest one received are
/// dropped as replays. It is the number of bits in [`ReplayWindow::seen`].
const WINDOW_LEN: u64 = 64;
/// Maximum number of senders for which a replay window is kept.
pub const MAX_SENDERS: usize = 4_096;

/// Why a received datagram is dropped.
#[derive(Debug, Snafu, PartialEq, Eq, Clone, Copy)]
pub enum OpenError {
    /// The datagram is shorter than [`HEADER_LEN`].
    #[snafu(display("datagram is truncated"))]
    Truncated,
    /// The datagram is longer than [`MAX_DATAGRAM`].
    #[snafu(display("datagram is too large"))]
    Oversize,
    /// The sender uses another protocol version.
    #[snafu(display("peer speaks protocol version {version}, this router {PROTOCOL_VERSION}"))]
    Version {
        /// Protocol version of the sender.
        version: u8,
    },
    /// The MAC does not match: the sender has another secret, or the datagram was changed.
    #[snafu(display("MAC does not match"))]
    Forged,
    /// The envelope can't be decoded or holds invalid values.
    #[snafu(display("envelope is malformed"))]
    Malformed,
    /// The datagram is addressed to another router.
    #[snafu(display("datagram is addressed to another router"))]
    Misdirected,
    /// The sender is new and [`MAX_SENDERS`] others are known.
    #[snafu(display("datagrams from more than {MAX_SENDERS} senders"))]
    Crowded,
    /// The datagram was received before, or is too old to tell.
    #[snafu(display("datagram is a replay"))]
    Replayed,
}

impl OpenError {
    /// Returns the stable name of the error, for metrics and logs.
    #[must_use]
    pub fn kind(self) -> &'static str {
        match self {
            Self::Truncated => "truncated",
            Self::Oversize => "oversize",
            Self::Version { .. } => "version",
            Self::Forged => "forged",
            Self::Malformed => "malformed",
            Self::Misdirected => "misdirected",
            Self::Crowded => "crowded",
            Self::Replayed => "replayed",
        }
    }
}

/// Sequence numbers received from one sender.
#[derive(Debug)]
struct ReplayWindow {
    incarnation: Incarnation,
    /// Highest sequence number received from that incarnation.
    highest: u64,
    /// Bit `n` is set if sequence number `highest - n` was received.
    seen: u64,
}

impl ReplayWindow {
    /// Records `seq` and returns true, or returns false if it is a replay or too old.
    fn accept(&mut self, incarnation: Incarnation, seq: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = Self {
                incarnation,
                highest: seq,
                seen: 1,
            };
            return true;
        }
        if seq > self.highest {
            let step = seq - self.highest;
            self.seen = if step < WINDOW_LEN {
                self.seen << step
            } else {
                0
            } | 1;
            self.highest = seq;
            return true;
        }
        let age = self.highest - seq;
        if age >= WINDOW_LEN || self.seen & (1 << age) != 0 {
            return false;
        }
        self.seen |= 1 << age;
        true
    }
}

/// Seals the datagrams that a router sends and opens those it receives.
#[derive(Debug)]
pub struct Keys {
    me: RouterId,
    mac: Hmac<Sha256>,
    windows: BTreeMap<RouterId, ReplayWindow>,
}

impl Keys {
    /// Creates the keys of router `me` from the secret that all routers of the fleet share.
    ///
    /// # Panics
    ///
    /// Never panics, because HMAC accepts a key of any length.
    #[must_use]
    pub fn new(me: RouterId, secret: &[u8]) -> Self {
        let mac = Hmac::new_from_slice(secret).expect("HMAC accepts a key of any length");
        Self {
            me,
            mac,
            windows: BTreeMap::new(),
        }
    }

    /// Returns the datagram that carries a peer message.
    #[must_use]
    pub fn seal(&self, peer_message: &PeerMessage) -> Vec<u8> {
        let body = encode(peer_message);
        let tag = self.tag(PROTOCOL_VERSION, &body);
        let mut datagram = Vec::with_capacity(HEADER_LEN + body.len());
        datagram.push(PROTOCOL_VERSION);
        datagram.extend_from_slice(&tag);
        datagram.extend_from_slice(&body);
        datagram
    }

    /// Verifies and decodes a received datagram.
    ///
    /// # Errors
    ///
    /// Fails if the datagram must be dropped.
    pub fn open(&mut self, datagram: &[u8]) -> Result<PeerMessage, OpenError> {
        if datagram.len() < HEADER_LEN {
            return Err(OpenError::Truncated);
        }
        if datagram.len() > MAX_DATAGRAM {
            return Err(OpenError::Oversize);
        }
        let version = datagram[0];
        if version != PROTOCOL_VERSION {
            return Err(OpenError::Version { version });
        }
        let body = &datagram[HEADER_LEN..];
        self.verify_tag(version, body, &datagram[1..HEADER_LEN])?;
        let peer_message = decode(body).ok_or(OpenError::Malformed)?;
        if peer_message.to != self.me {
            return Err(OpenError::Misdirected);
        }
        self.check_replay(&peer_message)?;
        Ok(peer_message)
    }

    /// Records the sequence number of a peer message, or fails if it is a replay.
    fn check_replay(&mut self, peer_message: &PeerMessage) -> Result<(), OpenError> {
        let senders = self.windows.len();
        let Some(window) = self.windows.get_mut(&peer_message.from) else {
            if senders >= MAX_SENDERS {
                return Err(OpenError::Crowded);
            }
            self.windows.insert(
                peer_message.from,
                ReplayWindow {
                    incarnation: peer_message.incarnation,
                    highest: peer_message.seq,
                    seen: 1,
                },
            );
            return Ok(());
        };
        if window.accept(peer_message.incarnation, peer_message.seq) {
            Ok(())
        } else {
            Err(OpenError::Replayed)
        }
    }

    /// Returns the truncated MAC of a datagram.
    fn tag(&self, version: u8, body: &[u8]) -> [u8; MAC_LEN] {
        let mut mac = self.mac.clone();
        mac.update(&[version]);
        mac.update(body);
        let full = mac.finalize().into_bytes();
        let mut tag = [0; MAC_LEN];
        tag.copy_from_slice(&full[..MAC_LEN]);
        tag
    }

    fn verify_tag(&self, version: u8, body: &[u8], tag: &[u8]) -> Result<(), OpenError> {
        let mut mac = self.mac.clone();
        mac.update(&[version]);
        mac.update(body);
        mac.verify_truncated_left(tag)
            .map_err(|_| OpenError::Forged)
    }
}
