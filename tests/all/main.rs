//! Tests of the whole path, in one program with a module for each topic.

mod admin;
mod http;
mod interface;
mod limits;
mod path;
mod standins;
mod support;
