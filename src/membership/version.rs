//! Encoding of the program's version as one number, so that datagrams carry it in few bytes.

/// Maximum value of a component of an encoded version.
const MAX_COMPONENT: u32 = 999;

/// Encodes `major.minor.patch` as a number that grows with the version. A component that is missing
/// or not a number counts as 0, one above 999 as 999.
pub fn encode(text: &str) -> u32 {
    let mut components = text
        .split('.')
        .map(|component| component.parse::<u32>().unwrap_or(0).min(MAX_COMPONENT));
    let mut next = || components.next().unwrap_or(0);
    next() * 1_000_000 + next() * 1_000 + next()
}

/// Formats an encoded version as `major.minor.patch`.
pub fn format(version: u32) -> String {
    let major = version / 1_000_000;
    let minor = version / 1_000 % 1_000;
    let patch = version % 1_000;
    format!("{major}.{minor}.{patch}")
}
