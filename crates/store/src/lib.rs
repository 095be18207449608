//! Data that hibiscusrail stores in the platform's transactional table.
//!
//! [`table`] holds the messages of the table's JSON protocol and [`keys`] the keys
//! of the rows; the other modules encode and decode the rows themselves.

pub mod audit;
pub mod claim;
pub mod keys;
pub mod object;
pub mod table;
pub mod ticket;
