//! The source of log lines.
//!
//! Guards against work that is done only at some log levels: the arguments of a log line are not evaluated below its level.

use std::fs;
use std::path::{Path, PathBuf};

/// Beginnings of log lines.
const LOG_MACROS: [&str; 5] = [
    "log::trace!(",
    "log::debug!(",
    "log::info!(",
    "log::warn!(",
    "log::error!(",
];

fn source_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder is unreadable") {
        let path = entry.expect("an entry is unreadable").path();
        if path.is_dir() {
            source_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// Returns the text up to the parenthesis that closes the one before it. Texts in log lines have no unpaired parentheses.
fn arguments(text: &str) -> &str {
    let mut depth = 1;
    for (position, character) in text.char_indices() {
        match character {
            '(' => depth += 1,
            ')' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return &text[..position];
        }
    }
    text
}

/// Guards against calls that are made only at some log levels: the removal from the list of gateways once was.
#[test]
fn no_log_line_awaits_a_call_in_its_arguments() {
    let workspace = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut files = Vec::new();
    source_files(&workspace.join("platform/src"), &mut files);
    let crates = fs::read_dir(workspace.join("crates")).expect("the crates are unreadable");
    for member in crates {
        let member = member.expect("an entry is unreadable").path();
        source_files(&member.join("src"), &mut files);
    }
    let mut log_lines = 0;
    for file in files {
        let source = fs::read_to_string(&file).expect("a file is unreadable");
        let found = LOG_MACROS
            .iter()
            .flat_map(|begin| source.match_indices(begin));
        for (position, begin) in found {
            log_lines += 1;
            let arguments = arguments(&source[position + begin.len()..]);
            assert!(
                !arguments.contains(".await"),
                "{}: {arguments}",
                file.display()
            );
        }
    }
    assert!(log_lines > 100, "only {log_lines} log lines were found");
}
