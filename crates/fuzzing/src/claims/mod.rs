//! Stateful fuzzing of attempts and claims under lost answers, restarts, pauses and outages.
//!
//! A [`World`] simulates routers, the platform's table and the servers in memory. Each [`Step`]
//! delivers one event or executes one effect. A router may restart between any two steps, and an
//! effect may be delayed by any number of steps, as if its router were paused. The [`Oracle`]
//! records every execution by call and key, and checks that no call or key is executed too often
//! and that callers receive correct answers.

mod oracle;
mod step;
mod table;
mod world;

pub use oracle::{CallRef, Oracle, RunLimit};
pub use step::{Outcome, Step, TableOutcome, steps};
pub use world::World;
