//! In-memory model of the platform's table of configuration; also the oracle.

use std::collections::{BTreeMap, BTreeSet};

use hibiscusrail_core::configuration::{Admission, Object, ObjectId, Version, Zone};
use hibiscusrail_core::ticket::{Accepted, Conflict, Decision, ObjectVersion, decide};

use super::OBJECTS;

/// A ticket submitted by one of several operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    number: u64,
    author: String,
    objects: BTreeSet<usize>,
}

impl Ticket {
    /// Creates a ticket.
    #[must_use]
    pub fn new(number: u64, author: u8, objects: &[usize]) -> Self {
        Self {
            number,
            author: format!("operator-{author}"),
            objects: objects.iter().copied().collect(),
        }
    }

    fn digest(&self) -> String {
        format!("{self:?}")
    }
}

/// Returns the object with an index as ticket `number` writes it: removed if `number` is a
/// multiple of 7, otherwise with its admission closed for even numbers and open for odd ones.
#[must_use]
pub fn object(index: usize, number: u64) -> Object {
    let name = format!("zone-{index}");
    if number.is_multiple_of(7) {
        return Object::Removed(object(index, 1).id());
    }
    let admission = if number.is_multiple_of(2) {
        Admission::Closed
    } else {
        Admission::Open
    };
    Object::Zone(Zone { name, admission })
}

/// All accepted tickets, in the order of acceptance.
#[derive(Debug, Default)]
pub struct Table {
    accepted: Vec<Ticket>,
    down: bool,
}

impl Table {
    /// Creates a table that holds each object at version 1.
    #[must_use]
    pub fn new() -> Self {
        let seed = Ticket {
            number: 1,
            author: "seed".to_owned(),
            objects: (0..OBJECTS).collect(),
        };
        Self {
            accepted: vec![seed],
            down: false,
        }
    }

    /// Makes the table unavailable or available.
    pub fn set_down(&mut self, down: bool) {
        self.down = down;
    }

    /// Returns whether the table is available.
    #[must_use]
    pub fn is_up(&self) -> bool {
        !self.down
    }

    /// Returns the highest accepted version of each object; this is the oracle.
    #[must_use]
    pub fn highest_versions(&self) -> BTreeMap<usize, u64> {
        self.versions_after(self.accepted.len())
    }

    /// Returns the highest version of each object after the first `tickets` accepted tickets.
    fn versions_after(&self, tickets: usize) -> BTreeMap<usize, u64> {
        let mut highest = BTreeMap::new();
        for ticket in &self.accepted[..tickets] {
            for index in &ticket.objects {
                let version: &mut u64 = highest.entry(*index).or_default();
                *version = ticket.number.max(*version);
            }
        }
        highest
    }

    /// Returns all objects before the last `lag` accepted tickets, but at least at version 1.
    #[must_use]
    pub fn read(&self, lag: usize) -> Vec<(Version, Object)> {
        let tickets = self.accepted.len().saturating_sub(lag).max(1);
        self.versions_after(tickets)
            .into_iter()
            .map(|(index, version)| (Version(version), object(index, version)))
            .collect()
    }

    /// Returns whether an accepted ticket wrote an object at a version.
    #[must_use]
    pub fn was_accepted(&self, id: ObjectId, version: Version) -> bool {
        self.accepted
            .iter()
            .any(|t| t.number == version.0 && t.objects.iter().any(|i| object(*i, 1).id() == id))
    }

    /// Decides on a ticket, checks the decision against the oracle, and writes an accepted ticket.
    ///
    /// # Panics
    ///
    /// Panics if the decision contradicts the oracle.
    pub fn submit(&mut self, ticket: &Ticket) -> Decision {
        let highest = self.highest_versions();
        let same = self.accepted.iter().find(|t| t.number == ticket.number);
        let accepted = same.map(|t| Accepted {
            number: Version(t.number),
            author: t.author.clone(),
            digest: t.digest(),
        });
        let current: Vec<ObjectVersion> = ticket
            .objects
            .iter()
            .filter_map(|i| self.current_version(*i, *highest.get(i)?))
            .collect();
        let number = Version(ticket.number);
        let decision = decide(number, &ticket.digest(), accepted.as_ref(), &current);
        let free = same.is_none();
        let newer = ticket.objects.iter().all(|i| highest[i] < ticket.number);
        match &decision {
            Decision::Write => assert!(free && newer, "accepted {ticket:?} over {highest:?}"),
            Decision::AlreadyAccepted => assert_eq!(same, Some(ticket)),
            Decision::Reject(Conflict::Number(_)) => assert!(same.is_some_and(|t| t != ticket)),
            Decision::Reject(Conflict::Object(s)) => {
                assert!(free && !newer && s.version >= number, "rejected {ticket:?}");
            }
        }
        if decision == Decision::Write {
            self.accepted.push(ticket.clone());
        }
        decision
    }

    fn current_version(&self, index: usize, version: u64) -> Option<ObjectVersion> {
        let winner = self.accepted.iter().find(|t| t.number == version)?;
        Some(ObjectVersion {
            object: format!("zone/{index}"),
            version: Version(version),
            author: winner.author.clone(),
        })
    }
}
