//! Generators and oracles for stateful fuzzing.
//!
//! * [`fleet`]: several reducers, a bag of messages and servers that count;
//! * [`fair_queue`]: the single ideal queue that the fleet is compared with;
//! * [`claims`]: claims of keyed requests at the platform's table;
//! * [`config`]: configuration and membership of several routers.

pub mod claims;
pub mod config;
pub mod fair_queue;
pub mod fleet;

pub use fair_queue::FairQueue;
pub use fleet::Fleet;
