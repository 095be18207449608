//! Starts the router's own process on loopback addresses, with stand-ins for the store and the
//! servers in the test process, and reads the process's memory and open descriptors.

pub mod calls;
pub mod http;
pub mod process;
pub mod proxy;
pub mod runs;

#[path = "../../../platform/process_standin.rs"]
pub mod standin;

#[path = "../../../platform/fault_standin.rs"]
pub mod faults;
