//! `swiftshunt explain` joins the logs of many processes into one timeline with a cause.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const FIRST_LOG: &str = r#"{"time":"2026-12-02T10:00:01.200Z","node":"gateway-1","level":"info","message":"given up","request":"r1","reason":"it may have run and may not be repeated","end":"Failed","waited_ms":30}
{"time":"2026-12-02T10:00:01.190Z","node":"gateway-1","level":"info","message":"a send failed","request":"r1","worker":"w7","failure":"broken: connection error","sends":1}
{"time":"2026-12-02T10:00:01.100Z","node":"gateway-1","level":"info","message":"answered","request":"r2","worker":"w1","status":200,"waited_ms":410}
"#;

/// A log as a collector stores it: each line has a prefix of time and process name, and the collector adds
/// lines of its own.
const SECOND_LOG: &str = r#"the collector starts
   9.1 gateway-2 {"time":"2026-12-02T10:00:01.195Z","node":"gateway-2","level":"info","message":"worker gone","worker":"w7"}
   9.3 gateway-2 {"time":"2026-12-02T10:00:01.150Z","node":"gateway-2","level":"info","message":"worker gone","worker":"w9"}
"#;

fn write_log(name: &str, text: &str) -> PathBuf {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, text).expect("the file was not written");
    file
}

fn explain(id: &str) -> Output {
    let one = write_log(&format!("explain-{id}-1.log"), FIRST_LOG);
    let two = write_log(&format!("explain-{id}-2.log"), SECOND_LOG);
    Command::new(env!("CARGO_BIN_EXE_swiftshunt"))
        .args(["explain", id, "--logs"])
        .arg(two)
        .arg("--logs")
        .arg(one)
        .output()
        .expect("the program did not start")
}

#[test]
fn lines_are_ordered_by_time_with_events_of_their_worker() {
    let output = explain("r1");
    assert!(output.status.success(), "{output:?}");
    let report = String::from_utf8_lossy(&output.stdout).into_owned();
    let position = |text: &str| {
        report
            .find(text)
            .unwrap_or_else(|| panic!("`{text}` is not in the report: {report}"))
    };
    assert!(position("a send failed") < position("given up"));
    assert!(position("meanwhile:") < position("gateway-2 worker gone worker=w7"));
    assert!(!report.contains("r2") && !report.contains("w9"), "{report}");
    let cause = "cause: it was given up, since it may have run and may not be repeated after \
                 failed sends: broken: connection error at w7";
    assert!(report.contains(cause), "{report}");
}

#[test]
fn an_identifier_that_no_line_names_is_an_error() {
    let output = explain("r9");
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(error.contains("no line names `r9`"), "{error}");
}

#[test]
fn an_unreadable_log_is_named_in_the_error() {
    let output = Command::new(env!("CARGO_BIN_EXE_swiftshunt"))
        .args(["explain", "r1", "--logs", "no-such-file.log"])
        .output()
        .expect("the program did not start");
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(error.contains("no-such-file.log"), "{error}");
}
