//! The body of a request, read whole within limits of size, time and memory.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::Early;
use crate::refusal::Code;
use crate::shell::Shell;

/// Bytes of callers' requests that the router holds; given back when dropped.
pub struct Reserved {
    shell: Rc<Shell>,
    bytes: usize,
}

impl std::fmt::Debug for Reserved {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Reserved").field(&self.bytes).finish()
    }
}

impl Reserved {
    fn new(shell: &Rc<Shell>) -> Self {
        Self {
            shell: Rc::clone(shell),
            bytes: 0,
        }
    }

    fn grow(&mut self, bytes: usize) -> Result<(), Early> {
        if !self.shell.reserve(bytes) {
            return Err(Early::new(Code::Overloaded));
        }
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.shell.give_back(self.bytes);
    }
}

/// A body that was read whole.
pub struct Whole {
    /// The bytes.
    pub bytes: Bytes,
    /// Their place in the router's memory.
    pub reserved: Reserved,
}

/// Reads a request's body.
pub async fn read_body(shell: &Rc<Shell>, body: Incoming) -> Result<Whole, Early> {
    if body.is_end_stream() {
        return Ok(Whole {
            bytes: Bytes::new(),
            reserved: Reserved::new(shell),
        });
    }
    let time = shell.settings().body_time;
    compio::time::timeout(time, collect(shell, body))
        .await
        .unwrap_or_else(|_| Err(Early::new(Code::BodyTooSlow)))
}

async fn collect(shell: &Rc<Shell>, mut body: Incoming) -> Result<Whole, Early> {
    let limit = shell.settings().body_bytes;
    let mut reserved = Reserved::new(shell);
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Early::new(Code::BodyIncomplete))?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            let message = format!("the body is longer than {limit} bytes");
            return Err(Early::with_message(Code::BodyTooLarge, message));
        }
        reserved.grow(data.len())?;
        bytes.extend_from_slice(data);
    }
    Ok(Whole {
        bytes: bytes.freeze(),
        reserved,
    })
}
