//! A budget for the memory that a process holds for its clients and servers.
//!
//! Bodies and parts of streams above [`FREE_BYTES`] are charged to an [`Account`] with the capacity
//! that is allocated for them, and smaller bodies while their rest does not arrive. When the budget
//! is short, [`decide`] says which are evicted: first the bodies that no longer arrive and the
//! responses that their clients do not read, then the request that asks.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Waker};
use std::time::{Duration, Instant};

use bytes::Bytes;
use snafu::Snafu;

/// Size up to which a body is not charged once it is complete, so that small bodies which arrive at
/// once are always accepted.
pub const FREE_BYTES: usize = 16 << 10;
/// Bytes charged with a smaller body whose rest does not arrive, for the read buffer of its
/// connection.
pub const SMALL_BUFFER_BYTES: usize = 32 << 10;
/// Bytes charged with each body or event above [`FREE_BYTES`] for the buffers of its connection: a
/// parser that receives large bodies keeps one of 32 KiB while another one is in use.
pub const BUFFER_BYTES: usize = 64 << 10;
/// Divisor of an account's bytes that gives the bytes which count as progress.
const STEP_DIVISOR: usize = 256;
/// Least number of bytes that count as progress.
const MIN_STEP_BYTES: usize = 4 << 10;
/// Time without progress after which a body may be evicted for another one while memory is short.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Time without progress after which the connection of a client that does not read its response may
/// be closed while memory is short.
const UNREAD_TIME: Duration = Duration::from_secs(3);

/// The memory is needed for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("memory is short"))]
pub struct MemoryShort;

/// A body that is arriving or a response that is not read, as [`decide`] sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Identifies the account.
    pub id: u64,
    /// Bytes charged to it.
    pub held: usize,
    /// Time since it last made progress.
    pub idle: Duration,
}

/// Which accounts are evicted while memory is short.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// These accounts, whose bytes suffice.
    Evict(Vec<u64>),
    /// The request that asks.
    Refuse,
}

/// Decides which accounts are evicted so that `missing` more bytes become free.
///
/// Stalled ones are, those first that hold most for the longest time. If they are not enough, none
/// of them is given up.
#[must_use]
pub fn decide(mut candidates: Vec<Candidate>, missing: usize) -> Decision {
    candidates.retain(|c| c.idle >= STALL_TIME);
    candidates.sort_by_key(|c| std::cmp::Reverse(c.held as u128 * c.idle.as_millis()));
    let mut freed = 0;
    let mut evicted = Vec::new();
    for candidate in candidates {
        if freed >= missing {
            break;
        }
        freed += candidate.held;
        evicted.push(candidate.id);
    }
    if freed >= missing {
        Decision::Evict(evicted)
    } else {
        Decision::Refuse
    }
}

/// Whether the peer of a connection reads what is written to it.
#[derive(Debug, Default)]
pub struct WriteState(Mutex<Writing>);

#[derive(Debug, Default)]
struct Writing {
    /// Since when no write has made progress; none if the last one did.
    blocked_at: Option<Instant>,
    evicted: bool,
    waker: Option<Waker>,
}

impl WriteState {
    /// Records that a write has to wait for the peer; returns whether the connection is to be closed,
    /// otherwise the task is woken when it is.
    pub fn poll_blocked(&self, now: Instant, cx: &Context<'_>) -> bool {
        let mut state = self.lock();
        state.blocked_at.get_or_insert(now);
        if !state
            .waker
            .as_ref()
            .is_some_and(|w| w.will_wake(cx.waker()))
        {
            state.waker = Some(cx.waker().clone());
        }
        state.evicted
    }

    /// Records that a write made progress.
    pub fn advance(&self) {
        self.lock().blocked_at = None;
    }

    /// Returns for how long no write has made progress.
    fn blocked_for(&self, now: Instant) -> Duration {
        let blocked_at = self.lock().blocked_at;
        blocked_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Has the connection closed.
    fn evict(&self) {
        let mut state = self.lock();
        state.evicted = true;
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Writing> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug)]
struct Entry {
    held: usize,
    /// When it last made progress.
    moved_at: Instant,
    /// Bytes received since.
    moved: usize,
    /// Whether its body is arriving, so that it may be given up without effect.
    receiving: bool,
    /// Whether the client reads, if this is a response.
    reader: Option<Arc<WriteState>>,
    evicted: bool,
    waker: Option<Waker>,
}

impl Entry {
    /// Returns for how long the entry has made no progress; none if it is not to be evicted.
    fn stall(&self, now: Instant) -> Option<Duration> {
        match &self.reader {
            _ if self.evicted => None,
            _ if self.receiving => Some(now.saturating_duration_since(self.moved_at)),
            Some(reader) => Some(reader.blocked_for(now)).filter(|t| *t >= UNREAD_TIME),
            None => None,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    /// Bytes of all accounts but the evicted ones.
    held: usize,
    evictions: u64,
    next_id: u64,
    entries: BTreeMap<u64, Entry>,
}

/// Limits the bytes charged to all accounts of a process.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    state: Mutex<State>,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            state: Mutex::default(),
        }
    }

    /// Returns the greatest number of bytes that may be charged.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the bytes charged to all accounts.
    #[must_use]
    pub fn held(&self) -> usize {
        self.lock().held
    }

    /// Returns the number of evicted bodies.
    #[must_use]
    pub fn evictions(&self) -> u64 {
        self.lock().evictions
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The bytes held for one body or stream; they are released when it is dropped.
#[derive(Debug)]
pub struct Account {
    budget: Arc<Budget>,
    /// None until something is charged.
    id: Option<u64>,
    receiving: bool,
    reader: Option<Arc<WriteState>>,
}

impl Account {
    /// Creates the account of a body that a client sends; it may be evicted until it is complete.
    #[must_use]
    pub fn for_request(budget: &Arc<Budget>) -> Self {
        Self {
            budget: Arc::clone(budget),
            id: None,
            receiving: true,
            reader: None,
        }
    }

    /// Creates the account of a response.
    #[must_use]
    pub fn for_response(budget: &Arc<Budget>) -> Self {
        Self {
            budget: Arc::clone(budget),
            id: None,
            receiving: false,
            reader: None,
        }
    }

    /// Sets the connection of the client that reads the response; it may be closed while memory is
    /// short if the client does not read.
    #[must_use]
    pub fn with_reader(mut self, reader: Option<Arc<WriteState>>) -> Self {
        self.reader = reader;
        self
    }

    /// Sets the number of bytes held.
    ///
    /// # Errors
    ///
    /// Fails if memory is short; the account then stays as it is.
    pub fn resize(&mut self, now: Instant, bytes: usize) -> Result<(), MemoryShort> {
        if self.id.is_none() && bytes == 0 {
            return Ok(());
        }
        let state = &mut *self.budget.lock();
        let own = self.id.and_then(|id| state.entries.get(&id));
        if own.is_some_and(|e| e.evicted) {
            return Err(MemoryShort);
        }
        let before = own.map_or(0, |e| e.held);
        let over = (state.held - before + bytes).saturating_sub(self.budget.limit);
        if bytes > before && over > 0 {
            evict(state, now, over, self.id)?;
        }
        state.held = state.held - before + bytes;
        let id = *self.id.get_or_insert_with(|| {
            state.next_id += 1;
            state.next_id
        });
        let entry = state.entries.entry(id).or_insert_with(|| Entry {
            held: 0,
            moved_at: now,
            moved: 0,
            receiving: self.receiving,
            reader: self.reader.clone(),
            evicted: false,
            waker: None,
        });
        entry.held = bytes;
        Ok(())
    }

    /// Records that bytes of the body arrived.
    pub fn advance(&self, now: Instant, bytes: usize) {
        let Some(id) = self.id else { return };
        if let Some(entry) = self.budget.lock().entries.get_mut(&id) {
            entry.moved += bytes;
            if entry.moved >= (entry.held / STEP_DIVISOR).max(MIN_STEP_BYTES) {
                entry.moved = 0;
                entry.moved_at = now;
            }
        }
    }

    /// Returns whether the account was evicted.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        let state = self.budget.lock();
        let entry = self.id.and_then(|id| state.entries.get(&id));
        entry.is_some_and(|e| e.evicted)
    }

    /// Returns whether the account was evicted; otherwise the task is woken when it is.
    pub fn poll_evicted(&self, cx: &Context<'_>) -> bool {
        let Some(id) = self.id else { return false };
        let mut state = self.budget.lock();
        let Some(entry) = state.entries.get_mut(&id) else {
            return false;
        };
        if !entry
            .waker
            .as_ref()
            .is_some_and(|w| w.will_wake(cx.waker()))
        {
            entry.waker = Some(cx.waker().clone());
        }
        entry.evicted
    }

    /// Returns the bytes of a complete body; the account lasts as long as they do.
    #[must_use]
    pub fn into_bytes(self, bytes: impl Into<Bytes>) -> Bytes {
        let bytes = bytes.into();
        let Some(id) = self.id else {
            return bytes;
        };
        if let Some(entry) = self.budget.lock().entries.get_mut(&id) {
            entry.receiving = false;
        }
        let account = self;
        Bytes::from_owner(Charged { bytes, account })
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        let Some(id) = self.id else { return };
        let mut state = self.budget.lock();
        if let Some(entry) = state.entries.remove(&id)
            && !entry.evicted
        {
            state.held -= entry.held;
        }
    }
}

/// Frees at least `missing` bytes by evicting accounts other than `asking`.
fn evict(
    state: &mut State,
    now: Instant,
    missing: usize,
    asking: Option<u64>,
) -> Result<(), MemoryShort> {
    let candidates = state
        .entries
        .iter()
        .filter(|(id, _)| Some(**id) != asking)
        .filter_map(|(id, e)| {
            Some(Candidate {
                id: *id,
                held: e.held,
                idle: e.stall(now)?,
            })
        })
        .collect();
    let Decision::Evict(ids) = decide(candidates, missing) else {
        return Err(MemoryShort);
    };
    for id in ids {
        let Some(entry) = state.entries.get_mut(&id) else {
            continue;
        };
        entry.evicted = true;
        state.held -= entry.held;
        state.evictions += 1;
        if let Some(waker) = entry.waker.take() {
            waker.wake();
        }
        if let Some(reader) = &entry.reader {
            reader.evict();
        }
    }
    Ok(())
}

/// Bytes that are charged until they are dropped.
struct Charged {
    bytes: Bytes,
    /// Releases the charge.
    #[allow(dead_code, reason = "held for its drop")]
    account: Account,
}

impl AsRef<[u8]> for Charged {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
