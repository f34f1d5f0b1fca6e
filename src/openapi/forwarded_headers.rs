//! Forwarding of header lines between clients and upstream servers.

use crate::protocol::http::Headers;
use std::io::{self, Write};

/// Names of header lines that are not forwarded: they apply to a single connection (RFC 9110,
/// 7.6.1), or the limiter writes its own.
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

/// Appends all header lines that are forwarded. Left out are those in [`NOT_FORWARDED`], those that
/// the `Connection` header names, and those that `excluded` names.
///
/// # Errors
///
/// Never returns an error, as `to` grows as needed.
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

/// Returns the names of the header lines that the `Connection` header declares to apply to a single
/// connection.
fn connection_options(headers: &Headers) -> Vec<&[u8]> {
    headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("connection"))
        .flat_map(|(_, value)| value.split(|byte| *byte == b','))
        .map(<[u8]>::trim_ascii)
        .collect()
}
