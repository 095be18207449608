//! Findings of configuration objects.

use std::net::SocketAddr;

use hibiscusrail_check::{Finding, check_objects};
use hibiscusrail_core::configuration::{
    Admission, Configuration, Object, ObjectId, Server, Service, ServiceKind, Version, Workspace,
};
use hibiscusrail_core::{ServiceId, ZoneId};
use insta::assert_snapshot;

fn workspace(name: &str, hash: u8) -> Object {
    Object::Workspace(Workspace {
        name: name.to_owned(),
        share: 1.0,
        key_hash: [hash; 32],
        queue_limit: 10,
        retry_fraction: 0.1,
    })
}

fn service(name: &str) -> Object {
    Object::Service(Service {
        name: name.to_owned(),
        kind: ServiceKind::Plain,
        prompt_weight: 1.0,
        output_weight: 0.0,
    })
}

fn server(name: &str, service: &str) -> Object {
    Object::Server(Server {
        name: name.to_owned(),
        service: ServiceId::new(service),
        zone: ZoneId::new("z1"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        cold_limit: 1,
        max_limit: 2,
        admission: Admission::Open,
    })
}

/// Returns a configuration without findings, and these objects in addition.
fn config(more: impl IntoIterator<Item = Object>) -> Configuration {
    let mut config = Configuration::new();
    let sound = [
        workspace("w1", 1),
        workspace("w2", 2),
        service("s1"),
        server("a", "s1"),
    ];
    for object in sound {
        config.apply(Version(1), object);
    }
    for object in more {
        config.apply(Version(2), object);
    }
    config
}

fn lines(config: &Configuration) -> String {
    let findings = check_objects(config);
    let line = |f: &Finding| format!("{:?} {f}", f.kind);
    findings.iter().map(line).collect::<Vec<_>>().join("\n")
}

#[test]
fn check_objects_sound_finds_nothing() {
    assert_eq!(lines(&config([])), "");
}

#[test]
fn check_objects_key_of_two_workspaces() {
    assert_snapshot!(lines(&config([workspace("w3", 1)])), @"SharedKey workspace w3: workspace w1 holds the same key, and requests with it count as those of one of them");
}

#[test]
fn check_objects_server_of_removed_service() {
    let removed = Object::Removed(ObjectId::Service(ServiceId::new("s1")));
    assert_snapshot!(lines(&config([removed])), @"UnknownService server a: its service does not exist, so no request reaches it");
}

#[test]
fn check_objects_service_without_server() {
    assert_snapshot!(lines(&config([service("s2")])), @"ServiceWithoutServer service s2: it has no server, so its requests can't be served");
}
