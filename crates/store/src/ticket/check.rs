//! Parses and validates ticket files.
//!
//! Every problem names the path inside the file, the value found there and the allowed values, so
//! that operators can fix the file without reading the source.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use hibiscusrail_core::{ServerId, ServiceId, WorkspaceId, ZoneId};
use hibiscusrail_macros::record;
use serde::Serialize;

use super::generated::{ServerState, ServiceState, Ticket, WorkspaceState};

/// Maximum size of a ticket file in bytes.
pub const MAX_TICKET_BYTES: usize = 1 << 20;
/// Maximum number of objects that one ticket may change.
pub const MAX_OBJECTS: usize = 500;
/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum length of a note in bytes.
pub const MAX_NOTE_BYTES: usize = 1_024;
/// Highest request limit of a server or a queue.
const MAX_COUNT: u32 = 1_000_000;
/// Maximum number of characters of a value that a problem quotes.
const MAX_QUOTED_CHARS: usize = 80;

/// One error in a ticket file.
#[record]
#[derive(Serialize)]
pub struct Problem {
    /// Path inside the file, like `servers[2].address`.
    pub path: String,
    /// Value found there.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.path, self.value, self.allowed)
    }
}

/// Parses a ticket file without validating its values.
///
/// # Errors
///
/// Returns the first place where the text does not match the schema of a ticket.
pub fn parse(text: &[u8]) -> Result<Ticket, Problem> {
    if text.len() > MAX_TICKET_BYTES {
        return Err(Problem {
            path: ".".to_owned(),
            value: format!("{} bytes", text.len()),
            allowed: format!("at most {MAX_TICKET_BYTES} bytes"),
        });
    }
    let mut json = serde_json::Deserializer::from_slice(text);
    let ticket = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let path = error.path().to_string();
        Problem {
            value: value_at(text, &path),
            path,
            allowed: error.inner().to_string(),
        }
    })?;
    json.end().map_err(|error| Problem {
        path: ".".to_owned(),
        value: "text after the ticket".to_owned(),
        allowed: error.to_string(),
    })?;
    Ok(ticket)
}

/// Returns the start of the value at a path like `servers[2].address`.
fn value_at(text: &[u8], path: &str) -> String {
    let pointer: String = path
        .split(['.', '[', ']'])
        .filter(|part| !part.is_empty())
        .map(|part| format!("/{part}"))
        .collect();
    let value = serde_json::from_slice::<serde_json::Value>(text).ok();
    let found = value.as_ref().and_then(|v| v.pointer(&pointer));
    quote(&found.map_or_else(|| "?".to_owned(), ToString::to_string))
}

fn quote(value: &str) -> String {
    value.chars().take(MAX_QUOTED_CHARS).collect()
}

/// Validates the parts of a ticket and collects the problems.
#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
    /// Names of the objects checked so far, by kind and identifier.
    seen: BTreeMap<(&'static str, u32), String>,
}

/// Validates a parsed ticket and returns all problems found.
#[must_use]
pub fn check(ticket: &Ticket) -> Vec<Problem> {
    let mut checker = Checker::default();
    checker.header(ticket);
    for (i, w) in ticket.workspaces.iter().enumerate() {
        checker.workspace(&format!("workspaces[{i}]"), w);
    }
    for (i, s) in ticket.services.iter().enumerate() {
        checker.service(&format!("services[{i}]"), s);
    }
    for (i, s) in ticket.servers.iter().enumerate() {
        checker.server(&format!("servers[{i}]"), s);
    }
    for (i, z) in ticket.zones.iter().enumerate() {
        let path = format!("zones[{i}].name");
        checker.object(&path, "zone", &z.name, ZoneId::new(&z.name).0);
    }
    for (i, r) in ticket.removed.iter().enumerate() {
        let path = format!("removed[{i}].name");
        let kind: crate::object::ObjectKind = r.kind.into();
        checker.object(&path, kind.name(), &r.name, WorkspaceId::new(&r.name).0);
    }
    checker.problems
}

impl Checker {
    /// Records a problem unless `valid` is true.
    fn expect(&mut self, valid: bool, path: &str, value: &impl ToString, allowed: &str) {
        if !valid {
            self.problems.push(Problem {
                path: path.to_owned(),
                value: quote(&value.to_string()),
                allowed: allowed.to_owned(),
            });
        }
    }

    fn header(&mut self, ticket: &Ticket) {
        self.expect(ticket.number > 0, "number", &ticket.number, "at least 1");
        self.name("author", &ticket.author);
        let note = ticket.note.len();
        self.expect(
            note <= MAX_NOTE_BYTES,
            "note",
            &format!("{note} bytes"),
            "at most 1024 bytes",
        );
        let objects = ticket.workspaces.len()
            + ticket.services.len()
            + ticket.servers.len()
            + ticket.zones.len()
            + ticket.removed.len();
        let fits = (1..=MAX_OBJECTS).contains(&objects);
        self.expect(
            fits,
            ".",
            &format!("{objects} objects"),
            "from 1 to 500 objects",
        );
    }

    fn name(&mut self, path: &str, name: &str) {
        let valid = (1..=MAX_NAME_BYTES).contains(&name.len())
            && name
                .bytes()
                .all(|b| b.is_ascii_alphanumeric() || b"-_.@".contains(&b));
        self.expect(
            valid,
            path,
            &format!("{name:?}"),
            "1 to 64 of the characters a-z, A-Z, 0-9, '-', '_', '.', '@'",
        );
    }

    /// Checks an object's name and that its identifier is unique within the ticket.
    fn object(&mut self, path: &str, kind: &'static str, name: &str, id: u32) {
        self.name(path, name);
        if let Some(other) = self.seen.insert((kind, id), name.to_owned()) {
            let allowed = format!("each object once; \"{other}\" has the same identifier {id:08x}");
            self.expect(false, path, &format!("{name:?}"), &allowed);
        }
    }

    fn workspace(&mut self, path: &str, w: &WorkspaceState) {
        let id = WorkspaceId::new(&w.name).0;
        self.object(&format!("{path}.name"), "workspace", &w.name, id);
        let share = w.share.is_finite() && w.share > 0.0;
        self.expect(
            share,
            &format!("{path}.share"),
            &w.share,
            "a number above 0",
        );
        let hash = hex::decode(&w.key_hash).is_ok_and(|h| h.len() == 32);
        let allowed = "64 hexadecimal digits, the SHA-256 of the key";
        self.expect(hash, &format!("{path}.key_hash"), &w.key_hash, allowed);
        let queue = w.queue_limit <= MAX_COUNT;
        self.expect(
            queue,
            &format!("{path}.queue_limit"),
            &w.queue_limit,
            "at most 1000000",
        );
        let retry = (0.0..=1.0).contains(&w.retry_fraction);
        self.expect(
            retry,
            &format!("{path}.retry_fraction"),
            &w.retry_fraction,
            "from 0 to 1",
        );
    }

    fn service(&mut self, path: &str, s: &ServiceState) {
        let id = ServiceId::new(&s.name).0;
        self.object(&format!("{path}.name"), "service", &s.name, id);
        let weights = [
            ("prompt_weight", s.prompt_weight),
            ("output_weight", s.output_weight),
        ];
        for (key, weight) in weights {
            let valid = weight.is_finite() && weight >= 0.0;
            self.expect(
                valid,
                &format!("{path}.{key}"),
                &weight,
                "a number of at least 0",
            );
        }
    }

    fn server(&mut self, path: &str, s: &ServerState) {
        let id = ServerId::new(&s.name).0;
        self.object(&format!("{path}.name"), "server", &s.name, id);
        self.name(&format!("{path}.service"), &s.service);
        self.name(&format!("{path}.zone"), &s.zone);
        let address = s.address.parse::<SocketAddr>().is_ok();
        self.expect(
            address,
            &format!("{path}.address"),
            &s.address,
            "an IP address and a port, such as 10.0.0.1:8000 or [fd00::1]:8000",
        );
        let cold = (1..=MAX_COUNT).contains(&s.cold_limit);
        self.expect(
            cold,
            &format!("{path}.cold_limit"),
            &s.cold_limit,
            "from 1 to 1000000",
        );
        let max = (s.cold_limit..=MAX_COUNT).contains(&s.max_limit);
        let allowed = "from cold_limit to 1000000";
        self.expect(max, &format!("{path}.max_limit"), &s.max_limit, allowed);
    }
}
