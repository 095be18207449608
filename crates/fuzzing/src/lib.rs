//! Generators and oracles for stateful fuzzing.
//!
//! * [`fleet`]: simulated routers, network and servers, for slots and fairness;
//! * [`fair_queue`]: an ideal fair queue;
//! * [`claims`]: claims of keyed requests in the platform's table;
//! * [`config`]: configuration and membership of several routers;
//! * [`rollouts`]: rollouts of software versions by several routers.

pub mod claims;
pub mod config;
pub mod fair_queue;
pub mod fleet;
pub mod rollouts;

pub use fair_queue::FairQueue;
pub use fleet::Fleet;
