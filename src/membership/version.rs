//! Version of the program as one number, so that datagrams carry it in few bytes.

/// Largest value of one component of a version.
const MAX_COMPONENT: u32 = 999;

/// Encodes `major.minor.patch` as a number that grows with the version. Components that are missing
/// or no numbers count as 0, those above 999 as 999.
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
