//! Datagrams with a keyed MAC.
//!
//! Layout: one byte of protocol version, 16 bytes of truncated HMAC-SHA256
//! over the version and the envelope, then the encoded envelope.

use hibiscusrail_core::{Incarnation, RouterId};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use snafu::Snafu;
use std::collections::BTreeMap;

use crate::convert::{Letter, decode, encode};

/// Version of the protocol between routers.
pub const VERSION: u8 = 1;
/// Largest datagram that is sent or accepted, in bytes.
pub const MAX_DATAGRAM: usize = 60_000;
/// Bytes of the MAC that are sent.
const MAC_LEN: usize = 16;
/// Bytes before the envelope.
const HEADER_LEN: usize = 1 + MAC_LEN;
/// Datagrams older than this many behind the newest are dropped as replays.
const WINDOW: u64 = 64;

/// Senders whose numbers are remembered at most.
pub const MAX_SENDERS: usize = 4_096;

/// Why a datagram was dropped.
#[derive(Debug, Snafu, PartialEq, Eq, Clone, Copy)]
pub enum OpenError {
    /// Shorter than the header.
    #[snafu(display("datagram is truncated"))]
    Truncated,
    /// Longer than [`MAX_DATAGRAM`].
    #[snafu(display("datagram is too large"))]
    Oversize,
    /// Another protocol version.
    #[snafu(display("peer speaks protocol version {version}, this router {VERSION}"))]
    Version {
        /// The peer's version.
        version: u8,
    },
    /// The MAC does not fit.
    #[snafu(display("MAC does not match"))]
    Forged,
    /// The envelope can't be decoded.
    #[snafu(display("envelope is malformed"))]
    Malformed,
    /// Meant for another router.
    #[snafu(display("datagram is for another router"))]
    Misdirected,
    /// More senders than are remembered.
    #[snafu(display("more than {MAX_SENDERS} senders"))]
    Crowded,
    /// Seen before, or too old to tell.
    #[snafu(display("datagram is a replay"))]
    Replayed,
}

impl OpenError {
    /// Returns a short stable name for metrics.
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

/// What was received from one sender.
#[derive(Debug)]
struct Received {
    incarnation: Incarnation,
    newest: u64,
    seen: u64,
}

impl Received {
    /// Accepts `seq` unless it was seen or is too old.
    fn accept(&mut self, incarnation: Incarnation, seq: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = Self {
                incarnation,
                newest: seq,
                seen: 1,
            };
            return true;
        }
        if seq > self.newest {
            let step = seq - self.newest;
            self.seen = if step < WINDOW { self.seen << step } else { 0 } | 1;
            self.newest = seq;
            return true;
        }
        let age = self.newest - seq;
        if age >= WINDOW || self.seen & (1 << age) != 0 {
            return false;
        }
        self.seen |= 1 << age;
        true
    }
}

/// Seals and opens the datagrams of one router.
#[derive(Debug)]
pub struct Keys {
    me: RouterId,
    mac: Hmac<Sha256>,
    received: BTreeMap<RouterId, Received>,
}

impl Keys {
    /// Creates the keys of router `me` from the fleet's secret.
    ///
    /// # Panics
    ///
    /// Never: HMAC takes a key of any length.
    #[must_use]
    pub fn new(me: RouterId, secret: &[u8]) -> Self {
        let mac = Hmac::new_from_slice(secret).expect("HMAC takes a key of any length");
        Self {
            me,
            mac,
            received: BTreeMap::new(),
        }
    }

    /// Encodes and seals a letter.
    #[must_use]
    pub fn seal(&self, letter: &Letter) -> Vec<u8> {
        let body = encode(letter);
        let tag = self.tag(VERSION, &body);
        let mut datagram = Vec::with_capacity(HEADER_LEN + body.len());
        datagram.push(VERSION);
        datagram.extend_from_slice(&tag);
        datagram.extend_from_slice(&body);
        datagram
    }

    /// Checks and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Says why the datagram has to be dropped.
    pub fn open(&mut self, datagram: &[u8]) -> Result<Letter, OpenError> {
        if datagram.len() < HEADER_LEN {
            return Err(OpenError::Truncated);
        }
        if datagram.len() > MAX_DATAGRAM {
            return Err(OpenError::Oversize);
        }
        let version = datagram[0];
        if version != VERSION {
            return Err(OpenError::Version { version });
        }
        let body = &datagram[HEADER_LEN..];
        self.check(version, body, &datagram[1..HEADER_LEN])?;
        let letter = decode(body).ok_or(OpenError::Malformed)?;
        if letter.to != self.me {
            return Err(OpenError::Misdirected);
        }
        self.check_replay(&letter)?;
        Ok(letter)
    }

    fn check_replay(&mut self, letter: &Letter) -> Result<(), OpenError> {
        let senders = self.received.len();
        let Some(received) = self.received.get_mut(&letter.from) else {
            if senders >= MAX_SENDERS {
                return Err(OpenError::Crowded);
            }
            self.received.insert(
                letter.from,
                Received {
                    incarnation: letter.incarnation,
                    newest: letter.seq,
                    seen: 1,
                },
            );
            return Ok(());
        };
        if received.accept(letter.incarnation, letter.seq) {
            Ok(())
        } else {
            Err(OpenError::Replayed)
        }
    }

    fn tag(&self, version: u8, body: &[u8]) -> [u8; MAC_LEN] {
        let mut mac = self.mac.clone();
        mac.update(&[version]);
        mac.update(body);
        let full = mac.finalize().into_bytes();
        let mut tag = [0; MAC_LEN];
        tag.copy_from_slice(&full[..MAC_LEN]);
        tag
    }

    fn check(&self, version: u8, body: &[u8], tag: &[u8]) -> Result<(), OpenError> {
        let mut mac = self.mac.clone();
        mac.update(&[version]);
        mac.update(body);
        mac.verify_truncated_left(tag)
            .map_err(|_| OpenError::Forged)
    }
}
