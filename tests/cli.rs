//! Tests of the command line: what the program prints to which stream, and its exit code.

mod peers;

use peers::{quota_counter, settings, silent_discovery};
use serde_json::Value;
use std::fs;
use std::io::{BufRead, BufReader};
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

const EXIT_SUCCESS: i32 = 0;
const EXIT_FAILURE: i32 = 1;
const EXIT_USAGE: i32 = 2;

/// Returns a command that runs the program with no configuration in its environment.
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

/// Result of a run of the program.
struct RunResult {
    exit_code: i32,
    stdout: String,
    stderr: String,
}

/// Runs the program to its end; it must not panic.
fn run(command: &mut Command) -> RunResult {
    let Output {
        status,
        stdout,
        stderr,
    } = command.output().expect("the program starts");
    let text = |bytes| String::from_utf8(bytes).expect("the output is UTF-8");
    let result = RunResult {
        exit_code: status
            .code()
            .expect("the program was not ended by a signal"),
        stdout: text(stdout),
        stderr: text(stderr),
    };
    assert!(
        !result.stderr.contains("panicked"),
        "the program panicked: {}",
        result.stderr
    );
    result
}

/// A temporary folder of one test; removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("mossrill-cli-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("the temporary folder is created");
        Self(path)
    }

    fn path(&self, name: &str) -> String {
        self.0
            .join(name)
            .to_str()
            .expect("the path is UTF-8")
            .to_owned()
    }

    /// Writes a file and returns its path.
    fn file(&self, name: &str, content: impl AsRef<[u8]>) -> String {
        fs::write(self.0.join(name), content).expect("the file is written");
        self.path(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns a valid configuration of a limiter on the platform.
fn platform_config() -> Value {
    settings(
        silent_discovery(),
        quota_counter().0,
        &[("s-1", "127.0.0.1:9".parse().expect("the address is valid"))],
    )
}

/// Writes the configuration in `deploy/`, changed by `change`, beside its OpenAPI description, and
/// returns its path.
fn openapi_file(folder: &Folder, change: impl Fn(&mut Value)) -> String {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy");
    let description =
        fs::read(deploy.join("ferry.openapi.json")).expect("the description is readable");
    folder.file("ferry.openapi.json", description);
    let text =
        fs::read_to_string(deploy.join("openapi.json")).expect("the configuration is readable");
    let mut value: Value = serde_json::from_str(&text).expect("the configuration is JSON");
    change(&mut value);
    folder.file("openapi.json", value.to_string())
}

#[test]
fn help_and_version_go_to_standard_output() {
    for flag in ["--help", "-h"] {
        let result = run(&mut mossrill(&[flag]));
        assert_eq!(
            (result.exit_code, result.stderr.as_str()),
            (EXIT_SUCCESS, "")
        );
        for expected in [
            "Usage:",
            "mossrill check openapi.json",
            "EDGE_CONFIG=",
            "SIGHUP",
            "Exit codes",
        ] {
            assert!(
                result.stdout.contains(expected),
                "no {expected:?} in {}",
                result.stdout
            );
        }
    }
    let version = format!("mossrill {}\n", env!("CARGO_PKG_VERSION"));
    for flag in ["--version", "-V"] {
        let result = run(&mut mossrill(&[flag]));
        assert_eq!(
            (result.exit_code, result.stdout, result.stderr.as_str()),
            (EXIT_SUCCESS, version.clone(), "")
        );
    }
    let check = run(&mut mossrill(&["check", "--help"]));
    assert_eq!(check.exit_code, EXIT_SUCCESS);
    assert!(
        check.stdout.contains("without starting a limiter"),
        "the help of `check` lacks its description: {}",
        check.stdout
    );
}

#[test]
fn usage_errors_have_their_own_exit_code() {
    for (arguments, named) in [
        (&["--unknown"][..], "'--unknown'"),
        (&["check", "--unknown", "file"], "'--unknown'"),
        (&["check"], "<FILE>"),
        (&["one", "two"], "'two'"),
        (&["check", "one", "two"], "'two'"),
    ] {
        let result = run(&mut mossrill(arguments));
        assert_eq!(
            (result.exit_code, result.stdout.as_str()),
            (EXIT_USAGE, ""),
            "{arguments:?}"
        );
        assert!(
            result.stderr.contains(named) && result.stderr.contains("Usage:"),
            "expected {named} and the usage for {arguments:?}, got: {}",
            result.stderr
        );
    }
}

#[test]
fn check_accepts_valid_files_of_both_kinds() {
    let folder = Folder::new("good");
    let platform = folder.file("edge.json", platform_config().to_string());
    for file in [openapi_file(&folder, |_| ()), platform] {
        let result = run(&mut mossrill(&["check", &file]));
        assert_eq!(
            (result.exit_code, result.stderr.as_str()),
            (EXIT_SUCCESS, "")
        );
        assert_eq!(result.stdout, format!("{file}: no fault found\n"));
    }
}

#[test]
fn check_names_file_and_key_of_an_error() {
    let folder = Folder::new("faults");
    let mut platform = platform_config();
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
        let result = run(&mut mossrill(&["check", &file]));
        assert_eq!(
            (result.exit_code, result.stdout.as_str()),
            (EXIT_FAILURE, ""),
            "{file}"
        );
        assert!(
            result.stderr.starts_with(&file) && result.stderr.contains(key),
            "expected {file} and {key}, got: {}",
            result.stderr
        );
        assert_eq!(
            result.stderr.lines().count(),
            1,
            "expected one line, got: {}",
            result.stderr
        );
    }
}

#[test]
fn check_start_and_edge_config_report_unusable_files() {
    let folder = Folder::new("unreadable");
    fs::create_dir(folder.path("folder")).expect("the folder is created");
    let _socket = UnixListener::bind(folder.path("socket")).expect("the socket is bound");
    for (file, cause) in [
        (folder.path("absent"), "No such file"),
        (folder.path("folder"), "Is a directory"),
        // A socket can't be opened as a file, not even by root.
        (folder.path("socket"), "No such device or address"),
        (
            folder.file("latin-1", b"{\"name\": \"\xe9\"}"),
            "valid UTF-8",
        ),
        (folder.file("text", "name: limiter"), "not JSON"),
        (folder.file("list", "[]"), "key \"description\" is missing"),
    ] {
        let checked = run(&mut mossrill(&["check", &file]));
        assert_eq!(
            (checked.exit_code, checked.stdout.as_str()),
            (EXIT_FAILURE, ""),
            "{file}"
        );
        assert!(
            checked.stderr.starts_with(&file) && checked.stderr.contains(cause),
            "expected {file} and {cause:?} from `check`, got: {}",
            checked.stderr
        );
        let started = run(&mut mossrill(&[&file]));
        assert_eq!(started.exit_code, EXIT_FAILURE, "{file}");
        let reports_file =
            started.stderr.contains("cannot start") && started.stderr.contains(&file);
        assert!(
            reports_file && started.stderr.contains(cause),
            "expected {file} and {cause:?} from the start, got: {}",
            started.stderr
        );
        let on_platform = run(mossrill(&[]).env("EDGE_CONFIG", &file));
        assert_eq!(on_platform.exit_code, EXIT_FAILURE, "{file}");
        assert!(
            on_platform.stderr.contains("cannot start"),
            "expected a failed start with EDGE_CONFIG={file}, got: {}",
            on_platform.stderr
        );
    }
}

#[test]
fn start_without_a_file_names_the_missing_variable() {
    let result = run(&mut mossrill(&[]));
    assert_eq!(
        (result.exit_code, result.stdout.as_str()),
        (EXIT_FAILURE, "")
    );
    assert!(
        result.stderr.contains("cannot start") && result.stderr.contains("EDGE_CONFIG is not set"),
        "expected the name of the missing variable, got: {}",
        result.stderr
    );
}

#[test]
fn closed_standard_output_changes_no_exit_code() {
    let folder = Folder::new("closed");
    let file = openapi_file(&folder, |_| ());
    for (arguments, code) in [
        (&["--help"][..], EXIT_SUCCESS),
        (&["check", &file], EXIT_SUCCESS),
    ] {
        let mut child = mossrill(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        drop(child.stdout.take());
        let output = child.wait_with_output().expect("the program ends");
        assert_eq!(output.status.code(), Some(code), "{arguments:?}");
        assert!(
            output.stderr.is_empty(),
            "expected nothing on standard error, got: {}",
            String::from_utf8_lossy(&output.stderr)
        );
    }
}

#[test]
fn limiter_started_with_a_file_exits_with_success_on_sigterm() {
    let folder = Folder::new("start");
    let file = openapi_file(&folder, |file| file["listen"] = "127.0.0.1:0".into());
    let mut child = mossrill(&[&file])
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut log = BufReader::new(child.stderr.take().expect("standard error is piped"))
        .lines()
        .map_while(Result::ok);
    assert!(
        log.any(|line| line.contains("listening")),
        "the program ended before it logged \"listening\""
    );
    let kill = format!("kill -TERM {}", child.id());
    assert!(Command::new("sh")
        .args(["-c", &kill])
        .status()
        .expect("the shell starts")
        .success());
    assert!(
        log.any(|line| line.contains("stopped")),
        "the program ended before it logged \"stopped\""
    );
    assert_eq!(
        child.wait().expect("the program ends").code(),
        Some(EXIT_SUCCESS)
    );
}
