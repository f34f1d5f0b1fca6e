//! Which header lines are forwarded between clients and upstream servers.

use crate::protocol::http::Headers;
use std::io::{self, Write};

/// Header lines that apply to one connection (RFC 9110, 7.6.1), or that the limiter writes itself.
const NOT_FORWARDED: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Appends the header lines that are forwarded, which are all but those of one connection, those that the `Connection`
/// header names, and those named in `excluded`.
///
/// # Errors
///
/// None: `to` grows as needed.
pub(super) fn write_forwarded_headers(
    to: &mut Vec<u8>,
    headers: &Headers,
    excluded: &[&str],
) -> io::Result<()> {
    let connection_options = connection_options(headers);
    for (name, value) in headers {
        let is_excluded = NOT_FORWARDED
            .iter()
            .chain(excluded)
            .any(|other| name.eq_ignore_ascii_case(other));
        let is_connection_option = connection_options
            .iter()
            .any(|option| option.eq_ignore_ascii_case(name.as_bytes()));
        if is_excluded || is_connection_option {
            continue;
        }
        write!(to, "{name}: ")?;
        to.extend_from_slice(value);
        to.extend_from_slice(b"\r\n");
    }
    Ok(())
}

/// The names of header lines that the `Connection` header declares to apply to one connection.
fn connection_options(headers: &Headers) -> Vec<&[u8]> {
    headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("connection"))
        .flat_map(|(_, value)| value.split(|byte| *byte == b','))
        .map(<[u8]>::trim_ascii)
        .collect()
}
