//! Stand-in for the platform's store: rows, their feed and transactions, as PROTOCOL.md tells them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Time for which changes are kept.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Change {
    at: Instant,
    version: u64,
    table: String,
    key: String,
    /// None for a row that was removed.
    value: Option<String>,
}

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<(String, String), (String, u64)>,
    changes: Vec<Change>,
    /// Oldest version from which all changes are kept.
    kept_from: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            address: listener.local_addr().expect("an address"),
        });
        let serving = Arc::clone(&store);
        http::serve(
            listener,
            Arc::new(move |request, stream| serving.answer(request, stream)),
        );
        store
    }

    /// Writes rows, or removes those without a value, in one transaction.
    pub fn write(&self, rows: &[(&str, &str, Option<&str>)]) -> u64 {
        let mut state = self.state.lock().expect("no panic");
        let now = Instant::now();
        state.version += 1;
        let version = state.version;
        for (table, key, value) in rows {
            let at = ((*table).to_owned(), (*key).to_owned());
            let value = value.map(|v| base64(v.as_bytes()));
            match &value {
                Some(value) => {
                    state.rows.insert(at, (value.clone(), version));
                }
                None => {
                    state.rows.remove(&at);
                }
            }
            state.changes.push(Change {
                at: now,
                version,
                table: (*table).to_owned(),
                key: (*key).to_owned(),
                value,
            });
        }
        let old = state.changes.partition_point(|c| now - c.at > HISTORY);
        if old > 0 {
            state.kept_from = state.changes[old - 1].version;
            state.changes.drain(..old);
        }
        self.changed.notify_all();
        version
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> std::io::Result<bool> {
        thread::sleep(ANSWER_TIME);
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let (status, body) = match path {
            "/api/rows-get" => ("200 OK", self.list(query)),
            "/api/rows-feed" => match self.feed(query) {
                Some(body) => ("200 OK", body),
                None => ("410 Gone", "{}".to_owned()),
            },
            "/api/rows-tx" => ("200 OK", self.transact(&request.body)),
            _ => ("404 Not Found", "{}".to_owned()),
        };
        let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
        http::respond(stream, status, &headers, body.as_bytes())?;
        Ok(true)
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn list(&self, query: &str) -> String {
        let table = parameter(query, "table");
        let state = self.state.lock().expect("no panic");
        let rows = state.rows.iter().filter(|((t, _), _)| t == table);
        let rows: Vec<String> = rows
            .map(|((_, key), (value, version))| row(table, key, Some(value), *version))
            .collect();
        self.body(&rows, state.version)
    }

    fn feed(&self, query: &str) -> Option<String> {
        let table = parameter(query, "table");
        let from: u64 = parameter(query, "start-revision").parse().unwrap_or(0);
        let wait = parameter(query, "wait-ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().expect("no panic");
        loop {
            if from < state.kept_from {
                return None;
            }
            let changes = state.changes.iter();
            let rows: Vec<String> = changes
                .filter(|c| c.table == table && c.version > from)
                .map(|c| row(table, &c.key, c.value.as_ref(), c.version))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return Some(self.body(&rows, state.version));
            }
            state = self.changed.wait_timeout(state, left).expect("no panic").0;
        }
    }

    fn body(&self, rows: &[String], version: u64) -> String {
        let rows = rows.join(",");
        let now = self.now_ms();
        format!(r#"{{"rows":[{rows}],"has-more":false,"ver":{version},"now-ms":{now}}}"#)
    }

    /// Applies a transaction of the system, which uses no conditions.
    fn transact(&self, body: &[u8]) -> String {
        let text = String::from_utf8_lossy(body);
        let mut rows = Vec::new();
        for (list, is_put) in [("put", true), ("remove", false)] {
            for object in objects(&text, list) {
                let field = |name: &str| string_field(object, name);
                rows.push((field("table"), field("key"), is_put.then(|| field("value"))));
            }
        }
        let mut state = self.state.lock().expect("no panic");
        state.version += 1;
        let version = state.version;
        for (table, key, value) in rows {
            let at = (table.clone(), key.clone());
            match &value {
                Some(value) => {
                    state.rows.insert(at, (value.clone(), version));
                }
                None => {
                    state.rows.remove(&at);
                }
            }
            state.changes.push(Change {
                at: Instant::now(),
                version,
                table,
                key,
                value,
            });
        }
        self.changed.notify_all();
        drop(state);
        format!(r#"{{"ver":{version},"now-ms":{}}}"#, self.now_ms())
    }
}

fn row(table: &str, key: &str, value: Option<&String>, version: u64) -> String {
    let (value, tombstone) = match value {
        Some(value) => (format!(r#","value":"{value}""#), ""),
        None => (String::new(), r#","tombstone":true"#),
    };
    format!(r#"{{"table":"{table}","part":"","key":"{key}"{value},"ver":{version}{tombstone}}}"#)
}

fn parameter<'a>(query: &'a str, name: &str) -> &'a str {
    let mut parts = query.split('&').filter_map(|p| p.split_once('='));
    parts.find(|(n, _)| *n == name).map_or("", |(_, v)| v)
}

/// Returns the objects in a list of a JSON body; their values are plain texts and numbers.
fn objects<'a>(text: &'a str, list: &str) -> Vec<&'a str> {
    let start = text.find(&format!("\"{list}\":["));
    let Some(start) = start else {
        return Vec::new();
    };
    let rest = &text[start..];
    let end = rest.find(']').unwrap_or(rest.len());
    rest[..end].split('{').skip(1).collect()
}

fn string_field(object: &str, name: &str) -> String {
    let start = object.find(&format!("\"{name}\":\""));
    let rest = start.map_or("", |s| &object[s + name.len() + 4..]);
    rest.split('"').next().unwrap_or_default().to_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            if at <= group.len() {
                let digit = (bits >> (18 - 6 * at)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
