//! Reads request bodies into memory, with limits on size, time and the memory that they share.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::EarlyRefusal;
use crate::refusal::Code;
use crate::shell::Shell;

/// Memory reservation for one request body; released when dropped.
pub struct Reservation {
    shell: Rc<Shell>,
    bytes: usize,
}

impl std::fmt::Debug for Reservation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Reservation").field(&self.bytes).finish()
    }
}

impl Reservation {
    fn new(shell: &Rc<Shell>) -> Self {
        Self {
            shell: Rc::clone(shell),
            bytes: 0,
        }
    }

    fn grow(&mut self, bytes: usize) -> Result<(), EarlyRefusal> {
        if !self.shell.reserve(bytes) {
            return Err(EarlyRefusal::new(Code::Overloaded));
        }
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shell.release(self.bytes);
    }
}

/// The complete body of a request.
pub struct RequestBody {
    /// Content of the body.
    pub bytes: Bytes,
    /// Memory reservation for `bytes`.
    pub reservation: Reservation,
}

/// Reads the body of a request to its end.
pub async fn read_body(shell: &Rc<Shell>, body: Incoming) -> Result<RequestBody, EarlyRefusal> {
    if body.is_end_stream() {
        return Ok(RequestBody {
            bytes: Bytes::new(),
            reservation: Reservation::new(shell),
        });
    }
    let timeout = shell.settings().body_timeout;
    hibiscusrail_net::timeout(timeout, collect(shell, body))
        .await
        .unwrap_or_else(|_| Err(EarlyRefusal::new(Code::BodyTooSlow)))
}

async fn collect(shell: &Rc<Shell>, mut body: Incoming) -> Result<RequestBody, EarlyRefusal> {
    let limit = shell.settings().max_body_bytes;
    let too_large = || {
        let message = format!("the body is longer than {limit} bytes");
        EarlyRefusal::with_message(Code::BodyTooLarge, message)
    };
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    let mut reservation = Reservation::new(shell);
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| EarlyRefusal::new(Code::BodyIncomplete))?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(too_large());
        }
        reservation.grow(data.len())?;
        bytes.extend_from_slice(data);
    }
    Ok(RequestBody {
        bytes: bytes.freeze(),
        reservation,
    })
}
