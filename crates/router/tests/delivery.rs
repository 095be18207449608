//! Tests of backpressure: a caller that does not read pauses its response.

use std::pin::pin;
use std::task::{Context, Poll, Waker};

use hibiscusrail_router::delivery::{Delivery, MAX_BUFFERED_BYTES};

#[test]
fn wait_for_room_is_pending_until_caller_reads() {
    let delivery = Delivery::default();
    let mut cx = Context::from_waker(Waker::noop());
    delivery.sent(MAX_BUFFERED_BYTES);
    assert!(delivery.has_room());
    delivery.sent(1);
    let mut room = pin!(delivery.wait_for_room());
    assert_eq!(room.as_mut().poll(&mut cx), Poll::Pending);
    delivery.taken(1);
    assert_eq!(room.as_mut().poll(&mut cx), Poll::Ready(()));
}
