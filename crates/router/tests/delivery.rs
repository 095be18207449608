//! A caller that does not read holds its stream back.

use std::pin::pin;
use std::task::{Context, Poll, Waker};

use hibiscusrail_router::delivery::{Delivery, UNREAD_BYTES};

#[test]
fn room_waits_until_the_caller_has_read() {
    let delivery = Delivery::default();
    let mut cx = Context::from_waker(Waker::noop());
    delivery.sent(UNREAD_BYTES);
    assert!(delivery.has_room());
    delivery.sent(1);
    let mut room = pin!(delivery.room());
    assert_eq!(room.as_mut().poll(&mut cx), Poll::Pending);
    delivery.taken(1);
    assert_eq!(room.as_mut().poll(&mut cx), Poll::Ready(()));
}
