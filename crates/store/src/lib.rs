//! The platform's table service: its JSON protocol and the keys used in it.

pub mod audit;
pub mod claim;
pub mod keys;
pub mod object;
pub mod table;
pub mod ticket;
