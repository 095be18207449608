//! Slots that a dispatcher has granted, indexed by grant and by entry.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::{Flow, GrantRef, Peer, RouterId, ServerId, Term};

/// A slot in use, or granted and on its way to an entry.
#[derive(Debug, Clone)]
pub(super) struct Slot {
    pub server: ServerId,
    /// Term under which this dispatcher granted the slot; `None` if a predecessor did.
    pub term: Option<Term>,
    pub entry: Peer,
    pub flow: Flow,
    /// Service charged for the slot so far, in cost units.
    pub charged: f64,
    /// Whether the entry has reported that it uses the slot.
    pub reported: bool,
    /// [`Demand::sent`](crate::message::Demand::sent) of the demand that the grant answered.
    pub demand_sent: Duration,
    /// When the slot is freed at the latest if its entry is lost.
    pub deadline: Instant,
    /// When the slot's entry was lost, if it is.
    pub orphaned_at: Option<Instant>,
}

/// Slots of one dispatcher.
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

    /// Returns the grants of `entry` whose slots match `filter`.
    pub fn of_entry(&self, entry: RouterId, filter: impl Fn(&Slot) -> bool) -> Vec<GrantRef> {
        let grants = self.by_entry.get(&entry).into_iter().flatten();
        grants
            .filter(|g| self.all.get(g).is_some_and(&filter))
            .copied()
            .collect()
    }

    /// Returns the grants whose slots match `filter`.
    pub fn select(&self, filter: impl Fn(&Slot) -> bool) -> Vec<GrantRef> {
        let slots = self.all.iter();
        slots.filter(|(_, s)| filter(s)).map(|(g, _)| *g).collect()
    }

    /// Returns the entries that hold slots.
    pub fn entries(&self) -> impl Iterator<Item = RouterId> + '_ {
        self.by_entry.keys().copied()
    }

    /// Marks the slots of `entry` as orphaned since `now`, unless they already are.
    pub fn mark_orphaned(&mut self, entry: RouterId, now: Instant) {
        for grant in self.by_entry.get(&entry).into_iter().flatten() {
            if let Some(slot) = self.all.get_mut(grant) {
                slot.orphaned_at = slot.orphaned_at.or(Some(now));
            }
        }
    }

    /// Clears the orphan mark of the slots of an entry incarnation that is present again.
    pub fn clear_orphaned(&mut self, entry: Peer) {
        for grant in self.by_entry.get(&entry.router).into_iter().flatten() {
            if let Some(slot) = self.all.get_mut(grant).filter(|s| s.entry == entry) {
                slot.orphaned_at = None;
            }
        }
    }
}
