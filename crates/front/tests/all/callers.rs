//! Callers that leave.

use compio::BufResult;
use compio::io::AsyncWriteExt;
use compio::net::TcpStream;

use super::support::{
    Act, Front, STREAM, Server, chunk, header, read_all, run, status, until, whole,
};

const REQUEST: &str = "POST /stream/x HTTP/1.1\r\nhost: host\r\nauthorization: Bearer key\r\n\
                       x-id: r\r\nx-wait-ms: 5000\r\n\r\n";

/// Starts a request that a server holds, leaves, and waits until the server knows.
async fn leave(act: Act) {
    let server = Server::start(vec![act]);
    let front = Front::start(&[&server]);
    let mut caller = TcpStream::connect(front.address).await.expect("it listens");
    let BufResult(written, _) = caller.write_all(REQUEST.as_bytes().to_vec()).await;
    written.expect("the router reads");
    until(|| server.seen().len() == 1).await;
    drop(caller);
    until(|| server.left() == 1).await;
    until(|| front.shell.with_fleet(|f| f.requests() == 0)).await;
}

#[test]
fn leave_before_the_answer_ends_the_work() {
    run(leave(Act::Hang(String::new())));
}

#[test]
fn leave_in_the_answer_ends_the_work() {
    let text = STREAM.to_owned() + &chunk("id: 1\ndata: 1\n\n");
    run(leave(Act::Hang(text)));
}

#[test]
fn connection_over_the_limit_is_answered_not_run() {
    run(async {
        let server = Server::start(vec![Act::Write(whole("200 OK", "body"))]);
        let front = Front::start_with(&[&server], 2);
        let mut idle = Vec::new();
        for _ in 0..2 {
            idle.push(TcpStream::connect(front.address).await.expect("it listens"));
        }
        until(|| front.shell.connections().open() == 2).await;
        let mut more = TcpStream::connect(front.address).await.expect("it listens");
        let BufResult(written, _) = more.write_all(REQUEST.as_bytes().to_vec()).await;
        written.expect("the router reads");
        let answer = read_all(&mut more).await;
        assert_eq!(status(&answer), 503);
        assert!(header(&answer, "retry-after").is_some());
        assert!(server.seen().is_empty());
    });
}
