//! Placement on servers that differ in speed.
