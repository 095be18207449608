//! The slots that a dispatcher has given out, by grant and by entry.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::{Flow, GrantRef, Peer, RouterId, ServerId, Term};

/// A slot in use or on its way to an entry.
#[derive(Debug, Clone)]
pub(super) struct Slot {
    pub server: ServerId,
    /// The take-over under which this dispatcher granted it, if it did.
    pub term: Option<Term>,
    pub entry: Peer,
    pub flow: Flow,
    /// Service charged for it so far, in cost units.
    pub charged: f64,
    /// Whether the entry has reported that it uses the slot.
    pub seen: bool,
    /// `sent` of the demand that the grant answered.
    pub echo: Duration,
    /// When the slot is free whatever is heard of it, should its entry be lost.
    pub deadline: Instant,
    /// Since when its entry is lost.
    pub orphan: Option<Instant>,
}

/// All slots of one dispatcher.
#[derive(Debug, Default)]
pub(super) struct Slots {
    all: BTreeMap<GrantRef, Slot>,
    by_entry: BTreeMap<RouterId, BTreeSet<GrantRef>>,
}

impl Slots {
    pub fn insert(&mut self, grant: GrantRef, slot: Slot) {
        self.by_entry
            .entry(slot.entry.router)
            .or_default()
            .insert(grant);
        self.all.insert(grant, slot);
    }

    pub fn get_mut(&mut self, grant: GrantRef) -> Option<&mut Slot> {
        self.all.get_mut(&grant)
    }

    pub fn contains(&self, grant: GrantRef) -> bool {
        self.all.contains_key(&grant)
    }

    pub fn remove(&mut self, grant: GrantRef) -> Option<Slot> {
        let slot = self.all.remove(&grant)?;
        if let Some(grants) = self.by_entry.get_mut(&slot.entry.router) {
            grants.remove(&grant);
            if grants.is_empty() {
                self.by_entry.remove(&slot.entry.router);
            }
        }
        Some(slot)
    }

    /// Returns the grants of `entry` whose slots fulfil `which`.
    pub fn of_entry(&self, entry: RouterId, which: impl Fn(&Slot) -> bool) -> Vec<GrantRef> {
        let grants = self.by_entry.get(&entry).into_iter().flatten();
        grants
            .filter(|g| self.all.get(g).is_some_and(&which))
            .copied()
            .collect()
    }

    /// Returns the grants whose slots fulfil `which`.
    pub fn select(&self, which: impl Fn(&Slot) -> bool) -> Vec<GrantRef> {
        let slots = self.all.iter();
        slots.filter(|(_, s)| which(s)).map(|(g, _)| *g).collect()
    }

    /// Returns the entries that hold slots.
    pub fn entries(&self) -> impl Iterator<Item = RouterId> + '_ {
        self.by_entry.keys().copied()
    }

    /// Marks the slots of `entry` as lost since `now`.
    pub fn set_lost(&mut self, entry: RouterId, now: Instant) {
        for grant in self.by_entry.get(&entry).into_iter().flatten() {
            if let Some(slot) = self.all.get_mut(grant) {
                slot.orphan = slot.orphan.or(Some(now));
            }
        }
    }

    /// Marks the slots of a run that came back as not lost.
    pub fn set_found(&mut self, entry: Peer) {
        for grant in self.by_entry.get(&entry.router).into_iter().flatten() {
            if let Some(slot) = self.all.get_mut(grant).filter(|s| s.entry == entry) {
                slot.orphan = None;
            }
        }
    }
}
