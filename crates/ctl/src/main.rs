//! `hibiscusrail-ctl`: the operators' command line.

fn main() {}
