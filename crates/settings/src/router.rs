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

/// Section with the router's identity and addresses.
const ROUTER: &str = "router";
/// Section with the platform's address.
const PLATFORM: &str = "platform";
/// Section with limits on callers.
const LIMITS: &str = "limits";
/// Maximum size of a request's head that the parser supports, in bytes.
const PARSER_MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of headers of a request that the parser supports.
const PARSER_MAX_HEADERS: u32 = 100;
/// Prefix of the section names of the other routers; the router's name follows.
const PEER_PREFIX: &str = "peer ";

/// Another router of the fleet, known at startup.
#[record]
pub struct Peer {
    /// Name of the router.
    pub name: String,
    /// Availability zone of the router.
    pub zone: String,
    /// Address to which other routers send datagrams.
    pub address: SocketAddr,
}

/// Settings of one router.
#[record]
pub struct RouterSettings {
    /// Name of the router, unique in the fleet.
    pub name: String,
    /// Availability zone of the router.
    pub zone: String,
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// Address to which other routers send datagrams.
    pub peer_listen: SocketAddr,
    /// Address that operators connect to.
    pub admin_listen: SocketAddr,
    /// File with the secret that authenticates datagrams between routers.
    pub fleet_secret: PathBuf,
    /// File with the operators' token.
    pub admin_token: PathBuf,
    /// Log level.
    pub log_level: String,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Interval between reads of the platform's table and host list.
    pub platform_poll: Duration,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request's body.
    pub body_timeout: Duration,
    /// Maximum total size of the request bodies that the router buffers, in bytes.
    pub max_reserved_bytes: usize,
    /// Maximum size of a request's target and headers in bytes.
    pub max_head_bytes: usize,
    /// Maximum number of headers of a request.
    pub max_headers: u32,
    /// Timeout for receiving a request's head, also while a connection is idle between requests.
    pub head_timeout: Duration,
    /// Time without write progress after which a caller that does not read is disconnected.
    pub stall_timeout: Duration,
    /// Longest deadline that a caller may set.
    pub max_deadline: Duration,
    /// Maximum number of open connections from callers.
    pub max_connections: u32,
    /// Default deadline of requests that set none.
    pub default_deadline: Duration,
    /// Longest time to wait for running requests at a graceful stop.
    pub drain_timeout: Duration,
    /// Parameters of the policies.
    pub params: Params,
    /// The other routers.
    pub peers: Vec<Peer>,
}

impl RouterSettings {
    /// Loads and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns every error found in the file.
    pub fn load(path: &Path) -> Result<Self, SettingErrors> {
        Self::read(Reader::load(path)?)
    }

    /// Checks settings given as text; `file` names them in errors.
    ///
    /// # Errors
    ///
    /// Returns every error found in the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingErrors> {
        Self::read(Reader::parse(file, text)?)
    }

    fn read(mut r: Reader) -> Result<Self, SettingErrors> {
        let identity = Identity::read(&mut r);
        let limits = Limits::read(&mut r);
        let platform = r.required(PLATFORM, "address");
        let platform_poll = r.optional(PLATFORM, "poll", Duration::from_secs(1));
        let params = policy::read(&mut r);
        let peers = read_peers(&mut r);
        limits.check(&mut r);
        identity.check(&mut r, platform, &peers);
        r.finish()?;
        // A value is missing only if the reader recorded an error, which `finish` returned.
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
                drain_timeout: identity.drain_timeout,
                platform: platform?,
                platform_poll,
                max_body_bytes: limits.max_body_bytes,
                body_timeout: limits.body_timeout,
                max_reserved_bytes: limits.max_reserved_bytes,
                max_head_bytes: limits.max_head_bytes,
                max_headers: limits.max_headers,
                head_timeout: limits.head_timeout,
                stall_timeout: limits.stall_timeout,
                max_connections: limits.max_connections,
                default_deadline: limits.default_deadline,
                max_deadline: limits.max_deadline,
                params,
                peers: peers
                    .into_iter()
                    .map(PeerSection::into_peer)
                    .collect::<Option<_>>()?,
            })
        })();
        settings.ok_or(SettingErrors(Vec::new()))
    }
}

/// Values of the `router` section; `None` where a value is missing or malformed.
struct Identity {
    name: Option<String>,
    zone: Option<String>,
    listen: Option<SocketAddr>,
    peer_listen: Option<SocketAddr>,
    admin_listen: Option<SocketAddr>,
    fleet_secret: Option<PathBuf>,
    admin_token: Option<PathBuf>,
    log_level: String,
    drain_timeout: Duration,
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
            drain_timeout: r.optional(ROUTER, "drain", Duration::from_secs(60)),
        }
    }

    /// Checks that the routers' names and addresses are distinct.
    fn check(&self, r: &mut Reader, platform: Option<SocketAddr>, peers: &[PeerSection]) {
        let mut tcp = BTreeSet::new();
        tcp.extend(self.listen);
        if self.admin_listen.is_some_and(|a| !tcp.insert(a)) {
            r.conflict(ROUTER, "admin_listen", "a unique address");
        }
        if platform.is_some_and(|a| !tcp.insert(a)) {
            r.conflict(PLATFORM, "address", "a unique address");
        }
        let mut udp = BTreeSet::new();
        udp.extend(self.peer_listen);
        let mut ids = BTreeSet::new();
        ids.extend(self.name.as_deref().map(RouterId::new));
        for peer in peers {
            if peer.address.is_some_and(|a| !udp.insert(a)) {
                r.conflict(&peer.section, "address", "a unique address");
            }
            if peer.address.is_some_and(|a| a.ip().is_unspecified()) {
                r.conflict(&peer.section, "address", "the IP address of one host");
            }
            if !ids.insert(RouterId::new(&peer.name)) {
                let found = Some(format!("the name {:?}", peer.name));
                let allowed = "a name whose hash no other router's name has";
                r.reject(&peer.section, "", found, allowed);
            }
        }
    }
}

/// Values of the `limits` section.
struct Limits {
    max_body_bytes: usize,
    body_timeout: Duration,
    max_reserved_bytes: usize,
    max_head_bytes: usize,
    max_headers: u32,
    head_timeout: Duration,
    stall_timeout: Duration,
    max_connections: u32,
    default_deadline: Duration,
    max_deadline: Duration,
}

impl Limits {
    fn read(r: &mut Reader) -> Self {
        let Size(max_body_bytes) = r.optional(LIMITS, "body", Size(1 << 20));
        let Size(max_reserved_bytes) = r.optional(LIMITS, "held", Size(64 << 20));
        let Size(max_head_bytes) = r.optional(LIMITS, "head", Size(32 << 10));
        Self {
            max_body_bytes,
            body_timeout: r.optional(LIMITS, "body_time", Duration::from_secs(10)),
            max_reserved_bytes,
            max_head_bytes,
            max_headers: r.optional(LIMITS, "headers", 64),
            head_timeout: r.optional(LIMITS, "head_time", Duration::from_secs(30)),
            stall_timeout: r.optional(LIMITS, "stall_time", Duration::from_secs(30)),
            max_connections: r.optional(LIMITS, "connections", 4_096),
            default_deadline: r.optional(LIMITS, "deadline", Duration::from_secs(60)),
            max_deadline: r.optional(LIMITS, "deadline_max", Duration::from_secs(600)),
        }
    }

    fn check(&self, r: &mut Reader) {
        if self.max_body_bytes > self.max_reserved_bytes {
            r.conflict(LIMITS, "body", "a size up to held");
        }
        if self.default_deadline > self.max_deadline {
            r.conflict(LIMITS, "deadline", "a time up to deadline_max");
        }
        if self.max_head_bytes > PARSER_MAX_HEAD_BYTES {
            r.conflict(LIMITS, "head", "a size up to 64KiB");
        }
        if self.max_headers > PARSER_MAX_HEADERS {
            r.conflict(LIMITS, "headers", "a whole number up to 100");
        }
    }
}

/// Values of another router's section; `None` where a value is missing or malformed.
struct PeerSection {
    section: String,
    name: String,
    zone: Option<String>,
    address: Option<SocketAddr>,
}

impl PeerSection {
    fn into_peer(self) -> Option<Peer> {
        Some(Peer {
            name: self.name,
            zone: self.zone?,
            address: self.address?,
        })
    }
}

fn read_peers(r: &mut Reader) -> Vec<PeerSection> {
    let mut sections = r.sections(PEER_PREFIX);
    // `Reader::finish` reports the duplicate section.
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
