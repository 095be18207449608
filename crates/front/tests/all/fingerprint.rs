//! Identity of requests.

use hibiscusrail_front::fingerprint::{Identity, fingerprint};
use http::Method;

const BASE: Identity<'static> = Identity {
    method: &Method::POST,
    host: "host.example",
    target: "/a/b?c=d",
    workspace: Some("w"),
    body: b"body",
};

#[test]
fn fingerprint_is_same_at_every_router() {
    // Routers of other builds have to agree on it.
    assert_eq!(fingerprint(BASE), 0x919d_a473_c653_1e63);
    let host = Identity {
        host: "Host.Example",
        ..BASE
    };
    assert_eq!(fingerprint(host), 0x919d_a473_c653_1e63);
}

#[test]
fn fingerprint_depends_on_each_field() {
    let others = [
        Identity {
            method: &Method::PUT,
            ..BASE
        },
        Identity {
            host: "other.example",
            ..BASE
        },
        Identity {
            target: "/a/b?c=e",
            ..BASE
        },
        Identity {
            workspace: Some("v"),
            ..BASE
        },
        Identity {
            workspace: None,
            ..BASE
        },
        Identity {
            body: b"other",
            ..BASE
        },
    ];
    for other in others {
        assert_ne!(fingerprint(other), fingerprint(BASE), "{other:?}");
    }
}

#[test]
fn fingerprint_tells_fields_apart_whose_bytes_join_alike() {
    let moved = Identity {
        target: "/a/b?c=",
        workspace: Some("dw"),
        ..BASE
    };
    assert_ne!(fingerprint(moved), fingerprint(BASE));
    let moved = Identity {
        workspace: Some("wbo"),
        body: b"dy",
        ..BASE
    };
    assert_ne!(fingerprint(moved), fingerprint(BASE));
}
