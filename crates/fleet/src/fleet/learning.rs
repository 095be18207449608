//! Use of the learned models and paces of servers, and what responses teach.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::engine::Server;
use crate::event::{Outcome, RequestKey};
use crate::lateness::{Lateness, MAX_LEARNING_LAG, MAX_SILENCE_LAG};
use crate::model::{Learn, LoadStatus};
use crate::peers::{Learned, Report};
use crate::registry::ServerKey;

use super::{Attempt, Fleet};

/// Number of learned models in a report that has some, so that it stays within one datagram.
const REPORTED_MODELS: usize = 12;
/// Number of full reports between two with learned models.
const MODEL_REPORTS: u64 = 10;
/// Number of reports with learned models after a router has joined, which knows none.
const JOIN_REPORTS: u32 = 2;

/// Services whose servers are modelled, and the progress of reporting the models.
#[derive(Debug, Default)]
pub(super) struct Learning {
    /// Services of which a server has reported its momentary slowdown.
    services: BTreeSet<String>,
    pub(super) lateness: Lateness,
    /// Position in the server list of the next model to report.
    next: usize,
    /// Reports with models that are due as a router has joined.
    join_reports: u32,
}

/// Returns the low bits of a server's start time.
#[allow(clippy::cast_possible_truncation)]
fn life(server: &Server) -> u32 {
    server.backend.born as u32
}

impl Fleet {
    /// Returns whether the learned models and paces of a service's servers are used.
    #[must_use]
    pub fn learns(&self, service: &str) -> bool {
        match self.params.learn {
            Learn::On => true,
            Learn::Off => false,
            Learn::Auto => self.learning.services.contains(service),
        }
    }

    fn learns_of(&self, server: ServerKey) -> bool {
        let server = self.registry.get(server);
        server.is_some_and(|s| self.learns(&s.backend.service))
    }

    /// Opens the gate of the service of a server, given the hash of its id, that reports its slowdown.
    fn open_gate(&mut self, server: u32) {
        let Some(server) = self.registry.by_hash_mut(server) else {
            return;
        };
        if self.learning.services.contains(&server.backend.service) {
            return;
        }
        let (service, id) = (server.backend.service.clone(), server.id.clone());
        let detail = format!("service={service} learn={:?}", self.params.learn);
        self.log("speed_learned", &id, detail);
        self.learning.services.insert(service);
    }

    /// Records the load that a server's response reports.
    pub(super) fn server_status(&mut self, now: Instant, key: ServerKey, status: LoadStatus) {
        let Some(server) = self.registry.get_mut(key) else {
            return;
        };
        server.model.record_status(now, status);
        if status.slowdown.is_some() {
            let hash = server.hash;
            self.open_gate(hash);
        }
    }

    /// Logs the first load of a server that can't be read.
    pub(super) fn server_status_rejected(&mut self, key: ServerKey, value: &str) {
        let Some(server) = self.registry.get_mut(key) else {
            return;
        };
        if server.model.reject_status() {
            let id = server.id.clone();
            self.log("load_rejected", &id, format!("value={value}"));
        }
    }

    /// Returns whether this router's own lag may be the cause of a server's silence.
    pub(super) fn explains_silence(&self, now: Instant) -> bool {
        self.learning.lateness.recent(now) > MAX_SILENCE_LAG
    }

    /// Returns whether this router sees responses about when they arrive.
    fn is_punctual(&self, now: Instant) -> bool {
        self.learning.lateness.recent(now) <= MAX_LEARNING_LAG
    }

    /// Learns from the first byte of a stream; `tokens` were prefilled until then, `own` of them
    /// those of the request.
    pub(super) fn learn_first_byte(
        &mut self,
        now: Instant,
        attempt: &FirstByte,
        tokens: u64,
        own: u64,
    ) {
        if !self.learns_of(attempt.server) || !self.is_punctual(now) {
            return;
        }
        let nominal = self.params.nominal();
        let took = now.saturating_duration_since(attempt.sent_at);
        if let Some(server) = self.registry.get_mut(attempt.server) {
            server
                .model
                .observe_prefill(now, tokens, own, took, &nominal);
        }
        self.judge_pace(now, attempt.server, attempt.expected, took);
    }

    /// Learns from further tokens of a stream.
    pub(super) fn learn_tokens(
        &mut self,
        now: Instant,
        key: ServerKey,
        gap: Duration,
        tokens: u32,
    ) {
        if !self.learns_of(key) || !self.is_punctual(now) {
            return;
        }
        let nominal = self.params.nominal();
        if let Some(server) = self.registry.get_mut(key) {
            let running = server.load().running;
            let rate = server.model.prefill_rate(now, &nominal).value;
            let fraction = server.prefill_fraction(now, rate);
            let model = &mut server.model;
            model.observe_tokens(now, gap, tokens, running, fraction, &nominal);
        }
    }

    /// Learns from the complete successful response to a plain request.
    pub(super) fn served(&mut self, now: Instant, key: RequestKey) {
        let request = self.requests.get(&key);
        let request = request.filter(|r| r.submission.prompt.is_none());
        let Some(attempt) = request.and_then(|r| r.attempt.as_ref()) else {
            return;
        };
        let (server, expected) = (attempt.server, attempt.expected);
        let took = now.saturating_duration_since(attempt.sent_at);
        if attempt.silent || !self.learns_of(server) || !self.is_punctual(now) {
            return;
        }
        if let Some(server) = self.registry.get_mut(server) {
            let (running, slots) = (server.load().running, server.backend.slots);
            server.model.observe_service(now, took, running, slots);
        }
        self.judge_pace(now, server, expected, took);
    }

    fn judge_pace(&mut self, now: Instant, key: ServerKey, expected: Duration, took: Duration) {
        let Some(server) = self.registry.get_mut(key) else {
            return;
        };
        let cold = server.cold_until;
        let pace = server.pace.as_mut();
        if pace.is_some_and(|p| p.record_first_byte(now, cold, expected, took)) {
            let (expected, took) = (expected.as_millis(), took.as_millis());
            let detail = format!("expected_ms={expected} first_byte_ms={took}");
            self.log_cut(now, key, &detail);
        }
    }

    /// Cuts the pace of a server if the outcome of an attempt says that it can't keep up.
    pub(super) fn pace_outcome(&mut self, now: Instant, key: ServerKey, outcome: Outcome) {
        // A failure says nothing of the server's load, and an unreachable server may be this router's
        // own fault.
        let is_sign = matches!(
            outcome,
            Outcome::NotRun | Outcome::Broken | Outcome::Expired
        );
        if !is_sign || !self.learns_of(key) {
            return;
        }
        let Some(server) = self.registry.get_mut(key) else {
            return;
        };
        let cold = server.cold_until;
        if server.pace.as_mut().is_some_and(|p| p.cut(now, cold)) {
            self.log_cut(now, key, &format!("outcome={outcome:?}"));
        }
    }

    fn log_cut(&mut self, now: Instant, key: ServerKey, cause: &str) {
        let Some(server) = self.registry.get(key) else {
            return;
        };
        let (id, level) = (server.id.clone(), server.pace_level(now));
        let level = level.unwrap_or(f64::INFINITY);
        self.log("pace_cut", &id, format!("level={level:.2} {cause}"));
    }

    /// Returns the pace of a server that it limits; none if it does not.
    pub(super) fn pace_of(&self, now: Instant, server: &Server) -> Option<f64> {
        let level = server.pace_level(now)?;
        self.learns(&server.backend.service).then_some(level)
    }

    /// Drops the paces that no longer limit a server.
    pub(super) fn drop_full_paces(&mut self, now: Instant) {
        for server in self.registry.all_mut() {
            let cold = server.cold_until;
            if server.pace.as_ref().is_some_and(|p| p.is_full(now, cold)) {
                server.pace = None;
            }
        }
    }

    /// Returns the learned figures for a full report.
    pub(super) fn learned_notices(&mut self, now: Instant) -> Option<Box<Learned>> {
        let servers = self.registry.all();
        let servers: Vec<&Server> = servers
            .filter(|s| self.learns(&s.backend.service))
            .collect();
        if servers.is_empty() {
            return None;
        }
        let slowdowns = servers
            .iter()
            .filter_map(|s| s.model.slowdown_notice(now, s.hash));
        let paces = servers.iter().filter_map(|s| {
            let pace = s.pace.as_ref()?;
            pace.notice(now, s.hash, life(s))
        });
        let (slowdowns, paces) = (slowdowns.collect(), paces.collect());
        let is_due = self.learning.join_reports > 0 || self.sequence.is_multiple_of(MODEL_REPORTS);
        let mut models = Vec::new();
        if is_due {
            // Routers begin at different servers, so that together they tell all of them at once.
            let offset = self.learning.next + self.own_hash.0 as usize % servers.len();
            let in_turn = servers.iter().cycle().skip(offset % servers.len());
            let in_turn = in_turn.take(servers.len());
            let learned = in_turn.filter_map(|s| s.model.learned(now, s.hash, life(s)));
            models = learned.take(REPORTED_MODELS).collect();
            self.learning.next = (self.learning.next + REPORTED_MODELS) % servers.len();
            self.learning.join_reports = self.learning.join_reports.saturating_sub(1);
        }
        let learned = Learned {
            models,
            slowdowns,
            paces,
        };
        (learned != Learned::default()).then(|| Box::new(learned))
    }

    /// Takes up the learned figures of a report; `joined` says whether its sender just started.
    pub(super) fn apply_learned(&mut self, now: Instant, report: &Report, joined: bool) {
        if joined {
            self.learning.join_reports = JOIN_REPORTS;
        }
        if self.params.learn == Learn::Off {
            return;
        }
        let Some(learned) = &report.learned else {
            return;
        };
        for notice in &learned.slowdowns {
            let age = Duration::from_millis(u64::from(notice.age));
            let at = now.checked_sub(age);
            let server = self.registry.by_hash_mut(notice.server);
            if let Some((at, server)) = at.zip(server) {
                server.model.merge_slowdown(at, notice.percent);
            }
        }
        let nominal = self.params.nominal();
        for speed in &learned.models {
            let server = self.registry.by_hash_mut(speed.server);
            let Some(server) = server.filter(|s| life(s) == speed.life) else {
                continue;
            };
            server.model.merge(now, speed, &nominal);
            self.open_gate(speed.server);
        }
        for notice in &learned.paces {
            let server = self.registry.by_hash_mut(notice.server);
            let server = server.filter(|s| life(s) == notice.life);
            if let Some(server) = server {
                let cold = server.cold_until;
                if let Some(pace) = &mut server.pace {
                    pace.merge(now, cold, notice);
                }
            }
        }
    }
}

/// Attempt whose first byte arrived.
pub(super) struct FirstByte {
    server: ServerKey,
    sent_at: Instant,
    expected: Duration,
}

impl From<&Attempt> for FirstByte {
    fn from(attempt: &Attempt) -> Self {
        Self {
            server: attempt.server,
            sent_at: attempt.sent_at,
            expected: attempt.expected,
        }
    }
}
