//! Identifiers of routers, servers, requests, grants and other objects of the reducer.
//!
//! Objects that operators name (workspaces, services, servers, zones, routers)
//! are identified on the wire by a 32-bit hash of their name. A change ticket that
//! creates an object whose hash collides with another of its kind is rejected.

use std::fmt;

use hibiscusrail_macros::id;
use slotmap::new_key_type;
use xxhash_rust::xxh3::xxh3_64;

/// Hashes a name to 32 bits with XXH3.
fn hash_name(name: &str) -> u32 {
    let [a, b, c, d, ..] = xxh3_64(name.as_bytes()).to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

macro_rules! name_id {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[id]
        pub struct $name(pub u32);

        impl $name {
            /// Returns the identifier of the object called `name`.
            #[must_use]
            pub fn new(name: &str) -> Self {
                Self(hash_name(name))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:08x}", self.0)
            }
        }
    )*};
}

name_id! {
    /// A router, identified by its name in the settings.
    RouterId;
    /// A workspace.
    WorkspaceId;
    /// A model service or a plain service.
    ServiceId;
    /// A backend server.
    ServerId;
    /// An availability zone.
    ZoneId;
}

/// One run of a router process: its start in milliseconds since the epoch; grows with restarts.
#[id]
pub struct Incarnation(pub u64);

/// A slot granted by a dispatcher; unique within the dispatcher's incarnation.
#[id]
pub struct GrantId(pub u64);

/// A dispatcher's term at a server: numbers take-overs within the dispatcher's incarnation.
#[id]
pub struct Term(pub u64);

/// The sender of a message: a router and its incarnation.
#[id]
pub struct Peer {
    /// The router.
    pub router: RouterId,
    /// The incarnation of that router.
    pub incarnation: Incarnation,
}

/// A grant qualified by the dispatcher that issued it; unique in the fleet.
#[id]
pub struct GrantRef {
    /// The router that issued the grant.
    pub dispatcher: RouterId,
    /// The incarnation of that router.
    pub incarnation: Incarnation,
    /// The grant.
    pub grant: GrantId,
}

/// A caller's request, as numbered by the daemon.
#[id]
pub struct CallId(pub u64);

/// An operation on the platform's table, as numbered by the reducer.
#[id]
pub struct TableOp(pub u64);

/// All requests of one workspace to one service; the unit of fair sharing.
#[id]
pub struct Flow {
    /// The requested service.
    pub service: ServiceId,
    /// The requesting workspace.
    pub workspace: WorkspaceId,
}

new_key_type! {
    /// Key of a caller's request in the reducer's arena.
    pub struct RequestKey;
    /// Key of an attempt, one request sent to one server, in the reducer's arena.
    pub struct AttemptKey;
}
