//! Headers that concern one connection only.

use http::{HeaderMap, HeaderName, header};

/// Headers that never pass from one connection to another.
pub const CONNECTION_ONLY: [HeaderName; 9] = [
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

/// Removes what concerns one connection only, also what its headers name as such.
pub fn strip(headers: &mut HeaderMap) {
    for name in listed(headers) {
        headers.remove(name);
    }
    for name in CONNECTION_ONLY {
        headers.remove(name);
    }
}

/// Returns the headers that the connection header names as its own.
fn listed(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}
