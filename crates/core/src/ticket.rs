//! Rules of change tickets.
//!
//! A ticket is accepted whole or rejected whole. It is rejected when any
//! object it touches already stands at an equal or higher number, or when its
//! number was used for another ticket. What became of a ticket whose answer
//! was lost is decided by reading its number back and comparing digests.

use hibiscusrail_macros::record;

use crate::configuration::Version;

/// How an object stands before a ticket is decided.
#[record]
pub struct Standing {
    /// The object, written as kind and name.
    pub object: String,
    /// Number of the last ticket that touched it.
    pub version: Version,
    /// Author of that ticket.
    pub author: String,
}

/// An accepted ticket, as it can be read back.
#[record]
pub struct Accepted {
    /// Its number.
    pub number: Version,
    /// Its author.
    pub author: String,
    /// Digest of its content.
    pub digest: String,
}

/// Why a ticket is rejected.
#[record]
pub enum Conflict {
    /// An object stands at an equal or higher number.
    Object(Standing),
    /// The number belongs to another accepted ticket.
    Number(Accepted),
}

/// What may be done with a ticket.
#[record]
pub enum Decision {
    /// It may be written, on condition that nothing it was decided by has changed.
    Write,
    /// It was accepted before.
    Already,
    /// It is rejected.
    Reject(Conflict),
}

/// Decides on a ticket from what the table holds.
///
/// `same` is the accepted ticket with the same number, and `touched` holds
/// those touched objects that exist or once existed.
#[must_use]
pub fn decide(
    number: Version,
    digest: &str,
    same: Option<&Accepted>,
    touched: &[Standing],
) -> Decision {
    if let Some(accepted) = same {
        if accepted.digest == digest {
            return Decision::Already;
        }
        return Decision::Reject(Conflict::Number(accepted.clone()));
    }
    let highest = touched
        .iter()
        .filter(|s| s.version >= number)
        .max_by_key(|s| s.version);
    match highest {
        Some(standing) => Decision::Reject(Conflict::Object(standing.clone())),
        None => Decision::Write,
    }
}
