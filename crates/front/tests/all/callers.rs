//! Callers that leave.

use compio::BufResult;
use compio::io::AsyncWriteExt;
use compio::net::TcpStream;

use super::support::{Act, Front, STREAM, Server, chunk, run, until};

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
