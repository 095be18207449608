//! Streams of a service whose servers run several software versions.

use super::support::{Act, Front, STREAM_END, STREAM_HEAD, Server, chunk, event, run, status};

/// Returns a stream that ends in the middle of its third event.
fn broken() -> Act {
    let events = event(1) + &event(2) + "id: 3\nda";
    Act::Close(STREAM_HEAD.to_owned() + &chunk(&events))
}

/// Returns the rest of the stream.
fn rest() -> Act {
    let events = event(3) + &event(4);
    Act::Write(STREAM_HEAD.to_owned() + &chunk(&events) + STREAM_END)
}

// Guards against ORDER: a stream that breaks went on at a server of another version.
#[test]
fn stream_broken_goes_on_at_its_version_only() {
    run(async {
        for (versions, goes_on) in [(["v1", "v1"], true), (["v1", "v2"], false)] {
            let server = Server::start(vec![broken(), rest()]);
            let front = Front::start(&[&server, &server]);
            front.set_versions(&versions);
            let response = front.call("/resume/x", "").await;
            assert!(response.contains(&event(2)), "{response}");
            assert_eq!(response.contains(&event(3)), goes_on, "{versions:?}");
        }
    });
}

// Guards against ORDER: a router that has just started can't know which version began a stream.
#[test]
fn stream_of_unknown_version_is_refused() {
    run(async {
        let server = Server::start(vec![rest()]);
        let front = Front::start(&[&server, &server]);
        front.set_versions(&["v1", "v2"]);
        let headers = "last-event-id: 2\r\nx-resumes: r0\r\n";
        let response = front.call("/resume/x", headers).await;
        assert_eq!(status(&response), 503, "{response}");
        assert_eq!(server.received().len(), 0);
    });
}
