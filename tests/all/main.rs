//! Tests of the whole path, in one program with a module for each topic.

mod path;
mod standins;
mod support;
