//! Describes a deployment: its zones, routers, servers and workspaces.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use hibiscusrail_macros::record;
use hibiscusrail_standin::relay::{Route, Transport};
use hibiscusrail_store::object::{ObjectRow, VersionedRow};
use hibiscusrail_store::table::{Condition, TransactRequest, Write};
use hibiscusrail_store::ticket::WorkspaceState;
use sha2::{Digest, Sha256};

/// A router of the deployment.
#[record]
pub struct RouterSpec {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for datagrams of other routers.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
}

/// A backend server of the deployment.
#[record]
pub struct ServerSpec {
    /// Name.
    pub name: String,
    /// Service.
    pub service: String,
    /// Zone.
    pub zone: String,
    /// Address.
    pub address: SocketAddr,
    /// Whether it is a model engine.
    pub is_model: bool,
    /// Concurrency limit when cold.
    pub cold_limit: u32,
    /// Concurrency limit when warm.
    pub warm_limit: u32,
}

/// A workspace of the deployment.
#[record]
pub struct WorkspaceSpec {
    /// Name; the API key is `key-` followed by it.
    pub name: String,
    /// Weight in the fair division of capacity.
    pub share: f64,
}

impl WorkspaceSpec {
    /// Returns the workspace's API key.
    #[must_use]
    pub fn key(&self) -> String {
        format!("key-{}", self.name)
    }
}

/// A complete deployment on loopback.
#[record]
pub struct Deployment {
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The routers.
    pub routers: Vec<RouterSpec>,
    /// The servers.
    pub servers: Vec<ServerSpec>,
    /// Servers that are configured but never started.
    pub spares: Vec<ServerSpec>,
    /// The workspaces.
    pub workspaces: Vec<WorkspaceSpec>,
    /// Name of the model service.
    pub model_service: String,
    /// Name of the plain service.
    pub plain_service: String,
    /// Control address of the relay between zones, if there is one.
    pub relay: Option<SocketAddr>,
    /// Additional flags of the engines' stand-ins.
    pub engine_flags: Vec<String>,
}

/// Port below the first one of a deployment.
const PORT_BASE: u16 = 21_000;
/// Port below the first one of the routers that [`Deployment::with_routers`] creates.
const ROUTER_PORT_BASE: u16 = 22_000;
/// Service of the servers that are configured but never called.
const SPARE_SERVICE: &str = "spare";
/// Control port of the relay; the ports at which it accepts traffic follow, zone by zone.
const RELAY_PORT: u16 = 24_000;
/// Number of ports of the relay for traffic that leaves one zone.
const RELAY_ZONE_PORTS: usize = 1_000;
/// Name of the platform in the relay's groups.
pub const PLATFORM: &str = "platform";

/// Returns the relay's group for traffic between two zones, or a zone and [`PLATFORM`].
#[must_use]
pub fn relay_group(from: &str, to: &str) -> String {
    format!("{from}>{to}")
}

/// Maximum number of a workspace's requests that wait at one router, per service.
const QUEUE_LIMIT: u32 = 10_000;
/// Retries that a workspace may make, as a fraction of its requests.
const RETRY_FRACTION: f64 = 0.1;
/// Number of workspaces that users have today, and of the large ones among them.
const WORKSPACE_COUNT: usize = 16;
const LARGE_COUNT: usize = 3;
/// Share of a large workspace; the share of a small one is 1.
const LARGE_SHARE: f64 = 4.0;

fn workspace(number: usize, large: usize) -> WorkspaceSpec {
    WorkspaceSpec {
        name: format!("workspace-{number}"),
        share: if number < large { LARGE_SHARE } else { 1.0 },
    }
}

/// Allocates addresses on one host with consecutive ports.
struct Ports {
    host: IpAddr,
    last: u16,
}

impl Ports {
    fn new(host: IpAddr, first: u16) -> Self {
        Self { host, last: first }
    }

    fn next(&mut self) -> SocketAddr {
        self.last += 1;
        SocketAddr::from((self.host, self.last))
    }
}

/// Returns a loopback address that no other deployment on this machine uses.
///
/// The address is derived from the process id and a counter, so that the
/// deployments of several tests and experiments can run side by side.
#[must_use]
pub fn unique_loopback_host() -> Ipv4Addr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let number = std::process::id().wrapping_mul(64).wrapping_add(count);
    // Each number maps to a host of its own, never to 127.0.0.1, which callers
    // send from, or to a broadcast address.
    let [d, rest] = [number % OCTET_VALUES, number / OCTET_VALUES];
    let [c, b] = [rest % 256, rest / 256 % OCTET_VALUES];
    let octet = |n: u32| u8::try_from(n).unwrap_or(u8::MAX);
    Ipv4Addr::new(127, octet(b + 1), octet(c), octet(d + 1))
}

/// Number of values of the second and of the last byte of a deployment's address.
const OCTET_VALUES: u32 = 254;

impl Deployment {
    /// Returns the Consorcio's deployment: 3 zones, 7 routers, 10 engines, 3 plain servers.
    #[must_use]
    pub fn consorcio() -> Self {
        Self::new(
            unique_loopback_host(),
            "nucleo-modelo",
            10,
            "portal-citas",
            3,
        )
    }

    /// Returns the Coopérative's deployment: 3 zones, 7 routers, 20 engines, 3 plain servers.
    #[must_use]
    pub fn cooperative() -> Self {
        Self::new(
            unique_loopback_host(),
            "redaction-modele",
            20,
            "registre-chaudieres",
            3,
        )
    }

    /// Returns a small deployment for tests: 3 zones and routers, 3 engines, 2 plain servers.
    #[must_use]
    pub fn small() -> Self {
        let mut deployment = Self::new(unique_loopback_host(), "model", 3, "records", 2);
        deployment.routers.truncate(3);
        deployment
    }

    /// Creates a deployment of 7 routers in 3 zones.
    #[must_use]
    pub fn new(host: Ipv4Addr, model: &str, engines: usize, plain: &str, plains: usize) -> Self {
        let mut ports = Ports::new(host.into(), PORT_BASE);
        let zones: Vec<String> = ["a", "b", "c"].map(|z| format!("zone-{z}")).into();
        let platform = ports.next();
        let routers = (0..7)
            .map(|i| RouterSpec {
                name: format!("router-{i}"),
                zone: zones[i % zones.len()].clone(),
                listen: ports.next(),
                peer: ports.next(),
                admin: ports.next(),
            })
            .collect();
        let mut servers = Vec::new();
        for (service, count, is_model) in [(model, engines, true), (plain, plains, false)] {
            for i in 0..count {
                servers.push(ServerSpec {
                    name: format!("{service}-{i}"),
                    service: service.to_owned(),
                    zone: zones[i % zones.len()].clone(),
                    address: ports.next(),
                    is_model,
                    cold_limit: if is_model { 4 } else { 64 },
                    warm_limit: if is_model { 32 } else { 64 },
                });
            }
        }
        let workspaces = (0..WORKSPACE_COUNT)
            .map(|i| workspace(i, LARGE_COUNT))
            .collect();
        Self {
            platform,
            zones,
            routers,
            servers,
            spares: Vec::new(),
            workspaces,
            model_service: model.to_owned(),
            plain_service: plain.to_owned(),
            relay: None,
            engine_flags: Vec::new(),
        }
    }

    /// Sends traffic between zones, and between zones and the platform, through a relay.
    #[must_use]
    pub fn with_relay(mut self) -> Self {
        self.relay = Some(SocketAddr::new(self.platform.ip(), RELAY_PORT));
        self
    }

    /// Returns the address to which `from` sends datagrams for `to`.
    #[must_use]
    pub fn peer_address(&self, from: &RouterSpec, to: &RouterSpec) -> SocketAddr {
        if self.relay.is_none() || from.zone == to.zone {
            return to.peer;
        }
        let router = self.routers.iter().position(|r| r.name == to.name);
        self.relay_address(&from.zone, 1 + router.unwrap_or(0))
    }

    /// Returns the address at which routers of `zone` reach the platform.
    #[must_use]
    pub fn platform_address(&self, zone: &str) -> SocketAddr {
        if self.relay.is_none() {
            return self.platform;
        }
        self.relay_address(zone, 0)
    }

    /// Returns the relay's address for traffic from `zone` to the platform, whose `number` is 0,
    /// or to a router, whose `number` is its index plus one.
    fn relay_address(&self, zone: &str, number: usize) -> SocketAddr {
        let zone = self.zones.iter().position(|z| z == zone).unwrap_or(0);
        let port = usize::from(RELAY_PORT) + 1 + zone * RELAY_ZONE_PORTS + number;
        SocketAddr::new(
            self.platform.ip(),
            u16::try_from(port).unwrap_or(RELAY_PORT),
        )
    }

    /// Returns the routes of the relay, in the groups that [`relay_group`] names.
    #[must_use]
    pub fn routes(&self) -> Vec<Route> {
        let mut routes = Vec::new();
        for zone in &self.zones {
            routes.push(Route {
                listen: self.relay_address(zone, 0),
                to: self.platform,
                carrier: Transport::Tcp,
                group: relay_group(zone, PLATFORM),
            });
            for (number, to) in (1..).zip(&self.routers) {
                if to.zone != *zone {
                    routes.push(Route {
                        listen: self.relay_address(zone, number),
                        to: to.peer,
                        carrier: Transport::Udp,
                        group: relay_group(zone, &to.zone),
                    });
                }
            }
        }
        routes
    }

    /// Sets the number of routers.
    #[must_use]
    pub fn with_routers(mut self, count: usize) -> Self {
        let mut ports = Ports::new(self.platform.ip(), ROUTER_PORT_BASE);
        let router = |i: usize| RouterSpec {
            name: format!("router-{i}"),
            zone: self.zones[i % self.zones.len()].clone(),
            listen: ports.next(),
            peer: ports.next(),
            admin: ports.next(),
        };
        self.routers = (0..count).map(router).collect();
        self
    }

    /// Sets the number of workspaces; the fraction of large ones stays as it is today.
    #[must_use]
    pub fn with_workspaces(mut self, count: usize) -> Self {
        let large = count * LARGE_COUNT / WORKSPACE_COUNT;
        self.workspaces = (0..count).map(|i| workspace(i, large)).collect();
        self
    }

    /// Adds servers that are configured but never called, up to `count` servers in all.
    ///
    /// They have the addresses of the servers that are started.
    #[must_use]
    pub fn with_spare_servers(mut self, count: usize) -> Self {
        for i in self.servers.len()..count {
            let mut spare = self.servers[i % self.servers.len()].clone();
            spare.name = format!("{SPARE_SERVICE}-{i}");
            SPARE_SERVICE.clone_into(&mut spare.service);
            self.spares.push(spare);
        }
        self
    }

    /// Sets the concurrency limits of the engines when cold and when warm.
    #[must_use]
    pub fn with_engine_limits(mut self, cold: u32, warm: u32) -> Self {
        for server in self.servers.iter_mut().filter(|s| s.is_model) {
            server.cold_limit = cold;
            server.warm_limit = warm;
        }
        self
    }

    /// Adds a flag, such as `--step-ms`, of the engines' stand-ins.
    #[must_use]
    pub fn with_engine_flag(mut self, flag: &str, value: u64) -> Self {
        self.engine_flags.push(flag.to_owned());
        self.engine_flags.push(value.to_string());
        self
    }

    /// Returns the complete state of a workspace as a ticket carries it.
    #[must_use]
    pub fn workspace_state(&self, number: usize) -> WorkspaceState {
        let workspace = &self.workspaces[number];
        WorkspaceState {
            name: workspace.name.clone(),
            share: workspace.share,
            key_hash: hex::encode(Sha256::digest(workspace.key().as_bytes())),
            queue_limit: QUEUE_LIMIT,
            retry_fraction: RETRY_FRACTION,
        }
    }

    /// Returns the configuration objects of the deployment.
    #[must_use]
    pub fn objects(&self) -> Vec<ObjectRow> {
        let mut objects = vec![
            ObjectRow::Service {
                name: self.model_service.clone(),
                model: true,
                prompt_weight: 0.1,
                output_weight: 1.0,
            },
            ObjectRow::Service {
                name: self.plain_service.clone(),
                model: false,
                prompt_weight: 1.0,
                output_weight: 0.0,
            },
        ];
        objects.extend(self.zones.iter().map(|name| ObjectRow::Zone {
            name: name.clone(),
            open: true,
        }));
        if !self.spares.is_empty() {
            objects.push(ObjectRow::Service {
                name: SPARE_SERVICE.to_owned(),
                model: true,
                prompt_weight: 0.1,
                output_weight: 1.0,
            });
        }
        let servers = self.servers.iter().chain(&self.spares);
        objects.extend(servers.map(|s| ObjectRow::Server {
            name: s.name.clone(),
            service: s.service.clone(),
            zone: s.zone.clone(),
            address: s.address,
            cold_limit: s.cold_limit,
            max_limit: s.warm_limit,
            open: true,
        }));
        objects.extend(self.workspaces.iter().map(|w| ObjectRow::Workspace {
            name: w.name.clone(),
            share: w.share,
            key_hash: hex::encode(Sha256::digest(w.key().as_bytes())),
            queue_limit: QUEUE_LIMIT,
            retry_fraction: RETRY_FRACTION,
        }));
        objects
    }

    /// Returns the transaction that writes the initial configuration to the table.
    ///
    /// # Panics
    ///
    /// Never: configuration objects serialise to JSON.
    #[must_use]
    pub fn seed(&self) -> TransactRequest {
        let mut conditions = Vec::new();
        let mut writes = Vec::new();
        for object in self.objects() {
            let key = object.key();
            conditions.push(Condition {
                key: key.clone(),
                version: 0,
            });
            let row = VersionedRow {
                version: 1,
                author: "seed".to_owned(),
                object,
            };
            writes.push(Write {
                key,
                value: Some(serde_json::to_value(row).expect("objects serialise to JSON")),
                keep_s: None,
            });
        }
        TransactRequest { conditions, writes }
    }
}
