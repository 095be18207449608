//! Requests that may have crashed their server: what is held against them, and when they are sent.

use std::time::{Duration, Instant};

use crate::event::{Outcome, RequestKey, Submission};
use crate::peers::Report;
use crate::placement;
use crate::suspects::{News, SuspectKey};

use super::{Attempt, Fleet, Request};

/// Retry delay while a request that is suspected already is in progress: time for its end and the
/// reports of it.
const LIMITED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the suspects that a request consists of.
fn suspects(submission: &Submission) -> impl Iterator<Item = SuspectKey> + Clone {
    std::iter::once(SuspectKey::Request(submission.fingerprint)).chain(parts(submission))
}

/// Returns the shared parts of a request's prompt.
fn parts(submission: &Submission) -> impl Iterator<Item = SuspectKey> + Clone {
    let prompt = submission.prompt.iter();
    prompt.flat_map(|p| p.shared_ids().map(SuspectKey::Part))
}

impl Fleet {
    /// Returns the time until the request may be sent again, if it is quarantined.
    pub(super) fn quarantine(&self, now: Instant, request: &Request) -> Option<Duration> {
        let submission = &request.submission;
        let parts = self.suspects.part_quarantine(now, &suspects(submission));
        parts.max(self.whole_quarantine(now, submission))
    }

    fn whole_quarantine(&self, now: Instant, submission: &Submission) -> Option<Duration> {
        let key = SuspectKey::Request(submission.fingerprint);
        if !self.suspects.is_limited(key) {
            return None;
        }
        let waits = !self.tries_first(submission.fingerprint);
        let quarantine = self.suspects.quarantine(now, key, waits);
        quarantine.or_else(|| {
            self.is_in_progress(submission)
                .then_some(LIMITED_RETRY_AFTER)
        })
    }

    /// Returns whether this router is the one that sends a request first after its quarantine.
    fn tries_first(&self, fingerprint: u64) -> bool {
        let weight = |router: u32| placement::weight(fingerprint, router);
        let own = weight(self.own_hash.0);
        let mut members = self.members.all().iter();
        members.all(|router| weight(*router) <= own)
    }

    /// Returns whether another request that is the same is at a server.
    ///
    /// One at a time shows whether it crashes servers. If it is sound, its answer clears it.
    fn is_in_progress(&self, submission: &Submission) -> bool {
        let mut others = self.requests.values();
        others.any(|other| {
            let is_same = other.submission.fingerprint == submission.fingerprint;
            is_same && other.submission.key != submission.key && other.attempt.is_some()
        })
    }

    /// Suspects a request and the shared parts of its prompt if the connection to its server was
    /// lost, and clears those of a complete answer.
    ///
    /// An error that the server reports neither accuses nor clears, as it need not come from a run.
    pub(super) fn judge_request(
        &mut self,
        now: Instant,
        key: RequestKey,
        attempt: &Attempt,
        outcome: Outcome,
    ) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let submission = &request.submission;
        match outcome {
            Outcome::Answered => self.suspects.record_answer(now, suspects(submission)),
            Outcome::Broken => {
                // Much of a prompt has been read by the time that a stream goes on.
                let has_parts = attempt.progress == 0;
                let number = if has_parts { usize::MAX } else { 1 };
                let keys = suspects(submission).take(number);
                let quarantined = self.suspects.record_failure(now, attempt.life, keys);
                self.log_suspected(key, attempt);
                self.log_quarantined(now, &quarantined, self.own_hash.0);
            }
            Outcome::Expired => self.judge_silence(now, submission.fingerprint, attempt),
            Outcome::Left if attempt.silent => {
                self.judge_silence(now, submission.fingerprint, attempt);
            }
            _ => {}
        }
    }

    /// Suspects a request that is given up at a silent server, if that leaves the list or starts again,
    /// and the server of having started again.
    ///
    /// A host may crash without closing its connections.
    pub(super) fn judge_silence(&mut self, now: Instant, fingerprint: u64, attempt: &Attempt) {
        let server = attempt.server_hash;
        let key = SuspectKey::Request(fingerprint);
        self.suspects.record_silence(now, server, attempt.life, key);
        self.connection_failed(now, attempt.server);
        if self.registry.get(attempt.server).is_none() {
            self.judge_departure(now, server);
        }
    }

    /// Suspects the requests that were given up at a server which has left the list or started again.
    pub(super) fn judge_departure(&mut self, now: Instant, server: u32) {
        let quarantined = self.suspects.server_gone(now, server);
        self.log_quarantined(now, &quarantined, self.own_hash.0);
    }

    /// Applies what another router's report says of suspects.
    pub(super) fn apply_suspects(&mut self, now: Instant, report: &Report) {
        let parts = report.cleared.iter().copied().map(SuspectKey::Part);
        let requests = report.cleared_requests.iter().copied();
        let news = News {
            suspects: report.suspects.clone(),
            cleared: parts.chain(requests.map(SuspectKey::Request)).collect(),
        };
        let quarantined = self.suspects.apply(now, &news);
        self.log_quarantined(now, &quarantined, report.sender);
    }

    /// Logs a request whose server may have crashed on it.
    fn log_suspected(&mut self, key: RequestKey, attempt: &Attempt) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let fingerprint = request.submission.fingerprint;
        let servers = self.suspects.servers(SuspectKey::Request(fingerprint));
        let server = self.registry.get(attempt.server);
        let server = server.map_or_else(
            || format!("{:08x}", attempt.server_hash),
            |server| server.id.clone(),
        );
        let detail = format!("call={} server={server} servers={servers}", key.0);
        self.log("request_suspected", &format!("{fingerprint:x}"), detail);
    }

    fn log_quarantined(&mut self, now: Instant, keys: &[SuspectKey], router: u32) {
        for key in keys {
            let event = match key {
                SuspectKey::Part(_) => "part_quarantined",
                SuspectKey::Request(_) => "request_quarantined",
            };
            let left = self.suspects.quarantine(now, *key, false);
            let detail = format!(
                "reported_by={router:08x} servers={} left_ms={} proven={}",
                self.suspects.servers(*key),
                left.unwrap_or_default().as_millis(),
                self.suspects.is_proven(*key),
            );
            self.log(event, &format!("{:x}", key.hash()), detail);
        }
    }
}
