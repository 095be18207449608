//! End-to-end tests, in one binary with a module for each topic.

mod admin;
mod answers;
mod claims;
mod http;
mod interface;
mod limits;
mod logs;
mod membership;
mod path;
mod raw;
mod restart;
mod retries;
mod silence;
mod standins;
mod stops;
mod streams;
mod support;
mod tickets;
mod zones;
