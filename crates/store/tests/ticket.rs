//! Parsing and validation of ticket files, and the transaction that accepts a ticket.

use std::collections::BTreeMap;

use hibiscusrail_core::configuration::{Object, Version};
use hibiscusrail_core::ticket::Conflict;
use hibiscusrail_store::object::decode;
use hibiscusrail_store::table::{Row, TransactRequest};
use hibiscusrail_store::ticket::{Plan, Ticket, check, parse, plan, read_request};
use hibiscusrail_store::{keys, ticket};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use typify::{TypeSpace, TypeSpaceSettings};

const SCHEMA: &str = include_str!("../schema/ticket.schema.json");
const GENERATED: &str = include_str!("../src/ticket/generated.rs");

fn zone_ticket(number: u64, author: &str, zone: &str, admission: &str) -> Ticket {
    let text = serde_json::json!({
        "number": number,
        "author": author,
        "zones": [{ "name": zone, "admission": admission }],
    });
    parse(text.to_string().as_bytes()).expect("a valid ticket")
}

/// In-memory table that never fails.
#[derive(Default)]
struct Rows(BTreeMap<String, Row>);

impl Rows {
    fn plan(&self, ticket: &Ticket) -> Plan {
        let keys = read_request(ticket).expect("a checked ticket").keys;
        let rows: Vec<_> = keys.iter().map(|k| self.0.get(k).cloned()).collect();
        plan(ticket, &rows, 1_000).expect("well-formed rows")
    }

    fn commit(&mut self, transaction: &TransactRequest) -> bool {
        let version = |key: &str| self.0.get(key).map_or(0, |r| r.version);
        if transaction
            .conditions
            .iter()
            .any(|c| version(&c.key) != c.version)
        {
            return false;
        }
        for write in &transaction.writes {
            let version = self.0.get(&write.key).map_or(0, |r| r.version) + 1;
            let row = Row {
                key: write.key.clone(),
                version,
                value: write.value.clone().expect("tickets delete no row"),
            };
            self.0.insert(write.key.clone(), row);
        }
        true
    }

    fn accept(&mut self, ticket: &Ticket) {
        let Plan::Accept(transaction) = self.plan(ticket) else {
            panic!("ticket {} is not accepted", ticket.number);
        };
        assert!(self.commit(&transaction));
    }
}

#[test]
fn generated_types_agree_with_schema() {
    let schema = serde_json::from_str(SCHEMA).expect("the schema is JSON");
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    let mut types = TypeSpace::new(&settings);
    types.add_root_schema(schema).expect("the schema is valid");
    let file = syn::parse2(types.to_stream()).expect("generated code parses");
    let same = prettyplease::unparse(&file) == GENERATED;
    assert!(same, "generated.rs is out of date; run the generator");
}

#[test]
fn parse_wrong_value_names_path_value_and_allowed() {
    let text = br#"{"number": 3, "author": "ana", "zones": [
        {"name": "zone-a", "admission": "open"}, {"name": "zone-b", "admission": "shut"}]}"#;
    let problem = parse(text).expect_err("the value is not allowed");
    assert_eq!(problem.path, "zones[1].admission");
    assert_eq!(problem.value, "\"shut\"");
    assert!(
        problem.allowed.contains("expected `open` or `closed`"),
        "{}",
        problem.allowed
    );
}

#[test]
fn parse_unknown_key_is_rejected() {
    let problem = parse(br#"{"number": 3, "author": "ana", "zone": []}"#);
    let problem = problem.expect_err("the key is unknown");
    assert!(
        problem.allowed.contains("unknown field `zone`"),
        "{}",
        problem.allowed
    );
}

#[test]
fn parse_text_after_ticket_is_rejected() {
    assert!(parse(br#"{"number": 3, "author": "ana"} {}"#).is_err());
}

#[test]
fn check_reports_every_problem() {
    let text = serde_json::json!({
        "number": 0,
        "author": "",
        "workspaces": [{ "name": "w", "share": 0.0, "key_hash": "00", "queue_limit": 1,
                         "retry_fraction": 2.0 }],
        "servers": [{ "name": "s", "service": "m", "zone": "z", "address": "host:80",
                      "cold_limit": 4, "max_limit": 3, "admission": "open" }],
        "zones": [{ "name": "z", "admission": "open" }],
        "removed": [{ "kind": "zone", "name": "z" }],
    });
    let ticket = parse(text.to_string().as_bytes()).expect("the text matches the schema");
    let paths: Vec<_> = check(&ticket).into_iter().map(|p| p.path).collect();
    assert_eq!(
        paths,
        [
            "number",
            "author",
            "workspaces[0].share",
            "workspaces[0].key_hash",
            "workspaces[0].retry_fraction",
            "servers[0].address",
            "servers[0].max_limit",
            "removed[0].name",
        ]
    );
}

#[test]
fn plan_writes_objects_at_the_ticket_number() {
    let mut rows = Rows::default();
    rows.accept(&zone_ticket(5, "ana", "zone-a", "closed"));
    let row = &rows.0[&keys::config("zone", "zone-a")];
    let (version, object) = decode(row).expect("a valid row");
    assert_eq!(version, Version(5));
    assert!(matches!(object, Object::Zone(_)));
    assert_eq!(rows.0[keys::HEAD].value["sequence"], 1);
    assert!(rows.0.contains_key(&keys::change(1)));
    assert!(rows.0.contains_key(&keys::ticket(5)));
    assert_eq!(
        rows.0
            .keys()
            .filter(|k| k.starts_with(keys::AUDIT_PREFIX))
            .count(),
        1
    );
}

#[test]
fn plan_lower_number_reports_object_version_and_author() {
    let mut rows = Rows::default();
    rows.accept(&zone_ticket(5, "ana", "zone-a", "closed"));
    let Plan::Reject(Conflict::Object(standing)) =
        rows.plan(&zone_ticket(4, "ben", "zone-a", "open"))
    else {
        panic!("a lower number is accepted");
    };
    assert_eq!(standing.object, "zone/zone-a");
    assert_eq!(standing.version, Version(5));
    assert_eq!(standing.author, "ana");
}

#[test]
fn plan_reused_number_is_rejected() {
    let mut rows = Rows::default();
    rows.accept(&zone_ticket(5, "ana", "zone-a", "closed"));
    let plan = rows.plan(&zone_ticket(5, "ben", "zone-b", "open"));
    let Plan::Reject(Conflict::Number(accepted)) = plan else {
        panic!("a reused number is accepted");
    };
    assert_eq!(accepted.author, "ana");
}

#[test]
fn plan_repeated_ticket_is_already_accepted() {
    let mut rows = Rows::default();
    let ticket = zone_ticket(5, "ana", "zone-a", "closed");
    rows.accept(&ticket);
    assert_eq!(rows.plan(&ticket), Plan::AlreadyAccepted);
}

#[test]
fn plan_concurrent_tickets_commit_one() {
    let mut rows = Rows::default();
    let plans = [
        rows.plan(&zone_ticket(5, "ana", "zone-a", "closed")),
        rows.plan(&zone_ticket(5, "ben", "zone-b", "closed")),
        rows.plan(&zone_ticket(6, "eva", "zone-c", "closed")),
    ];
    let committed = plans.iter().filter(|plan| {
        let Plan::Accept(transaction) = plan else {
            panic!("a ticket is rejected though the table is empty");
        };
        rows.commit(transaction)
    });
    assert_eq!(committed.count(), 1);
}

#[test]
fn plan_removal_keeps_the_version() {
    let mut rows = Rows::default();
    rows.accept(&zone_ticket(5, "ana", "zone-a", "closed"));
    let text =
        br#"{"number": 6, "author": "ana", "removed": [{"kind": "zone", "name": "zone-a"}]}"#;
    rows.accept(&parse(text).expect("a valid ticket"));
    let row = &rows.0[&keys::config("zone", "zone-a")];
    let (version, object) = decode(row).expect("a valid row");
    assert_eq!(version, Version(6));
    assert!(matches!(object, Object::Removed(_)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn parse_random_bytes_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let _ = parse(&bytes);
    }

    #[test]
    fn parse_changed_ticket_never_panics(
        changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let ticket = zone_ticket(5, "ana", "zone-a", "closed");
        let mut text = serde_json::to_vec(&ticket).expect("tickets serialise");
        for (at, value) in changes {
            let at = at.index(text.len());
            text[at] = value;
        }
        if let Ok(ticket) = parse(&text) {
            let _ = (check(&ticket), ticket::object_rows(&ticket), ticket::digest(&ticket));
        }
    }

    #[test]
    fn row_random_value_never_panics(text in "[\\[\\]{}:,\"a-z0-9 ]{0,200}", key in ".{0,40}") {
        if let Ok(value) = serde_json::from_str(&text) {
            let row = Row { key, version: 1, value };
            let _ = decode(&row);
        }
    }
}
