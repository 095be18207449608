//! Streams that break, and are resumed at another server if their route allows it.

use super::support::{Act, Front, STREAM_END, STREAM_HEAD, Server, chunk, header, run, status};

fn event(id: u32) -> String {
    format!("id: {id}\ndata: {id}\n\n")
}

#[test]
fn stream_relays_events() {
    run(async {
        let text = STREAM_HEAD.to_owned() + &chunk(&event(1)) + &chunk(&event(2)) + STREAM_END;
        let server = Server::start(vec![Act::Write(text)]);
        let response = Front::start(&[&server]).call("/stream/x", "").await;
        assert_eq!(status(&response), 200);
        assert!(response.contains(&event(1)) && response.contains(&event(2)));
        assert!(response.ends_with(STREAM_END));
    });
}

#[test]
fn stream_broken_in_event_resumes_after_last_id() {
    run(async {
        let events = event(1) + &event(2) + "id: 3\nda";
        let first = STREAM_HEAD.to_owned() + &chunk(&events);
        let second = STREAM_HEAD.to_owned() + &chunk(&(event(3) + &event(4))) + STREAM_END;
        let server = Server::start(vec![Act::Close(first), Act::Write(second)]);
        let response = Front::start(&[&server, &server])
            .call("/resume/x", "")
            .await;
        assert!(response.ends_with(STREAM_END), "{response}");
        for id in 1..=4 {
            assert_eq!(response.matches(&event(id)).count(), 1, "event {id}");
        }
        assert!(!response.contains("id: 3\ndaid"));
        let resumed = server.received().remove(1);
        assert_eq!(header(&resumed, "last-event-id").as_deref(), Some("2"));
    });
}

#[test]
fn stream_resumed_skips_duplicate_events() {
    run(async {
        let first = STREAM_HEAD.to_owned() + &chunk(&(event(1) + &event(2)));
        let second = STREAM_HEAD.to_owned() + &chunk(&(event(2) + &event(3))) + STREAM_END;
        let server = Server::start(vec![Act::Close(first), Act::Write(second)]);
        let response = Front::start(&[&server, &server])
            .call("/resume/x", "")
            .await;
        assert_eq!(response.matches(&event(2)).count(), 1);
        assert!(response.ends_with(STREAM_END));
    });
}

#[test]
fn stream_not_resumable_ends_incomplete() {
    run(async {
        let text = STREAM_HEAD.to_owned() + &chunk(&event(1));
        let server = Server::start(vec![Act::Close(text)]);
        let response = Front::start(&[&server, &server])
            .call("/stream/x", "")
            .await;
        assert!(response.contains(&event(1)));
        assert!(!response.ends_with(STREAM_END));
        assert_eq!(server.received().len(), 1);
    });
}

#[test]
fn stream_without_length_cut_in_event_ends_incomplete() {
    run(async {
        let head = STREAM_HEAD.replace("transfer-encoding: chunked\r\n", "");
        let text = head + &event(1) + "id: 2\nda";
        let server = Server::start(vec![Act::Close(text)]);
        let response = Front::start(&[&server]).call("/stream/x", "").await;
        assert!(!response.ends_with(STREAM_END));
    });
}

#[test]
fn stream_without_event_is_502() {
    run(async {
        let server = Server::start(vec![Act::Close(STREAM_HEAD.to_owned())]);
        let response = Front::start(&[&server]).call("/stream/x", "").await;
        assert_eq!(status(&response), 502);
    });
}
