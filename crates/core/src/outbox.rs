//! Collects the effects of an event while the reducer handles it.

use std::collections::VecDeque;

use crate::effect::{Counter, Effect, Field, Level, Record};
use crate::ids::RouterId;
use crate::message::Message;

/// Effects of the current event, and messages of the router to itself.
///
/// Roles address each other by router. A message to this router itself is not sent over the
/// network: it is queued and handled before [`Router::handle`](crate::Router::handle) returns.
#[derive(Debug)]
pub struct Outbox {
    me: RouterId,
    effects: Vec<Effect>,
    local: VecDeque<Message>,
}

impl Outbox {
    /// Creates an empty outbox of router `me`.
    #[must_use]
    pub fn new(me: RouterId) -> Self {
        Self {
            me,
            effects: Vec::new(),
            local: VecDeque::new(),
        }
    }

    /// Sends `message` to router `to`.
    pub fn send(&mut self, to: RouterId, message: Message) {
        if to == self.me {
            self.local.push_back(message);
        } else {
            self.effects.push(Effect::Send(to, message));
        }
    }

    /// Adds an effect.
    pub fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Increments a counter.
    pub fn count(&mut self, counter: Counter) {
        self.effects.push(Effect::Count(counter));
    }

    /// Adds a log record.
    pub fn log(&mut self, level: Level, event: &'static str, fields: &[(&'static str, &str)]) {
        let fields = fields
            .iter()
            .map(|(key, value)| Field {
                key,
                value: (*value).to_owned(),
            })
            .collect();
        self.effects.push(Effect::Log(Record {
            level,
            event,
            fields,
        }));
    }

    /// Removes and returns the next message of the router to itself.
    pub fn next_local(&mut self) -> Option<Message> {
        self.local.pop_front()
    }

    /// Removes and returns all effects.
    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}
