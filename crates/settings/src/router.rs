//! Settings of the router daemon.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use hibiscusrail_core::{Params, RouterId};
use hibiscusrail_macros::record;

use crate::policy;
use crate::reader::{Reader, SettingErrors};
use crate::value::{LogLevel, Size};

/// Section of the router's own identity and addresses.
const ROUTER: &str = "router";
/// Section of the platform.
const PLATFORM: &str = "platform";
/// Section of limits on callers.
const LIMITS: &str = "limits";
/// Bytes of a request's head that the parser takes.
const PARSER_HEAD: usize = 64 << 10;
/// Headers of a request that the parser takes.
const PARSER_HEADERS: u32 = 100;
/// Prefix of the sections that name the other routers.
const PEER_PREFIX: &str = "peer ";

/// Another router that is known from the start.
#[record]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it takes datagrams of routers.
    pub address: SocketAddr,
}

/// Settings of one router.
#[record]
pub struct RouterSettings {
    /// Its name, unique in the fleet.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where other routers send datagrams.
    pub peer_listen: SocketAddr,
    /// Where operators connect.
    pub admin_listen: SocketAddr,
    /// File with the secret that routers seal datagrams with.
    pub fleet_secret: PathBuf,
    /// File with the operators' token.
    pub admin_token: PathBuf,
    /// Level of the log.
    pub log_level: String,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Period of reading the platform's table and host list.
    pub platform_poll: Duration,
    /// Bytes of a request's body at most.
    pub body_bytes: usize,
    /// Time for a request's body to arrive.
    pub body_time: Duration,
    /// Bytes of all requests' bodies that the router holds at most.
    pub held_bytes: usize,
    /// Bytes of a request's target and headers at most.
    pub head_bytes: usize,
    /// Headers of a request at most.
    pub headers: u32,
    /// Time for a request's head to arrive, also between requests.
    pub head_time: Duration,
    /// Time without progress after which a caller that does not read is cut.
    pub stall_time: Duration,
    /// Longest deadline that a caller may name.
    pub deadline_max: Duration,
    /// Callers' connections open at the same time.
    pub connections: u32,
    /// Deadline of requests that name none.
    pub deadline: Duration,
    /// Time for running work to finish at a stop.
    pub drain: Duration,
    /// Parameters of the policies.
    pub params: Params,
    /// The other routers.
    pub peers: Vec<Peer>,
}

impl RouterSettings {
    /// Reads the file at `path`.
    ///
    /// # Errors
    ///
    /// Holds every error in the file.
    pub fn load(path: &Path) -> Result<Self, SettingErrors> {
        Self::read(Reader::load(path)?)
    }

    /// Reads the settings of `text`; `file` names them in errors.
    ///
    /// # Errors
    ///
    /// Holds every error in the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingErrors> {
        Self::read(Reader::parse(file, text)?)
    }

    fn read(mut r: Reader) -> Result<Self, SettingErrors> {
        let identity = Identity::read(&mut r);
        let limits = Limits::read(&mut r);
        let platform = r.required(PLATFORM, "address");
        let platform_poll = r.optional(PLATFORM, "poll", Duration::from_secs(1));
        let params = policy::read(&mut r);
        let peers = peers(&mut r);
        limits.check(&mut r);
        identity.check(&mut r, platform, &peers);
        r.finish()?;
        // Every missing value was reported by finish.
        let settings = (|| {
            Some(Self {
                name: identity.name?,
                zone: identity.zone?,
                listen: identity.listen?,
                peer_listen: identity.peer_listen?,
                admin_listen: identity.admin_listen?,
                fleet_secret: identity.fleet_secret?,
                admin_token: identity.admin_token?,
                log_level: identity.log_level,
                drain: identity.drain,
                platform: platform?,
                platform_poll,
                body_bytes: limits.body_bytes,
                body_time: limits.body_time,
                held_bytes: limits.held_bytes,
                head_bytes: limits.head_bytes,
                headers: limits.headers,
                head_time: limits.head_time,
                stall_time: limits.stall_time,
                connections: limits.connections,
                deadline: limits.deadline,
                deadline_max: limits.deadline_max,
                params,
                peers: peers
                    .into_iter()
                    .map(PeerSection::whole)
                    .collect::<Option<_>>()?,
            })
        })();
        settings.ok_or(SettingErrors(Vec::new()))
    }
}

/// The section of the router's own identity and addresses, as far as it is valid.
struct Identity {
    name: Option<String>,
    zone: Option<String>,
    listen: Option<SocketAddr>,
    peer_listen: Option<SocketAddr>,
    admin_listen: Option<SocketAddr>,
    fleet_secret: Option<PathBuf>,
    admin_token: Option<PathBuf>,
    log_level: String,
    drain: Duration,
}

impl Identity {
    fn read(r: &mut Reader) -> Self {
        let LogLevel(log_level) = r.optional(ROUTER, "log_level", LogLevel("info".to_owned()));
        Self {
            name: r.required(ROUTER, "name"),
            zone: r.required(ROUTER, "zone"),
            listen: r.required(ROUTER, "listen"),
            peer_listen: r.required(ROUTER, "peer_listen"),
            admin_listen: r.required(ROUTER, "admin_listen"),
            fleet_secret: r.required(ROUTER, "fleet_secret"),
            admin_token: r.required(ROUTER, "admin_token"),
            log_level,
            drain: r.optional(ROUTER, "drain", Duration::from_secs(60)),
        }
    }

    /// Checks that names and addresses of the fleet are distinct.
    fn check(&self, r: &mut Reader, platform: Option<SocketAddr>, peers: &[PeerSection]) {
        let mut tcp = BTreeSet::new();
        tcp.extend(self.listen);
        if self.admin_listen.is_some_and(|a| !tcp.insert(a)) {
            r.conflict(ROUTER, "admin_listen", "an address of its own");
        }
        if platform.is_some_and(|a| !tcp.insert(a)) {
            r.conflict(PLATFORM, "address", "an address of its own");
        }
        let mut udp = BTreeSet::new();
        udp.extend(self.peer_listen);
        let mut ids = BTreeSet::new();
        ids.extend(self.name.as_deref().map(RouterId::new));
        for peer in peers {
            if peer.address.is_some_and(|a| !udp.insert(a)) {
                r.conflict(&peer.section, "address", "an address of its own");
            }
            if peer.address.is_some_and(|a| a.ip().is_unspecified()) {
                r.conflict(&peer.section, "address", "the IP number of one host");
            }
            if !ids.insert(RouterId::new(&peer.name)) {
                let found = Some(format!("the name {:?}", peer.name));
                let allowed = "a name whose hash no other router's name has";
                r.reject(&peer.section, "", found, allowed);
            }
        }
    }
}

/// The section of limits on callers.
struct Limits {
    body_bytes: usize,
    body_time: Duration,
    held_bytes: usize,
    head_bytes: usize,
    headers: u32,
    head_time: Duration,
    stall_time: Duration,
    connections: u32,
    deadline: Duration,
    deadline_max: Duration,
}

impl Limits {
    fn read(r: &mut Reader) -> Self {
        let Size(body_bytes) = r.optional(LIMITS, "body", Size(1 << 20));
        let Size(held_bytes) = r.optional(LIMITS, "held", Size(64 << 20));
        let Size(head_bytes) = r.optional(LIMITS, "head", Size(32 << 10));
        Self {
            body_bytes,
            body_time: r.optional(LIMITS, "body_time", Duration::from_secs(10)),
            held_bytes,
            head_bytes,
            headers: r.optional(LIMITS, "headers", 64),
            head_time: r.optional(LIMITS, "head_time", Duration::from_secs(30)),
            stall_time: r.optional(LIMITS, "stall_time", Duration::from_secs(30)),
            connections: r.optional(LIMITS, "connections", 4_096),
            deadline: r.optional(LIMITS, "deadline", Duration::from_secs(60)),
            deadline_max: r.optional(LIMITS, "deadline_max", Duration::from_secs(600)),
        }
    }

    fn check(&self, r: &mut Reader) {
        if self.body_bytes > self.held_bytes {
            r.conflict(LIMITS, "body", "a size up to held");
        }
        if self.deadline > self.deadline_max {
            r.conflict(LIMITS, "deadline", "a time up to deadline_max");
        }
        if self.head_bytes > PARSER_HEAD {
            r.conflict(LIMITS, "head", "a size up to 64KiB");
        }
        if self.headers > PARSER_HEADERS {
            r.conflict(LIMITS, "headers", "a whole number up to 100");
        }
    }
}

/// The section of another router, as far as it is valid.
struct PeerSection {
    section: String,
    name: String,
    zone: Option<String>,
    address: Option<SocketAddr>,
}

impl PeerSection {
    fn whole(self) -> Option<Peer> {
        Some(Peer {
            name: self.name,
            zone: self.zone?,
            address: self.address?,
        })
    }
}

fn peers(r: &mut Reader) -> Vec<PeerSection> {
    let mut sections = r.sections(PEER_PREFIX);
    // A section that stands twice is reported as such.
    sections.dedup();
    sections
        .into_iter()
        .map(|section| PeerSection {
            name: section[PEER_PREFIX.len()..].trim().to_owned(),
            zone: r.required(&section, "zone"),
            address: r.required(&section, "address"),
            section,
        })
        .collect()
}
