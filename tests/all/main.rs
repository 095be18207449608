//! Tests of the whole path, in one program with a module for each topic.

mod claims;
mod path;
mod retries;
mod silence;
mod standins;
mod stops;
mod streams;
mod support;
