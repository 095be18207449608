//! Every log event in the code is documented in docs/LOGS.md.

use std::collections::BTreeSet;
use std::path::Path;

/// Returns the event names in the log macro calls and reducer log records of a source text.
fn events(text: &str) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for start in ["log::", "Level::"] {
        for (at, _) in text.match_indices(start) {
            let rest: String = text[at..].chars().take(400).collect();
            let call = rest.split(");").next().unwrap_or_default();
            let name = if start == "log::" {
                let tail = call.rsplit(';').next().unwrap_or_default();
                tail.trim()
                    .strip_prefix('"')
                    .and_then(|t| t.split('"').next())
            } else {
                let tail = call.split_once(',').map_or("", |(_, tail)| tail);
                tail.trim()
                    .strip_prefix('"')
                    .and_then(|t| t.split('"').next())
            };
            let name = name.filter(|n| !n.is_empty());
            let is_event = |n: &&str| n.chars().all(|c| c.is_ascii_lowercase() || c == '_');
            found.extend(name.filter(is_event).map(str::to_owned));
        }
    }
    found
}

/// Adds the event names in the sources below `dir` to `found`.
fn read_events(dir: &Path, found: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(dir).expect("the sources") {
        let path = entry.expect("a file").path();
        if path.is_dir() {
            read_events(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.extend(events(&std::fs::read_to_string(&path).expect("text")));
        }
    }
}

#[test]
fn events_are_documented() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("crates");
    let mut found = BTreeSet::new();
    for name in ["core", "fleet", "front", "net", "router", "standin"] {
        read_events(&root.join(name).join("src"), &mut found);
    }
    read_events(&root.join("../platform/src"), &mut found);
    // Checks that the search itself finds events of each kind.
    for known in [
        "started",
        "config_in_force",
        "request_ended",
        "datagram_dropped",
    ] {
        assert!(found.contains(known), "{known} is not found in {found:?}");
    }
    let docs = include_str!("../../docs/LOGS.md");
    for name in found {
        assert!(
            docs.contains(&format!("`{name}`")),
            "{name} is not in LOGS.md"
        );
    }
}
