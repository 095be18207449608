//! Removes the headers that concern a single connection.

use http::{HeaderMap, HeaderName, header};

/// Headers that are never forwarded from one connection to another.
pub const NOT_FORWARDED: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes the headers that are never forwarded, including those listed in `Connection`.
pub fn strip(headers: &mut HeaderMap) {
    for name in connection_listed(headers) {
        headers.remove(name);
    }
    for name in NOT_FORWARDED {
        headers.remove(name);
    }
}

/// Returns the header names listed in the `Connection` header.
fn connection_listed(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}
