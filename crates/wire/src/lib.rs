//! Wire format of the messages between routers, one authenticated datagram each.
//!
//! [`generated`] holds the Protobuf types generated from `proto/peer.proto`, [`convert`] converts
//! between them and the reducer's [`Message`](hibiscusrail_core::Message), and [`seal`]
//! authenticates datagrams and drops replays.

pub mod convert;
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod generated;
pub mod seal;

pub use convert::{PeerMessage, decode, encode};
pub use seal::{Keys, OpenError, PROTOCOL_VERSION};
