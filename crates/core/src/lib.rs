//! The decision logic of a router, as a reducer without I/O.
//!
//! [`Router::handle`] takes the current time and one [`Event`] and returns the [`Effect`]s to
//! perform. The crate opens no socket, reads no clock and takes randomness only from a generator
//! that the caller seeds, so every run is reproducible.
//!
//! Each part of the state has a module with its own small reducer:
//!
//! * [`entry`]: requests of callers that wait for a slot, and demand for slots;
//! * [`dispatch`]: the slots of the servers whose dispatcher is this router;
//! * [`share`]: service given to each workspace, and which one is served next;
//! * [`server`]: the concurrency limit of one server and its warm-up;
//! * [`attempt`]: state and outcome of a request sent to a server;
//! * [`claim`]: at most one execution for each idempotency key;
//! * [`health`]: whether a server is reachable;
//! * [`retry`]: the retry budget of each workspace;
//! * [`configuration`]: the versioned configuration objects in force;
//! * [`ticket`]: which change tickets are accepted;
//! * [`membership`]: which routers are alive, and which roles each one has.

pub mod attempt;
pub mod claim;
pub mod clock;
pub mod configuration;
pub mod dispatch;
pub mod effect;
pub mod entry;
pub mod event;
pub mod health;
pub mod ids;
pub mod membership;
pub mod message;
pub mod outbox;
pub mod params;
pub mod retry;
pub mod router;
pub mod server;
pub mod share;
pub mod ticket;

pub use clock::{Clock, ManualClock, SystemClock};
pub use effect::Effect;
pub use event::Event;
pub use ids::*;
pub use message::Message;
pub use params::Params;
pub use router::Router;
