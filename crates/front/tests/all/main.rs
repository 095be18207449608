//! The whole path of a request over loopback, against servers that misbehave.

mod answers;
mod callers;
mod requests;
mod streams;
mod support;
