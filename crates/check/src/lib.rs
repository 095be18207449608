//! Checks of configurations.
//!
//! [`deployment`] finds errors and contradictions in an operator configuration, [`objects`] those in
//! the objects of change tickets, [`change`] lists what differs from the configuration in force, and
//! [`fields`] compares a JSON document with the fields that it may have. [`form`] reads the product's own JSON form. The operators' programs print the
//! findings; the daemons log them through [`reported`] and reject nothing because of them.

pub mod change;
pub mod deployment;
pub mod fields;
pub mod finding;
pub mod form;
pub mod objects;
pub mod report;
pub mod reported;

pub use change::{Change, changes};
pub use deployment::{Known, check};
pub use finding::{Finding, Kind, Place};
pub use objects::check_objects;
pub use report::Report;
pub use reported::Reported;
