//! Identifiers: small `Copy` keys of everything the reducer knows.
//!
//! Objects that operators name (workspaces, services, servers, zones, routers)
//! are identified on the wire by a 32-bit hash of their name. Two objects of
//! one kind whose names collide are refused when a change ticket creates them.

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
    /// A router process, by its name in the settings.
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

/// One run of a router process: milliseconds since the epoch at its start.
///
/// A restarted router has a higher incarnation than before.
#[id]
pub struct Incarnation(pub u64);

/// A slot granted by a dispatcher; unique within the dispatcher's incarnation.
#[id]
pub struct GrantId(pub u64);

/// A take-over of a server by a dispatcher; grows within the dispatcher's incarnation.
#[id]
pub struct Term(pub u64);

/// One run of one router, as the sender of a message.
#[id]
pub struct Peer {
    /// The router.
    pub router: RouterId,
    /// Its run.
    pub incarnation: Incarnation,
}

/// A grant together with the dispatcher that issued it.
#[id]
pub struct GrantRef {
    /// The router that issued the grant.
    pub dispatcher: RouterId,
    /// The incarnation of that router.
    pub incarnation: Incarnation,
    /// The grant.
    pub grant: GrantId,
}

/// The number that the daemon gives to a caller's request.
#[id]
pub struct CallId(pub u64);

/// The number that the reducer gives to an operation at the platform's table.
#[id]
pub struct TableOp(pub u64);

/// The flow of one workspace's requests to one service, the unit of fairness.
#[id]
pub struct Flow {
    /// The service asked for.
    pub service: ServiceId,
    /// The workspace that asks.
    pub workspace: WorkspaceId,
}

new_key_type! {
    /// A caller's request in the reducer's arena.
    pub struct RequestKey;
    /// One try of a request at one server in the reducer's arena.
    pub struct AttemptKey;
}
