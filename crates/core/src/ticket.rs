//! Decides which change tickets are accepted.
//!
//! A ticket is accepted or rejected as a whole. It is rejected if any object it
//! changes already has an equal or higher version, or if its number was used
//! for another ticket. If the answer to a ticket is lost, its outcome is found
//! by reading the ticket with that number back and comparing digests.

use hibiscusrail_macros::record;

use crate::configuration::Version;

/// Current version of an object that a ticket changes.
#[record]
pub struct ObjectVersion {
    /// The object, written as kind and name.
    pub object: String,
    /// Number of the last ticket that changed it.
    pub version: Version,
    /// Author of that ticket.
    pub author: String,
}

/// An accepted ticket, as read from the table.
#[record]
pub struct Accepted {
    /// Number of the ticket.
    pub number: Version,
    /// Author of the ticket.
    pub author: String,
    /// Digest of the ticket's content.
    pub digest: String,
}

/// Why a ticket is rejected.
#[record]
pub enum Conflict {
    /// An object already has an equal or higher version.
    Object(ObjectVersion),
    /// The number belongs to another accepted ticket.
    Number(Accepted),
}

/// Outcome of [`decide`] for a ticket.
#[record]
pub enum Decision {
    /// The ticket may be written, provided that the data read for the decision is unchanged.
    Write,
    /// The same ticket was accepted before.
    AlreadyAccepted,
    /// The ticket is rejected.
    Reject(Conflict),
}

/// Decides on a ticket by the content of the table.
///
/// `same` is the accepted ticket with the same number. `touched` holds those
/// objects changed by the ticket that exist or once existed.
#[must_use]
pub fn decide(
    number: Version,
    digest: &str,
    same: Option<&Accepted>,
    touched: &[ObjectVersion],
) -> Decision {
    if let Some(accepted) = same {
        if accepted.digest == digest {
            return Decision::AlreadyAccepted;
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
