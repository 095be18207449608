//! Streams of a service whose servers run several software versions.

use std::rc::Rc;
use std::time::Duration;

use hibiscusrail_fleet::Event;
use hibiscusrail_fleet::objects::Revision;
use hibiscusrail_front::origins::Origin;
use hibiscusrail_front::records;

use super::support::{
    Act, Front, STREAM_END, STREAM_HEAD, Server, chunk, event, header, run, status, wait_until,
};
use super::tables::Tables;

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

/// Starts a router of engines with these versions that follows the tables.
fn start(server: &Server, versions: &[&str], tables: &Rc<Tables>) -> Front {
    let servers = vec![server; versions.len()];
    let front = Front::start(&servers);
    front.set_versions(versions);
    follow(&front, tables);
    front
}

/// Makes a router follow the tables.
fn follow(front: &Front, tables: &Rc<Tables>) {
    for task in records::tasks(&front.shell, tables) {
        compio::runtime::spawn(task).detach();
    }
}

/// Returns the ids of the servers that the requests were sent to, in order.
fn servers_used(server: &Server) -> Vec<String> {
    let received = server.received();
    let named = received.iter().map(|head| header(head, "x-server"));
    named.map(Option::unwrap_or_default).collect()
}

/// Returns the headers of a request that takes up the stream which `began` began.
fn resumes(began: &str) -> String {
    format!("last-event-id: 2\r\nx-resumes: {began}\r\n")
}

// Guards against ORDER and LOST after all routers were killed: another router finds the version.
#[test]
fn stream_taken_up_at_another_router_goes_on_at_its_version() {
    run(async {
        let tables = Rc::new(Tables::default());
        let server = Server::start(vec![broken(), rest()]);
        let front = start(&server, &["v1", "v2"], &tables);
        // It has no second server of its version, so it ends.
        front.call("/resume/x", "").await;
        wait_until(|| tables.streams.borrow().contains_key("r1")).await;
        let began = tables.streams.borrow()["r1"].version.clone();
        let other = start(&server, &["v1", "v2"], &tables);
        for _ in 0..2 {
            let response = other.call("/resume/x", &resumes("r1")).await;
            assert!(response.contains(&event(4)), "{response}");
        }
        let servers = servers_used(&server);
        assert_eq!(servers[0], servers[1], "{began}");
        assert_eq!(servers[0], servers[2], "{began}");
        // The servers of its version are gone.
        let gone = if began == "v1" { "v2" } else { "v1" };
        let last = start(&server, &[gone, gone], &tables);
        let response = last.call("/resume/x", &resumes("r1")).await;
        assert_eq!(status(&response), 503, "{response}");
        assert_eq!(header(&response, "retry-after"), None);
        assert_eq!(server.received().len(), 3);
    });
}

// Guards against LOST: no router recorded the versions that began streams of a service without
// engines.
#[test]
fn stream_of_plain_service_goes_on_at_its_version() {
    run(async {
        let tables = Rc::new(Tables::default());
        let server = Server::start(vec![broken(), rest()]);
        let start = || {
            let front = Front::start(&[&server, &server]);
            front.set_service_versions("plain", &["v1", "v2"]);
            follow(&front, &tables);
            front
        };
        start().call("/resume-plain/x", "").await;
        wait_until(|| tables.streams.borrow().contains_key("r1")).await;
        let response = start().call("/resume-plain/x", &resumes("r1")).await;
        assert!(response.contains(&event(4)), "{response}");
        let servers = servers_used(&server);
        assert_eq!(servers[0], servers[1]);
    });
}

/// Has a stream begin at the engines and taken up, at the same router and at another, after new
/// requests of its route were moved to the plain service; returns the service of each attempt.
async fn take_up_after_move(versions: &[&str]) -> Vec<String> {
    let tables = Rc::new(Tables::default());
    let server = Server::start(vec![broken(), rest()]);
    let fronts = [0, 1].map(|_| {
        let front = start(&server, versions, &tables);
        front.set_service_versions("plain", versions);
        front
    });
    fronts[0].call("/split/x", "").await;
    for front in &fronts {
        front.move_split("plain");
    }
    wait_until(|| tables.streams.borrow().contains_key("r1")).await;
    for front in &fronts {
        let response = front.call("/split/x", &resumes("r1")).await;
        assert!(response.contains(&event(4)), "{response}");
    }
    fronts[1].call("/split/x", "").await;
    let service_of = |id: &String| id.trim_end_matches(char::is_numeric).to_owned();
    servers_used(&server).iter().map(service_of).collect()
}

// Guards against LOST: after a change of a route's weights, a stream was looked for at the service
// that a new one would go to, and refused.
#[test]
fn stream_taken_up_after_change_of_weights_goes_on_at_its_service() {
    run(async {
        // The router that saw the connection break resumes at the other server of the version.
        let services = take_up_after_move(&["v1", "v1", "v2", "v2"]).await;
        assert_eq!(
            services,
            ["engines", "engines", "engines", "engines", "plain"]
        );
    });
}

// Guards against streams joined from two services: with one version each, nothing told them apart.
#[test]
fn stream_of_only_version_goes_on_at_its_service_after_change_of_weights() {
    run(async {
        let services = take_up_after_move(&["v1", "v1", "v1"]).await;
        assert_eq!(
            services,
            ["engines", "engines", "engines", "engines", "plain"]
        );
    });
}

// A service that the operator took from the route receives nothing more.
#[test]
fn stream_of_service_that_left_its_route_is_not_sent_there() {
    run(async {
        let tables = Rc::new(Tables::default());
        let server = Server::start(vec![broken(), rest()]);
        let front = start(&server, &["v1", "v2"], &tables);
        front.call("/split/x", "").await;
        let before = server.received().len();
        front.configure(|deployment| {
            for route in &mut deployment.routes {
                route.targets.retain(|t| t.service == "plain");
            }
            deployment.routes.retain(|r| !r.targets.is_empty());
        });
        let response = front.call("/split/x", &resumes("r1")).await;
        assert_eq!(status(&response), 503, "{response}");
        assert_eq!(server.received().len(), before);
    });
}

#[test]
fn stream_without_usable_record_is_refused() {
    run(async {
        let tables = Rc::new(Tables::default());
        let origin = |service: &str| Origin {
            service: service.to_owned(),
            version: "v1".to_owned(),
        };
        tables.streams.borrow_mut().extend([
            ("other".to_owned(), origin("plain")),
            ("mine".to_owned(), origin("engines")),
        ]);
        let server = Server::start(vec![rest()]);
        let front = start(&server, &["v1", "v2"], &tables);
        for began in ["unknown", "other", "", "%00/../x", &"x".repeat(300)] {
            let response = front.call("/resume/x", &resumes(began)).await;
            assert_eq!(status(&response), 503, "{began}: {response}");
        }
        let response = front.call("/resume/x", "last-event-id: 2\r\n").await;
        assert_eq!(status(&response), 503, "no id: {response}");
        tables.away.set(true);
        let response = front.call("/resume/x", &resumes("mine")).await;
        assert_eq!(status(&response), 503, "{response}");
        assert!(header(&response, "retry-after").is_some());
        assert_eq!(server.received().len(), 0);
        tables.away.set(false);
        let response = front.call("/resume/x", &resumes("mine")).await;
        assert_eq!(status(&response), 200, "{response}");
    });
}

// A service of one version writes nothing.
#[test]
fn stream_of_only_version_needs_no_record() {
    run(async {
        let tables = Rc::new(Tables::default());
        let server = Server::start(vec![broken(), rest()]);
        let front = start(&server, &["v1", "v1"], &tables);
        front.call("/resume/x", "").await;
        compio::time::sleep(Duration::from_millis(700)).await;
        assert!(tables.streams.borrow().is_empty());
        assert!(tables.versions.borrow().is_empty());
        let response = front.call("/resume/x", &resumes("unknown")).await;
        assert_eq!(status(&response), 200, "{response}");
        // Streams of before are recorded once another version comes.
        front.set_versions(&["v1", "v2"]);
        wait_until(|| tables.streams.borrow().contains_key("r1")).await;
        let saved = || tables.versions.borrow().contains_key("engines");
        wait_until(saved).await;
    });
}

// Guards against ORDER around a handover: two routers that both write the rows of versions and of
// streams, one of which has an older list of servers and writes last.
#[test]
fn stream_goes_on_at_its_version_when_two_routers_write() {
    run(async {
        let tables = Rc::new(Tables::default());
        let server = Server::start(vec![broken(), broken(), rest()]);
        let fronts = [0, 1].map(|_| start(&server, &["v1", "v2"], &tables));
        for (number, front) in fronts.iter().enumerate() {
            let text = format!(
                "POST /resume/x HTTP/1.1\r\nhost: host\r\nauthorization: Bearer key\r\n\
                 x-id: s{number}\r\nx-wait-ms: 5000\r\nconnection: close\r\n\r\n"
            );
            front.raw(&text).await;
        }
        let recorded = || tables.streams.borrow().len() == 2;
        wait_until(recorded).await;
        wait_until(|| tables.versions.borrow().contains_key("engines")).await;
        // The first router sees that the first version has gone, the second one writes last.
        fronts[0].set_versions(&["v2", "v2"]);
        let versions = || tables.versions.borrow()["engines"].versions.clone();
        wait_until(|| versions().len() == 1).await;
        let mut older = tables.versions.borrow()["engines"].clone();
        older.versions = ["v1".to_owned()].into();
        older.changed -= 2_000;
        tables
            .versions
            .borrow_mut()
            .insert(older.service.clone(), older);
        // A router that starts then sees the second version alone.
        let last = start(&server, &["v2", "v2"], &tables);
        let begun = tables.streams.borrow().clone();
        for (id, origin) in begun {
            let response = last.call("/resume/x", &resumes(&id)).await;
            let expected = if origin.version == "v2" { 200 } else { 503 };
            assert_eq!(
                status(&response),
                expected,
                "{id} of {}: {response}",
                origin.version
            );
        }
        let response = last.call("/resume/x", &resumes("unknown")).await;
        assert_eq!(status(&response), 503, "{response}");
    });
}

// Guards against ORDER at a router that starts right after the store was restored from a copy without
// the row of versions, before a router that knows it has written it again (report 4).
#[test]
fn row_of_versions_missing_from_copy_is_awaited_by_restarted_router() {
    run(async {
        let tables = Rc::new(Tables::default());
        let server = Server::start(vec![rest()]);
        let front = Front::start_without_versions(&[&server, &server]);
        let restored = |front: &Front| {
            let entries = front
                .shell
                .with_fleet(|f| f.registry().entries(front.shell.now()));
            let event = Event::Servers(Revision::new(1, 90), entries);
            front.shell.handle(event);
        };
        restored(&front);
        let older = Front::start(&[&server, &server]);
        older.set_versions(&["v0", "v1"]);
        older.set_versions(&["v1", "v1"]);
        restored(&older);
        follow(&front, &tables);
        compio::time::sleep(Duration::from_millis(500)).await;
        let response = front.call("/resume/x", &resumes("unknown")).await;
        assert_eq!(status(&response), 503, "{response}");
        follow(&older, &tables);
        wait_until(|| tables.versions.borrow().contains_key("engines")).await;
        let loaded = || front.shell.with_fleet(|f| f.versions().is_loaded());
        wait_until(loaded).await;
        let response = front.call("/resume/x", &resumes("unknown")).await;
        assert_eq!(status(&response), 503, "{response}");
        assert_eq!(server.received().len(), 0);
    });
}

// Guards against LOST and ORDER for streams whose records a restored store lacks: the routers that
// began them write them again, and a router that restarts finds them (report 4).
#[test]
fn record_missing_from_copy_is_written_again() {
    run(async {
        let tables = Rc::new(Tables::default());
        let server = Server::start(vec![broken(), rest()]);
        let front = start(&server, &["v1", "v2"], &tables);
        front.call("/resume/x", "").await;
        wait_until(|| tables.streams.borrow().contains_key("r1")).await;
        tables.streams.borrow_mut().clear();
        tables.era.set(1);
        let restarted = start(&server, &["v1", "v2"], &tables);
        let response = restarted.call("/resume/x", &resumes("r1")).await;
        assert_eq!(status(&response), 503, "{response}");
        assert!(header(&response, "retry-after").is_some());
        front.shell.origins().store_restored();
        wait_until(|| tables.streams.borrow().contains_key("r1")).await;
        let response = restarted.call("/resume/x", &resumes("r1")).await;
        assert!(response.contains(&event(4)), "{response}");
        let servers = servers_used(&server);
        assert_eq!(servers[0], servers[1]);
    });
}
