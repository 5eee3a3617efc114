//! The command line refuses invalid settings before it opens any listener, and names file, field and reason.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use test_case::test_case;

fn swiftshunt(arguments: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_swiftshunt"))
        .args(arguments)
        .output();
    output.expect("the program did not start")
}

fn write_settings(name: &str, text: &str) -> PathBuf {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, text).expect("the file was not written");
    file
}

const VALID_SETTINGS: &str = r#"
zone = "zg-a"
zones = ["zg-a", "zg-b", "zg-c"]

[listen]
api = "127.0.0.1:0"
peer = "127.0.0.1:0"

[platform]
log = "127.0.0.1:1"
machines = "127.0.0.1:1"
"#;

#[test]
fn valid_settings_pass() {
    let file = write_settings("good.toml", VALID_SETTINGS);
    let output = swiftshunt(&["check-config", &file.display().to_string()]);
    assert!(output.status.success(), "{output:?}");
}

#[test_case("zoom = 1\n", "", &[":1:", "zoom"]; "unknown key")]
#[test_case("", "[ledger]\nelection_timeout = \"-3s\"\n", &["election_timeout"]; "impossible duration")]
#[test_case("", "[ledger]\nelection_timeout = \"1ms\"\n", &["ledger.election_timeout", "heartbeat"]; "election timeout shorter than the heartbeat")]
#[test_case("seeds = [\"nowhere\"]\n", "", &[":1:", "seeds"]; "bad address")]
#[test_case("", "[[operators]]\nname = \"x\"\ntoken_digest = \"12\"\n", &["operators[0].token_digest", "64"]; "token in place of a digest")]
fn invalid_settings_are_refused(head: &str, tail: &str, expected: &[&str]) {
    let name = format!(
        "wrong-{}.toml",
        expected.join("-").replace([':', '[', ']', '.'], "_")
    );
    let file = write_settings(&name, &format!("{head}{VALID_SETTINGS}{tail}"))
        .display()
        .to_string();
    for arguments in [vec!["check-config", &file], vec!["node", "--config", &file]] {
        let output = swiftshunt(&arguments);
        assert_eq!(output.status.code(), Some(2), "{output:?}");
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(error.contains(&file), "{error}");
        for part in expected {
            assert!(error.contains(part), "{part} is not in: {error}");
        }
        assert!(
            output.stdout.is_empty(),
            "the node printed listening addresses: {output:?}"
        );
    }
}

#[test]
fn flags_are_checked_like_the_file() {
    let file = write_settings("flags.toml", VALID_SETTINGS)
        .display()
        .to_string();
    let output = swiftshunt(&["node", "--config", &file, "--zone", "elsewhere"]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(
        error.contains("zone") && error.contains("with flags"),
        "{error}"
    );
}

#[test]
fn an_address_in_use_is_reported_with_its_setting() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("the port did not open");
    let address = listener
        .local_addr()
        .expect("the listener has no address")
        .to_string();
    let file = write_settings("taken.toml", VALID_SETTINGS)
        .display()
        .to_string();
    let output = swiftshunt(&["node", "--config", &file, "--api", &address]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(
        error.contains("listen.api") && error.contains(&address),
        "{error}"
    );
}

#[test]
fn an_invalid_statement_is_reported_with_its_column() {
    let arguments = ["ctl", "--node", "127.0.0.1:1", "--token", "t", "show nods"];
    let output = swiftshunt(&arguments);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(
        error.contains("column 6") && error.contains("a table"),
        "{error}"
    );
}

#[test]
fn an_unreachable_node_has_its_own_exit_code() {
    let arguments = ["ctl", "--node", "127.0.0.1:1", "--token", "t", "show nodes"];
    assert_eq!(swiftshunt(&arguments).status.code(), Some(3));
}

#[test_case("stolnica-node.toml", false; "stolnica node")]
#[test_case("ruhuna-node.toml", false; "ruhuna node")]
#[test_case("stolnica-fleet.toml", true; "stolnica fleet")]
#[test_case("ruhuna-fleet.toml", true; "ruhuna fleet")]
fn the_examples_pass(name: &str, is_fleet: bool) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name);
    let file = file.display().to_string();
    let mut arguments = vec!["check-config", &file];
    if is_fleet {
        arguments.push("--fleet");
    }
    let output = swiftshunt(&arguments);
    assert!(output.status.success(), "{output:?}");
}
