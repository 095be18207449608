//! Numbers of routers, servers, zones and workspaces of a fleet, and their objects.

use std::net::{Ipv4Addr, SocketAddr};

use hibiscusrail_core::configuration::{
    Admission, Object, Server, Service, ServiceKind, Version, Workspace, Zone,
};
use hibiscusrail_core::{Flow, RouterId, ServerId, ServiceId, WorkspaceId, ZoneId};
use hibiscusrail_macros::record;

const SERVICE: &str = "model";

/// Size and configuration of a fleet.
#[record]
pub struct Layout {
    /// Number of routers, assigned to the zones in turn.
    pub routers: usize,
    /// Number of servers, assigned to the zones in turn.
    pub servers: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of concurrent requests that a cold server can run.
    pub cold_limit: u32,
    /// Number of concurrent requests that a warm server can run.
    pub max_limit: u32,
    /// Shares of the workspaces, by index.
    pub shares: Vec<f64>,
    /// Maximum number of waiting requests of one workspace at one router.
    pub queue_limit: u32,
}

impl Layout {
    /// Returns a layout with one zone and two workspaces of equal shares.
    #[must_use]
    pub fn new(routers: usize, servers: usize) -> Self {
        Self {
            routers,
            servers,
            zones: 1,
            cold_limit: 2,
            max_limit: 8,
            shares: vec![1.0, 1.0],
            queue_limit: 1_000,
        }
    }

    /// Sets the shares of the workspaces.
    #[must_use]
    pub fn with_shares(mut self, shares: Vec<f64>) -> Self {
        self.shares = shares;
        self
    }

    /// Sets the number of zones.
    #[must_use]
    pub fn with_zones(mut self, zones: usize) -> Self {
        self.zones = zones;
        self
    }

    /// Sets the limits of concurrent requests of cold and warm servers.
    #[must_use]
    pub fn with_limits(mut self, cold_limit: u32, max_limit: u32) -> Self {
        self.cold_limit = cold_limit;
        self.max_limit = max_limit;
        self
    }

    /// Returns the identifier of a router.
    #[must_use]
    pub fn router_id(&self, index: usize) -> RouterId {
        RouterId::new(&format!("router-{index}"))
    }

    /// Returns the zone identifier of the router or server with this index.
    #[must_use]
    pub fn zone_id(&self, index: usize) -> ZoneId {
        ZoneId::new(&self.zone_name(index))
    }

    fn zone_name(&self, index: usize) -> String {
        format!("zone-{}", index % self.zones)
    }

    /// Returns the identifiers of the servers.
    pub fn server_ids(&self) -> impl Iterator<Item = ServerId> + use<> {
        (0..self.servers).map(|i| ServerId::new(&format!("server-{i}")))
    }

    /// Returns the flow of a workspace to the service.
    #[must_use]
    pub fn flow(&self, workspace: usize) -> Flow {
        Flow {
            service: ServiceId::new(SERVICE),
            workspace: WorkspaceId::new(&format!("workspace-{workspace}")),
        }
    }

    /// Returns the configuration object of a server, with the given admission.
    #[must_use]
    pub fn server_object(&self, index: usize, admission: Admission) -> Object {
        Object::Server(Server {
            name: format!("server-{index}"),
            service: ServiceId::new(SERVICE),
            zone: self.zone_id(index),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            cold_limit: self.cold_limit,
            max_limit: self.max_limit,
            admission,
        })
    }

    /// Returns the configuration object of a zone, with the given admission.
    #[must_use]
    pub fn zone_object(&self, index: usize, admission: Admission) -> Object {
        Object::Zone(Zone {
            name: self.zone_name(index),
            admission,
        })
    }

    /// Returns all configuration objects, at version 1.
    #[must_use]
    pub fn objects(&self) -> Vec<(Version, Object)> {
        let service = Object::Service(Service {
            name: SERVICE.to_owned(),
            kind: ServiceKind::Model,
            prompt_weight: 0.0,
            output_weight: 1.0,
        });
        let zones = (0..self.zones).map(|i| self.zone_object(i, Admission::Open));
        let servers = (0..self.servers).map(|i| self.server_object(i, Admission::Open));
        let workspaces = self.shares.iter().enumerate().map(|(i, share)| {
            Object::Workspace(Workspace {
                name: format!("workspace-{i}"),
                share: *share,
                key_hash: [u8::try_from(i % 256).unwrap_or(0); 32],
                queue_limit: self.queue_limit,
                retry_fraction: 0.1,
            })
        });
        std::iter::once(service)
            .chain(zones)
            .chain(servers)
            .chain(workspaces)
            .map(|object| (Version(1), object))
            .collect()
    }
}
