//! Decisions of routers that share model engines, without I/O.
//!
//! Each router decides alone, from its own requests and from the reports that
//! the other routers send every [`report period`](params::Params::report_period).
//! Nothing has to be agreed on: a report that is lost, late or repeated is
//! healed by the next, and a router that hears nobody goes on with its own
//! share of every limit.
//!
//! [`Fleet::handle`] is the one reducer; the parts below it have one job each:
//!
//! * [`event`]: what can happen, and what is decided;
//! * [`objects`]: the operator's configuration and the servers, as typed values;
//! * [`engine`]: what one server has to do, and when it would begin the next request;
//! * [`placement`]: which server holds the shared prefix of a prompt;
//! * [`quota`]: max-min shares of the engines' throughput among workspaces;
//! * [`cold`]: how many requests a second a cold server receives from here;
//! * [`retry`]: how many repeats a service receives from here;
//! * [`health`]: whether a server answers;
//! * [`pressure`]: whether this router has more work than its processor does;
//! * [`peers`]: what the other routers report.

pub mod cold;
pub mod engine;
pub mod event;
pub mod fleet;
pub mod health;
pub mod objects;
pub mod params;
pub mod peers;
pub mod placement;
pub mod pressure;
pub mod quota;
pub mod retry;
pub mod roster;
pub mod window;

pub use event::{Ask, Decision, Event, Outcome, RequestKey};
pub use fleet::Fleet;
pub use params::Params;
