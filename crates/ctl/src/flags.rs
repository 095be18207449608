//! Flags and help texts of the command line.

#![allow(missing_docs, clippy::all, clippy::pedantic)]

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Operates a hibiscusrail fleet.
    ///
    /// Exit codes: 0 done, 1 failed, 2 wrong usage, 3 rejected or not ready,
    /// 4 not found, 5 outcome unknown. Of `check`: 0 no findings, 1 findings,
    /// 2 unreadable.
    cmd hibiscusrail-ctl {
        /// Admin address of a router, an IP address and a port.
        optional --router address: SocketAddr
        /// Address of the platform's table, an IP address and a port.
        optional --platform address: SocketAddr
        /// File with the operators' token for the router's admin port.
        optional --token-file file: PathBuf
        /// Print one JSON document instead of text.
        optional --json

        /// Show a router's readiness, configuration, slots and queues.
        cmd status {}

        /// Stop a router gracefully: it takes no new work and ends when its
        /// running work is done.
        cmd drain {
            /// Maximum time to wait for running work, like 30s or 2m; defaults
            /// to the router's own setting.
            optional --patience time: String
        }

        /// Check an operator configuration, in the JSON form that routers
        /// exchange, and compare it with the version in force.
        cmd config-check check {
            /// File with the configuration; `-`, the default, is standard input.
            optional file: PathBuf
            /// File with the configuration in force.
            optional --in-force file: PathBuf
            /// Address of a router for other routers, from which the configuration
            /// in force and the servers are read.
            optional --peer address: SocketAddr
            /// Memory of the smallest host in megabytes.
            optional --memory megabytes: u32
        }

        /// Check, submit and show change tickets.
        cmd ticket {
            /// Check a ticket file against the table without writing anything.
            cmd check {
                /// File with the ticket as JSON.
                required file: PathBuf
            }
            /// Submit a ticket, which is applied as a whole or not at all.
            cmd submit {
                /// File with the ticket as JSON.
                required file: PathBuf
            }
            /// Show an accepted ticket.
            cmd show {
                /// Number of the ticket.
                required number: u64
            }
        }

        /// Show the audit trail: every accepted and rejected ticket, every drain.
        cmd audit {
            /// Only rows about this object, written as kind/name.
            optional --object object: String
            /// Only rows after this ticket number.
            optional --after number: u64
            /// Only rows before this ticket number.
            optional --before number: u64
            /// Only rows of this author.
            optional --author author: String
            /// Maximum number of rows to show.
            optional --limit rows: usize
        }
    }
}
