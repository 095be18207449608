//! HTTP connections, logging and process metrics on a compio event loop, shared by all programs.
//!
//! The event loop has one thread; bodies and futures are not `Send`.

pub mod body;
pub mod client;
pub mod event_loop;
mod head_timer;
pub mod headers;
mod linger;
pub mod logs;
pub mod memory;
pub mod poller;
pub mod pool;
pub mod process;
mod response_filter;
pub mod server;
pub mod signals;
pub mod socket;
pub mod sse;
pub mod stall;
pub mod time;
mod trace;
pub mod triage;

pub use body::{Body, BodySender, channel, empty, full, json};
pub use client::{Connection, OwnedConnection, connect, connect_owned};
pub use event_loop::EventLoop;
pub use server::{Connections, Limits, bind, serve, serve_counted};
pub use time::timeout;
