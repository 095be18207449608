//! Streams that break, and go on elsewhere when they may.

use super::support::{Act, END, Front, STREAM, Server, chunk, header, run, status};

fn event(id: u32) -> String {
    format!("id: {id}\ndata: {id}\n\n")
}

#[test]
fn stream_passes_on_event_by_event() {
    run(async {
        let text = STREAM.to_owned() + &chunk(&event(1)) + &chunk(&event(2)) + END;
        let server = Server::start(vec![Act::Write(text)]);
        let answer = Front::start(&[&server]).call("/stream/x", "").await;
        assert_eq!(status(&answer), 200);
        assert!(answer.contains(&event(1)) && answer.contains(&event(2)));
        assert!(answer.ends_with(END));
    });
}

#[test]
fn stream_broken_in_an_event_goes_on_at_the_next() {
    run(async {
        let events = event(1) + &event(2) + "id: 3\nda";
        let first = STREAM.to_owned() + &chunk(&events);
        let rest = STREAM.to_owned() + &chunk(&(event(3) + &event(4))) + END;
        let server = Server::start(vec![Act::Close(first), Act::Write(rest)]);
        let answer = Front::start(&[&server, &server])
            .call("/resume/x", "")
            .await;
        assert!(answer.ends_with(END), "{answer}");
        for id in 1..=4 {
            assert_eq!(answer.matches(&event(id)).count(), 1, "event {id}");
        }
        assert!(!answer.contains("id: 3\ndaid"));
        let again = server.seen().remove(1);
        assert_eq!(header(&again, "last-event-id").as_deref(), Some("2"));
    });
}

#[test]
fn stream_events_that_come_again_are_left_out() {
    run(async {
        let first = STREAM.to_owned() + &chunk(&(event(1) + &event(2)));
        let rest = STREAM.to_owned() + &chunk(&(event(2) + &event(3))) + END;
        let server = Server::start(vec![Act::Close(first), Act::Write(rest)]);
        let answer = Front::start(&[&server, &server])
            .call("/resume/x", "")
            .await;
        assert_eq!(answer.matches(&event(2)).count(), 1);
        assert!(answer.ends_with(END));
    });
}

#[test]
fn stream_that_may_not_go_on_never_looks_complete() {
    run(async {
        let text = STREAM.to_owned() + &chunk(&event(1));
        let server = Server::start(vec![Act::Close(text)]);
        let answer = Front::start(&[&server, &server])
            .call("/stream/x", "")
            .await;
        assert!(answer.contains(&event(1)));
        assert!(!answer.ends_with(END));
        assert_eq!(server.seen().len(), 1);
    });
}

#[test]
fn stream_without_length_cut_in_an_event_never_looks_complete() {
    run(async {
        let head = STREAM.replace("transfer-encoding: chunked\r\n", "");
        let text = head + &event(1) + "id: 2\nda";
        let server = Server::start(vec![Act::Close(text)]);
        let answer = Front::start(&[&server]).call("/stream/x", "").await;
        assert!(!answer.ends_with(END));
    });
}

#[test]
fn stream_broken_before_its_first_event_is_not_begun() {
    run(async {
        let server = Server::start(vec![Act::Close(STREAM.to_owned())]);
        let answer = Front::start(&[&server]).call("/stream/x", "").await;
        assert_eq!(status(&answer), 502);
    });
}
