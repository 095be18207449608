//! Attempts and claims under lost answers, restarts, pauses and outages.
//!
//! A [`World`] holds routers, the platform's table and the servers as plain
//! data. Each [`Step`] moves one effect or event; between any two steps a
//! router may restart, and an effect may wait for any number of steps, as when
//! its router is paused. The [`Oracle`] knows every run by call and key, and
//! checks each step.

mod oracle;
mod step;
mod table;
mod world;

pub use oracle::{CallRef, Kind, Oracle};
pub use step::{Fate, Step, TableFate, steps};
pub use world::World;
