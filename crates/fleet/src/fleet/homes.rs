//! Homes of a shared prefix: the engines that may cache it.
//!
//! Engines cache prefixes in the memory that running requests leave, and each copy of a prefix
//! evicts others. So the requests of a prefix go to engines that have it and to its first homes in
//! an order that all routers derive from a hash. More engines are considered, in that order, only
//! while those considered so far can't start the request in time: the number of copies follows the
//! rate of the prefix and the load of its homes.

use std::cmp::Reverse;

use super::choice::Eligible;

/// Shared tokens from which a prefix has homes; shorter ones are prefilled quickly anywhere.
const MIN_HOMED_TOKENS: u32 = 600;
/// Engines that are considered first. With two, the less loaded one can be taken.
const FIRST_HOMES: usize = 2;
/// Factor on the number of engines considered while none of them can start the request in time.
const HOMES_GROWTH: usize = 2;

/// Eligible servers of a request in the groups in which they are considered.
pub(super) struct Homes<'a> {
    servers: Vec<Eligible<'a>>,
    /// Number of servers in the groups returned so far.
    returned: usize,
    /// Number of servers in those groups and the next one.
    end: usize,
}

impl<'a> Homes<'a> {
    /// Groups the servers for a request whose shared prefix has `shared` tokens.
    pub(super) fn new(mut servers: Vec<Eligible<'a>>, shared: u32) -> Self {
        let end = if shared < MIN_HOMED_TOKENS {
            servers.len()
        } else {
            servers.sort_unstable_by_key(|s| Reverse((s.preferred, s.rank)));
            let holders = servers.partition_point(|s| s.preferred);
            holders.max(FIRST_HOMES)
        };
        Self {
            servers,
            returned: 0,
            end,
        }
    }

    /// Returns the next group; none after the last one.
    pub(super) fn next_group(&mut self) -> Option<&[Eligible<'a>]> {
        let end = self.end.min(self.servers.len());
        let group = self.servers.get(self.returned..end)?;
        if group.is_empty() {
            return None;
        }
        self.returned = end;
        self.end = end * HOMES_GROWTH;
        Some(group)
    }
}
