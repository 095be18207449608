//! The platform's store: rows in tables, with a feed of changes.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::read_request;

#[derive(Debug, Clone)]
struct Row {
    value: String,
    ver: u64,
    gone: bool,
}

#[derive(Debug, Default)]
struct Content {
    rows: BTreeMap<(String, String), Row>,
    ver: u64,
}

#[derive(Debug)]
pub struct Store {
    pub address: SocketAddr,
    content: Mutex<Content>,
    changed: Condvar,
    /// Whether calls get no answer.
    pub is_silent: AtomicBool,
    started: Instant,
}

/// Most rows of a page.
const PAGE: usize = 500;
/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);
/// Time for which a channel without an answer stays open.
const SILENCE: Duration = Duration::from_secs(20);

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback is available");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("the listener is bound"),
            content: Mutex::default(),
            changed: Condvar::new(),
            is_silent: AtomicBool::default(),
            started: Instant::now(),
        });
        let own = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = Arc::clone(&own);
                thread::spawn(move || own.serve(stream));
            }
        });
        store
    }

    /// Writes a row, or removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&Value>) {
        let value = value.map(|v| base64(v.to_string().as_bytes()));
        let mut content = self.content.lock().expect("no panic");
        content.ver += 1;
        content.put(table, key, value);
        drop(content);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(clone);
        while let Ok((head, body)) = read_request(&mut reader) {
            thread::sleep(CALL_TIME);
            if self.is_silent.load(Ordering::Relaxed) {
                // No answer comes on this channel any more.
                thread::sleep(SILENCE);
                return;
            }
            let (status, answer) = self.answer(head.word(1), &body);
            let text = answer.to_string();
            let sent = write!(
                stream,
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 0\r\n\
                 Content-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if sent.is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str, body: &[u8]) -> (u16, Value) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|f| f.split_once('='));
            let found = fields.find(|(key, _)| *key == name);
            found.map_or(String::new(), |(_, value)| value.replace("%00", "\0"))
        };
        let mut content = self.content.lock().expect("no panic");
        let (status, rows, more) = match path {
            "/api/rows-tx" => {
                let change: Value = serde_json::from_slice(body).unwrap_or_default();
                let (status, rows) = content.transact(&change);
                self.changed.notify_all();
                (status, rows, false)
            }
            "/api/rows-feed" => {
                let table = field("table");
                let after = field("start-revision").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("wait-ms").parse().unwrap_or(0));
                let until = Instant::now() + wait.min(Duration::from_secs(30));
                loop {
                    let rows = content.changes(&table, after);
                    let left = until.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        break (200, rows, false);
                    }
                    content = self
                        .changed
                        .wait_timeout(content, left)
                        .expect("no panic")
                        .0;
                }
            }
            "/api/rows-get" => {
                let rows = content.list(&field("table"), &field("from"), &field("to"));
                let more = rows.len() > PAGE;
                (200, rows.into_iter().take(PAGE).collect(), more)
            }
            _ => (404, Vec::new(), false),
        };
        let now = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(0);
        (
            status,
            json!({"rows": rows, "ver": content.ver, "has-more": more, "now-ms": now}),
        )
    }
}

fn to_json((table, key): &(String, String), row: &Row) -> Value {
    json!({"table": table, "part": "", "key": key, "value": row.value, "ver": row.ver,
        "tombstone": row.gone})
}

impl Content {
    fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        let row = Row {
            gone: value.is_none(),
            value: value.unwrap_or_default(),
            ver: self.ver,
        };
        self.rows.insert((table.to_owned(), key.to_owned()), row);
    }

    fn list(&self, table: &str, from: &str, to: &str) -> Vec<Value> {
        let rows = self.rows.iter().filter(|((t, key), row)| {
            t == table && !row.gone && key.as_str() >= from && (to.is_empty() || key.as_str() < to)
        });
        rows.map(|(at, row)| to_json(at, row)).collect()
    }

    fn changes(&self, table: &str, after: u64) -> Vec<Value> {
        let mut rows: Vec<_> = self
            .rows
            .iter()
            .filter(|((t, _), row)| t == table && row.ver > after)
            .collect();
        rows.sort_by_key(|(_, row)| row.ver);
        rows.into_iter().map(|(at, row)| to_json(at, row)).collect()
    }

    fn transact(&mut self, change: &Value) -> (u16, Vec<Value>) {
        let at = |row: &Value| {
            let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
            (text("table"), text("key"))
        };
        let list = |name: &str| change[name].as_array().cloned().unwrap_or_default();
        let current = |own: &Self, row: &Value| {
            let row = own.rows.get(&at(row));
            row.filter(|r| !r.gone).map_or(0, |r| r.ver)
        };
        let expect = list("expect");
        if expect
            .iter()
            .any(|r| r["ver"].as_u64() != Some(current(self, r)))
        {
            let rows = expect
                .iter()
                .filter_map(|r| self.rows.get_key_value(&at(r)));
            return (412, rows.map(|(at, row)| to_json(at, row)).collect());
        }
        self.ver += 1;
        for row in list("put") {
            let (table, key) = at(&row);
            if table == "op" || table == "servers" {
                return (403, Vec::new());
            }
            let value = row["value"].as_str().unwrap_or_default().to_owned();
            self.put(&table, &key, Some(value));
        }
        for row in list("remove") {
            let (table, key) = at(&row);
            self.put(&table, &key, None);
        }
        (200, Vec::new())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let word = (0..3).fold(0u32, |word, i| {
            word << 8 | u32::from(group.get(i).copied().unwrap_or(0))
        });
        for digit in 0..4 {
            let at = (word >> (18 - 6 * digit) & 63) as usize;
            let symbol = if digit <= group.len() {
                DIGITS[at]
            } else {
                b'='
            };
            out.push(char::from(symbol));
        }
    }
    out
}
