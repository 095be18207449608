//! Messages between routers on the wire: one sealed datagram for each.
//!
//! [`generated`] holds the types made from `proto/peer.proto`; [`convert`]
//! turns them into the reducer's [`Message`](hibiscusrail_core::Message) and
//! back; [`seal`] adds and checks the keyed MAC.

pub mod convert;
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod generated;
pub mod seal;

pub use convert::{Letter, decode, encode};
pub use seal::{Keys, OpenError, VERSION};
