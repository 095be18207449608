//! HTTP and logging over one compio loop, shared by all programs.
//!
//! Everything here runs on one thread; bodies and futures are not `Send`.

pub mod body;
pub mod client;
pub mod logs;
pub mod server;
pub mod socket;
pub mod stall;

pub use body::{Body, BodySender, channel, empty, full, json};
pub use client::{Connection, connect};
pub use server::{Connections, Limits, bind, serve, serve_counted};
