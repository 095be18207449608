//! Decisions of routers that share model engines, without I/O.
//!
//! Each router decides alone, from its own requests and from the reports that the other routers
//! send every [`report period`](params::Params::report_period). No agreement between routers is
//! needed: the next report makes up for one that is lost, late or duplicated, and a router that
//! receives no reports continues with its own share of every limit.
//!
//! [`Fleet::handle`] is the single reducer; each module has one task:
//!
//! * [`event`]: input events and resulting decisions;
//! * [`objects`]: operator configuration and server registrations, as typed values;
//! * [`registry`]: servers known to this router;
//! * [`engine`]: load, prefix cache and speed of one server;
//! * [`placement`]: preferred server for a prompt's shared prefix;
//! * [`quota`]: max-min fair shares of the engines' throughput among workspaces;
//! * [`room`]: shares of the plain servers' slots among workspaces;
//! * [`cold`]: rate limit on requests to a cold server;
//! * [`retry`]: retry budget of a service;
//! * [`freshness`]: age of the server list;
//! * [`model`]: learned speed of a server;
//! * [`pace`]: rate of requests to a server that has started or recovered;
//! * [`lateness`]: lateness of this router's event loop;
//! * [`liveness`]: whether a server may have restarted;
//! * [`health`]: circuit breaker and error rate of a server;
//! * [`notice`]: what a server announced in its responses;
//! * [`pressure`]: overload of this router's event loop;
//! * [`rotation`]: room of this router for streams, and whether it takes new connections;
//! * [`peers`]: reports from the other routers;
//! * [`members`]: the routers that share each limit;
//! * [`splits`]: services among which the requests of a route were moved;
//! * [`rollout`]: rollouts of software versions;
//! * [`unrecorded`]: versions of streams that have no record;
//! * [`versions`]: software versions of the servers, and which can have begun a stream.

pub mod arrivals;
pub mod cold;
mod departures;
pub mod engine;
pub mod event;
pub mod fleet;
pub mod freshness;
pub mod health;
pub mod lateness;
pub mod liveness;
pub mod members;
pub mod model;
pub mod notice;
pub mod objects;
pub mod pace;
pub mod params;
pub mod peers;
pub mod placement;
pub mod pressure;
pub mod quota;
pub mod registry;
pub mod retry;
pub mod rollout;
pub mod room;
pub mod rotation;
pub mod splits;
pub mod suspects;
pub mod unrecorded;
pub mod versions;
pub mod window;

pub use event::{Decision, Event, Outcome, RequestKey, Submission};
pub use fleet::Fleet;
pub use params::Params;
