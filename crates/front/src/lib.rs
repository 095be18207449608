//! The daemon of routers that share engines: a single-threaded compio event
//! loop around the reducer of `hibiscusrail-fleet`.
//!
//! [`caller`] serves callers, [`upstream`] sends attempts to backend servers and [`answer`] relays
//! response streams; [`shell`] passes their events to the reducer and returns its decisions.
//! [`peers`] exchanges reports with the other routers, [`watch`] follows the store through the
//! [`Store`](watch::Store) that the deployment's adapter implements, [`rollouts`] writes the status of
//! rollouts, [`work`] counts what the event
//! loop does, and [`protocol`] holds the deployment's header names.

pub mod answer;
pub mod caller;
pub mod fingerprint;
pub mod health;
pub mod metrics;
pub mod origins;
pub mod outgoing;
pub mod overload;
pub mod peers;
pub mod protocol;
pub mod records;
pub mod refusal;
pub mod rollouts;
pub mod shell;
pub mod start;
pub mod state;
pub mod stop;
pub mod unserved;
pub mod upstream;
pub mod watch;
pub mod work;

pub use start::{StartError, run};
