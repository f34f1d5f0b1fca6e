//! Settings of the C library's memory allocator.
//!
//! By default it has up to eight heaps a core, each of which keeps memory that was freed, and the
//! stacks of ended threads. Under a flood of requests that takes a limiter over its memory limit.
//! The library reads the settings once, before the program starts. A process that was started
//! without them therefore executes its program again.

use std::ffi::OsString;
use std::io;
use std::os::unix::process::CommandExt;
use std::process::Command;

/// Environment variable from which the C library reads its settings (GNU C Library manual, chapter
/// "Tunables").
const SETTINGS_VARIABLE: &str = "GLIBC_TUNABLES";
/// Environment variable that is set once the program was executed again, which is never done twice.
const EXECUTED_VARIABLE: &str = "MOSSRILL_ALLOCATOR_SETTINGS";
/// The program of this process (proc(5)), also when its file has been replaced.
const PROGRAM: &str = "/proc/self/exe";
/// Names of the settings with their values: one heap, whose freed memory goes back to the system, no
/// stacks of ended threads, and few freed blocks for each thread.
const SETTINGS: [(&str, &str); 5] = [
    ("glibc.malloc.arena_max", "1"),
    ("glibc.malloc.mmap_threshold", "131072"),
    ("glibc.malloc.trim_threshold", "131072"),
    ("glibc.pthread.stack_cache_size", "0"),
    ("glibc.malloc.tcache_count", "2"),
];

/// Executes the program of this process again with the same arguments, if the environment lacks any
/// of the settings. Settings that the environment has are kept.
///
/// # Errors
///
/// If the program can't be executed. The process then goes on without the settings.
pub fn ensure_applied() -> io::Result<()> {
    let has_settings = cfg!(all(target_os = "linux", target_env = "gnu"));
    if !has_settings || std::env::var_os(EXECUTED_VARIABLE).is_some() {
        return Ok(());
    }
    let present = std::env::var(SETTINGS_VARIABLE).unwrap_or_default();
    let Some(settings) = with_missing_settings(&present) else {
        return Ok(());
    };
    let mut arguments = std::env::args_os();
    let name = arguments.next().unwrap_or_else(|| OsString::from(PROGRAM));
    Err(Command::new(PROGRAM)
        .arg0(name)
        .args(arguments)
        .env(SETTINGS_VARIABLE, settings)
        .env(EXECUTED_VARIABLE, "applied")
        .exec())
}

/// Returns the settings in `present`, in the form of the C library, and the missing ones behind them;
/// `None` if none is missing.
fn with_missing_settings(present: &str) -> Option<String> {
    let is_present = |name: &str| {
        present
            .split(':')
            .filter_map(|setting| setting.split_once('='))
            .any(|(present_name, _)| present_name == name)
    };
    let missing = SETTINGS
        .iter()
        .filter(|(name, _)| !is_present(name))
        .map(|(name, value)| format!("{name}={value}"));
    let mut settings: Vec<String> = missing.collect();
    if settings.is_empty() {
        return None;
    }
    if !present.is_empty() {
        settings.insert(0, present.to_owned());
    }
    Some(settings.join(":"))
}
