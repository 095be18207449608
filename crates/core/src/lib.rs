//! The decisions of a router, as one reducer without I/O.
//!
//! [`Router::handle`] takes the current time and one [`Event`] and returns the
//! [`Effect`]s that the event calls for. The crate opens no socket, reads no
//! clock and draws no randomness but from a generator that is seeded by the
//! caller, so every run can be repeated exactly.
//!
//! The state is split by job, each job in a module with its own small reducer:
//!
//! * [`entry`]: requests of callers that wait for a slot, and demand for slots;
//! * [`dispatch`]: the slots of the servers that this router hands out;
//! * [`share`]: service given to each workspace, and who comes next;
//! * [`server`]: the concurrency limit of one server and its warm-up;
//! * [`attempt`]: what became of a request sent to a server;
//! * [`claim`]: at most one run for each idempotency key;
//! * [`health`]: whether a server answers at all;
//! * [`retry`]: how many retries a workspace may cause;
//! * [`configuration`]: the versioned objects in force;
//! * [`ticket`]: which change tickets are accepted;
//! * [`membership`]: which routers are alive, and which role each one has.

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
