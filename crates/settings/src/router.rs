//! Settings of the router daemon.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use hibiscusrail_macros::record;

use crate::reader::{Reader, SettingErrors};
use crate::value::{PolicyMode, Size};

/// Section of the router's own identity and addresses.
const ROUTER: &str = "router";
/// Section of the platform.
const PLATFORM: &str = "platform";
/// Section of limits on callers.
const LIMITS: &str = "limits";
/// Section of the policy that shares free slots.
const POLICY: &str = "policy";
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
    /// Callers' connections open at the same time.
    pub connections: u32,
    /// Deadline of requests that name none.
    pub deadline: Duration,
    /// Time for running work to finish at a stop.
    pub drain: Duration,
    /// How free slots are shared among waiting workspaces.
    pub policy: PolicyMode,
    /// Period of the exchange of service totals.
    pub period: Duration,
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
        let name = r.required(ROUTER, "name");
        let zone = r.required(ROUTER, "zone");
        let listen = r.required(ROUTER, "listen");
        let peer_listen = r.required(ROUTER, "peer_listen");
        let admin_listen = r.required(ROUTER, "admin_listen");
        let fleet_secret = r.required(ROUTER, "fleet_secret");
        let admin_token = r.required(ROUTER, "admin_token");
        let log_level = r.optional(ROUTER, "log_level", "info".to_owned());
        let drain = r.optional(ROUTER, "drain", Duration::from_secs(60));
        let platform = r.required(PLATFORM, "address");
        let platform_poll = r.optional(PLATFORM, "poll", Duration::from_secs(1));
        let Size(body_bytes) = r.optional(LIMITS, "body", Size(1 << 20));
        let body_time = r.optional(LIMITS, "body_time", Duration::from_secs(10));
        let connections = r.optional(LIMITS, "connections", 4_096);
        let deadline = r.optional(LIMITS, "deadline", Duration::from_secs(60));
        let policy = r.optional(POLICY, "mode", PolicyMode::FleetFair);
        let period = r.optional(POLICY, "period", Duration::from_secs(1));
        let peers = peers(&mut r);
        r.finish()?;
        // Every missing value was reported by finish.
        let settings = (|| {
            Some(Self {
                name: name?,
                zone: zone?,
                listen: listen?,
                peer_listen: peer_listen?,
                admin_listen: admin_listen?,
                fleet_secret: fleet_secret?,
                admin_token: admin_token?,
                log_level,
                platform: platform?,
                platform_poll,
                body_bytes,
                body_time,
                connections,
                deadline,
                drain,
                policy,
                period,
                peers: peers?,
            })
        })();
        settings.ok_or(SettingErrors(Vec::new()))
    }
}

fn peers(r: &mut Reader) -> Option<Vec<Peer>> {
    let mut peers = Vec::new();
    for section in r.sections(PEER_PREFIX) {
        let name = section[PEER_PREFIX.len()..].trim().to_owned();
        let zone = r.required(&section, "zone");
        let address = r.required(&section, "address");
        peers.push(zone.zip(address).map(|(zone, address)| Peer {
            name,
            zone,
            address,
        }));
    }
    peers.into_iter().collect()
}
