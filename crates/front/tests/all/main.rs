//! End-to-end tests of a router over loopback, against servers that misbehave.

mod answers;
mod callers;
mod config_changes;
mod fingerprint;
mod followers;
mod health;
mod metrics;
mod notices;
mod overload;
mod refusal;
mod replacements;
mod requests;
mod restarts;
mod rollouts;
mod streams;
mod support;
mod tables;
mod take_ups;
mod versions;
