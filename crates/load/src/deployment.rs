//! What a deployment consists of: zones, routers, servers, workspaces.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use hibiscusrail_macros::record;
use hibiscusrail_platform::object::{ObjectRow, VersionedRow};
use hibiscusrail_platform::table::{Condition, TransactRequest, Write};
use sha2::{Digest, Sha256};

/// A router of the deployment.
#[record]
pub struct RouterSpec {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where routers send datagrams.
    pub peer: SocketAddr,
    /// Where operators connect.
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
    pub model: bool,
    /// Requests borne when cold.
    pub cold: u32,
    /// Requests borne when warm.
    pub warm: u32,
}

/// A workspace of the deployment.
#[record]
pub struct WorkspaceSpec {
    /// Name; its key is `key-` and the name.
    pub name: String,
    /// Weight of its portion.
    pub share: f64,
}

impl WorkspaceSpec {
    /// Returns the workspace's key.
    #[must_use]
    pub fn key(&self) -> String {
        format!("key-{}", self.name)
    }
}

/// A whole deployment on loopback.
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
    /// The workspaces.
    pub workspaces: Vec<WorkspaceSpec>,
    /// Name of the model service.
    pub model: String,
    /// Name of the plain service.
    pub plain: String,
    /// Further flags of the engines' stand-ins.
    pub engine_flags: Vec<String>,
}

/// First port of a deployment on loopback.
const FIRST_PORT: u16 = 21_000;
/// Workspaces of today's users, and how many of them are large.
const WORKSPACES: usize = 16;
const LARGE: usize = 3;
/// Share of a large workspace; a small one has one.
const LARGE_SHARE: f64 = 4.0;

/// Hands out loopback addresses.
struct Ports {
    host: Ipv4Addr,
    last: u16,
}

impl Ports {
    fn next(&mut self) -> SocketAddr {
        self.last += 1;
        SocketAddr::from((self.host, self.last))
    }
}

/// Returns a loopback address that no other deployment of this machine uses.
///
/// It is made of the process id and a count, so that deployments of several
/// tests and experiments can run side by side.
#[must_use]
pub fn own_host() -> Ipv4Addr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let number = std::process::id().wrapping_mul(64).wrapping_add(count);
    // Every number has its own host: none is 127.0.0.1, which callers send
    // from, or a broadcast address.
    let [d, rest] = [number % HOST_DIGITS, number / HOST_DIGITS];
    let [c, b] = [rest % 256, rest / 256 % HOST_DIGITS];
    let digit = |n: u32| u8::try_from(n).unwrap_or(u8::MAX);
    Ipv4Addr::new(127, digit(b + 1), digit(c), digit(d + 1))
}

/// Values of the second and last byte of a deployment's address.
const HOST_DIGITS: u32 = 254;

impl Deployment {
    /// Returns the Consorcio's deployment: 3 zones, 7 routers, 10 engines, 3 plain servers.
    #[must_use]
    pub fn consorcio() -> Self {
        Self::new(own_host(), "nucleo-modelo", 10, "portal-citas", 3)
    }

    /// Returns the Coopérative's deployment: 3 zones, 7 routers, 20 engines, 3 plain servers.
    #[must_use]
    pub fn cooperative() -> Self {
        Self::new(own_host(), "redaction-modele", 20, "registre-chaudieres", 3)
    }

    /// Returns a small deployment for tests: 3 zones and routers, 3 engines, 2 plain servers.
    #[must_use]
    pub fn small() -> Self {
        let mut deployment = Self::new(own_host(), "model", 3, "records", 2);
        deployment.routers.truncate(3);
        deployment
    }

    /// Creates a deployment of 7 routers in 3 zones.
    #[must_use]
    pub fn new(host: Ipv4Addr, model: &str, engines: usize, plain: &str, plains: usize) -> Self {
        let mut ports = Ports {
            host,
            last: FIRST_PORT,
        };
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
                    model: is_model,
                    cold: if is_model { 4 } else { 64 },
                    warm: if is_model { 32 } else { 64 },
                });
            }
        }
        let workspaces = (0..WORKSPACES)
            .map(|i| WorkspaceSpec {
                name: format!("workspace-{i}"),
                share: if i < LARGE { LARGE_SHARE } else { 1.0 },
            })
            .collect();
        Self {
            platform,
            zones,
            routers,
            servers,
            workspaces,
            model: model.to_owned(),
            plain: plain.to_owned(),
            engine_flags: Vec::new(),
        }
    }

    /// Sets the requests that engines bear when cold and when warm.
    #[must_use]
    pub fn with_engine_limits(mut self, cold: u32, warm: u32) -> Self {
        for server in self.servers.iter_mut().filter(|s| s.model) {
            server.cold = cold;
            server.warm = warm;
        }
        self
    }

    /// Adds a flag of the engines' stand-ins, like `--step-ms`.
    #[must_use]
    pub fn with_engine_flag(mut self, flag: &str, value: u64) -> Self {
        self.engine_flags.push(flag.to_owned());
        self.engine_flags.push(value.to_string());
        self
    }

    /// Returns the configuration objects of the deployment.
    #[must_use]
    pub fn objects(&self) -> Vec<ObjectRow> {
        let mut objects = vec![
            ObjectRow::Service {
                name: self.model.clone(),
                model: true,
                prompt_weight: 0.1,
                output_weight: 1.0,
            },
            ObjectRow::Service {
                name: self.plain.clone(),
                model: false,
                prompt_weight: 1.0,
                output_weight: 0.0,
            },
        ];
        objects.extend(self.zones.iter().map(|name| ObjectRow::Zone {
            name: name.clone(),
            open: true,
        }));
        objects.extend(self.servers.iter().map(|s| ObjectRow::Server {
            name: s.name.clone(),
            service: s.service.clone(),
            zone: s.zone.clone(),
            address: s.address,
            cold_limit: s.cold,
            max_limit: s.warm,
            open: true,
        }));
        objects.extend(self.workspaces.iter().map(|w| ObjectRow::Workspace {
            name: w.name.clone(),
            share: w.share,
            key_hash: hex::encode(Sha256::digest(w.key().as_bytes())),
            queue_limit: 10_000,
            retry_fraction: 0.1,
        }));
        objects
    }

    /// Returns the transaction that puts the first configuration into the table.
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
