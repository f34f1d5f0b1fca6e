//! The program as a user starts it: what it says, where, and its exit code.

mod peers;

use peers::{quiet_list, quota_counter, settings};
use serde_json::Value;
use std::fs;
use std::io::{BufRead, BufReader};
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

const NO_FAULT: i32 = 0;
const FAULT: i32 = 1;
const USAGE: i32 = 2;

/// The program with no configuration in its environment.
fn mossrill(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mossrill"));
    let variables = [
        "EDGE_CONFIG",
        "EDGE_NAME",
        "EDGE_LISTEN",
        "EDGE_DISCOVERY",
        "EDGE_CONTROL",
        "TMPDIR",
    ];
    for name in variables {
        command.env_remove(name);
    }
    command.args(arguments);
    command
}

struct Said {
    code: i32,
    out: String,
    err: String,
}

fn said(command: &mut Command) -> Said {
    let Output {
        status,
        stdout,
        stderr,
    } = command.output().expect("a start");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    let said = Said {
        code: status.code().expect("no signal"),
        out: text(stdout),
        err: text(stderr),
    };
    assert!(!said.err.contains("panicked"), "{}", said.err);
    said
}

/// A folder of one test, gone after it.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("mossrill-cli-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }

    fn path(&self, name: &str) -> String {
        self.0
            .join(name)
            .to_str()
            .expect("a path in UTF-8")
            .to_owned()
    }

    fn file(&self, name: &str, content: impl AsRef<[u8]>) -> String {
        fs::write(self.0.join(name), content).expect("a file");
        self.path(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.0);
    }
}

/// A good file of a limiter on the platform.
fn platform_file() -> Value {
    settings(
        quiet_list(),
        quota_counter().0,
        &[("s-1", "127.0.0.1:9".parse().expect("an address"))],
    )
}

/// The file in `deploy/` beside its description.
fn openapi_file(folder: &Folder, change: impl Fn(&mut Value)) -> String {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy");
    let description = fs::read(deploy.join("ferry.openapi.json")).expect("a description");
    folder.file("ferry.openapi.json", description);
    let text = fs::read_to_string(deploy.join("openapi.json")).expect("a file");
    let mut value: Value = serde_json::from_str(&text).expect("JSON");
    change(&mut value);
    folder.file("openapi.json", value.to_string())
}

#[test]
fn help_and_version_go_to_standard_output() {
    for flag in ["--help", "-h"] {
        let said = said(&mut mossrill(&[flag]));
        assert_eq!((said.code, said.err.as_str()), (NO_FAULT, ""));
        for part in [
            "Usage:",
            "mossrill check openapi.json",
            "EDGE_CONFIG=",
            "SIGHUP",
            "Exit codes",
        ] {
            assert!(said.out.contains(part), "no {part:?} in {}", said.out);
        }
    }
    let version = format!("mossrill {}\n", env!("CARGO_PKG_VERSION"));
    for flag in ["--version", "-V"] {
        let said = said(&mut mossrill(&[flag]));
        assert_eq!(
            (said.code, said.out, said.err.as_str()),
            (NO_FAULT, version.clone(), "")
        );
    }
    let check = said(&mut mossrill(&["check", "--help"]));
    assert_eq!(check.code, NO_FAULT);
    assert!(
        check.out.contains("without starting a limiter"),
        "{}",
        check.out
    );
}

#[test]
fn usage_errors_have_their_own_exit_code() {
    for (arguments, told) in [
        (&["--unknown"][..], "'--unknown'"),
        (&["check", "--unknown", "file"], "'--unknown'"),
        (&["check"], "<FILE>"),
        (&["one", "two"], "'two'"),
        (&["check", "one", "two"], "'two'"),
    ] {
        let said = said(&mut mossrill(arguments));
        assert_eq!((said.code, said.out.as_str()), (USAGE, ""), "{arguments:?}");
        assert!(
            said.err.contains(told) && said.err.contains("Usage:"),
            "{arguments:?}: {}",
            said.err
        );
    }
}

#[test]
fn check_accepts_valid_files_of_both_kinds() {
    let folder = Folder::new("good");
    let platform = folder.file("edge.json", platform_file().to_string());
    for file in [openapi_file(&folder, |_| ()), platform] {
        let said = said(&mut mossrill(&["check", &file]));
        assert_eq!((said.code, said.err.as_str()), (NO_FAULT, ""));
        assert_eq!(said.out, format!("{file}: no fault found\n"));
    }
}

#[test]
fn check_names_file_and_key_of_an_error() {
    let folder = Folder::new("faults");
    let mut platform = platform_file();
    platform["listen"] = "nowhere".into();
    let platform = folder.file("edge.json", platform.to_string());
    let no_description = folder.file("lone.json", r#"{"description": "absent.json"}"#);
    let bad_plan = openapi_file(&folder, |file| file["accounts"][1]["plan"] = "none".into());
    for (file, key) in [
        (platform, "key \"listen\" is \"nowhere\""),
        (no_description, "key \"description\": absent.json: "),
        (bad_plan, "key \"accounts\", entry 1: key \"plan\""),
        (
            folder.file("empty.json", "{}"),
            "key \"description\" is missing",
        ),
    ] {
        let said = said(&mut mossrill(&["check", &file]));
        assert_eq!((said.code, said.out.as_str()), (FAULT, ""), "{file}");
        assert!(
            said.err.starts_with(&file) && said.err.contains(key),
            "{}",
            said.err
        );
        assert_eq!(said.err.lines().count(), 1, "{}", said.err);
    }
}

#[test]
fn files_that_are_no_configuration_are_reported_for_each_way_to_name_one() {
    let folder = Folder::new("unreadable");
    fs::create_dir(folder.path("folder")).expect("a folder");
    let _socket = UnixListener::bind(folder.path("socket")).expect("a socket");
    for (file, why) in [
        (folder.path("absent"), "No such file"),
        (folder.path("folder"), "Is a directory"),
        // Opened by nobody, whatever the rights of the one who runs this.
        (folder.path("socket"), "No such device or address"),
        (
            folder.file("latin-1", b"{\"name\": \"\xe9\"}"),
            "valid UTF-8",
        ),
        (folder.file("text", "name: limiter"), "not JSON"),
        (folder.file("list", "[]"), "key \"description\" is missing"),
    ] {
        let checked = said(&mut mossrill(&["check", &file]));
        assert_eq!((checked.code, checked.out.as_str()), (FAULT, ""), "{file}");
        assert!(
            checked.err.starts_with(&file) && checked.err.contains(why),
            "{}",
            checked.err
        );
        let started = said(&mut mossrill(&[&file]));
        assert_eq!(started.code, FAULT, "{file}");
        let told = started.err.contains("cannot start") && started.err.contains(&file);
        assert!(told && started.err.contains(why), "{}", started.err);
        let on_platform = said(mossrill(&[]).env("EDGE_CONFIG", &file));
        assert_eq!(on_platform.code, FAULT, "{file}");
        assert!(
            on_platform.err.contains("cannot start"),
            "{}",
            on_platform.err
        );
    }
}

#[test]
fn without_a_file_the_missing_variable_is_named() {
    let said = said(&mut mossrill(&[]));
    assert_eq!((said.code, said.out.as_str()), (FAULT, ""));
    assert!(
        said.err.contains("cannot start") && said.err.contains("EDGE_CONFIG is not set"),
        "{}",
        said.err
    );
}

#[test]
fn closed_standard_output_changes_no_exit_code() {
    let folder = Folder::new("closed");
    let file = openapi_file(&folder, |_| ());
    for (arguments, code) in [(&["--help"][..], NO_FAULT), (&["check", &file], NO_FAULT)] {
        let mut child = mossrill(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("a start");
        drop(child.stdout.take());
        let output = child.wait_with_output().expect("an end");
        assert_eq!(output.status.code(), Some(code), "{arguments:?}");
        assert!(
            output.stderr.is_empty(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
    }
}

#[test]
fn limiter_started_with_a_file_shuts_down_in_order() {
    let folder = Folder::new("start");
    let file = openapi_file(&folder, |file| file["listen"] = "127.0.0.1:0".into());
    let mut child = mossrill(&[&file])
        .stderr(Stdio::piped())
        .spawn()
        .expect("a start");
    let mut log = BufReader::new(child.stderr.take().expect("a log"))
        .lines()
        .map_while(Result::ok);
    assert!(
        log.any(|line| line.contains("listening")),
        "ended without listening"
    );
    let kill = format!("kill -TERM {}", child.id());
    assert!(Command::new("sh")
        .args(["-c", &kill])
        .status()
        .expect("a shell")
        .success());
    assert!(
        log.any(|line| line.contains("stopped")),
        "ended without order"
    );
    assert_eq!(child.wait().expect("an end").code(), Some(NO_FAULT));
}
