//! A child process that is killed when its handle is dropped.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};

use derive_more::{Display, Error, From};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// Why a process could not be started.
#[derive(Debug, Display, Error, From)]
pub enum HarnessError {
    /// A call to the operating system failed.
    #[display("{_0}")]
    System(std::io::Error),
    /// The process ended, or wrote a line that is not JSON, before it announced its address.
    #[display("process did not announce its address; it wrote: {line:?}")]
    #[from(ignore)]
    NotAnnounced {
        /// The line; empty if standard output ended.
        line: String,
    },
}

/// Reads standard output up to the line that announces the address. JSON log lines before it are skipped.
fn read_announcement(
    mut stdout: BufReader<ChildStdout>,
) -> Result<(Value, BufReader<ChildStdout>), HarnessError> {
    loop {
        let mut line = String::new();
        stdout.read_line(&mut line)?;
        let Ok(value) = serde_json::from_str::<Value>(&line) else {
            return Err(HarnessError::NotAnnounced { line });
        };
        if value["event"] == "listening" {
            return Ok((value, stdout));
        }
    }
}

/// Copies the standard output after the announcement to the log file.
fn copy_stdout_to_log(mut stdout: BufReader<ChildStdout>, mut log: File) {
    // The copy ends with the process. A failed write only loses log lines.
    drop(std::io::copy(&mut stdout, &mut log));
}

/// A running child process, killed when dropped.
pub struct Process {
    child: Child,
    announced: Value,
}

impl Process {
    /// Starts a program and waits until it announces its address on standard output. Its standard error, and its
    /// standard output after the announcement, are appended to `log_file`.
    pub fn start(
        program: &Path,
        arguments: &[String],
        log_file: &Path,
    ) -> Result<Self, HarnessError> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log_file)?;
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| HarnessError::NotAnnounced {
                line: "(standard output is not captured)".to_owned(),
            })?;
        let stdout = BufReader::new(stdout);
        match read_announcement(stdout) {
            Ok((announced, stdout)) => {
                let log = std::fs::OpenOptions::new().append(true).open(log_file)?;
                std::thread::spawn(move || copy_stdout_to_log(stdout, log));
                Ok(Self { child, announced })
            }
            Err(error) => {
                drop(child.kill());
                drop(child.wait());
                Err(error)
            }
        }
    }

    /// Returns a text field of the announcement; empty if it is missing.
    pub fn announced(&self, field: &str) -> &str {
        self.announced[field].as_str().unwrap_or_default()
    }

    /// Returns the process's identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGKILL and waits until the process has ended.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Sends SIGKILL without waiting for the end of the process.
    pub fn signal_kill(&self) {
        self.signal(Signal::KILL);
    }

    /// Sends SIGSTOP, which pauses the process.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Sends SIGCONT, which resumes a paused process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends SIGTERM, which begins a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGHUP, which makes the process reload its settings file.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Returns the exit status; `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn signal(&self, signal: Signal) {
        if let Err(error) = kill_process(Pid::from_child(&self.child), signal) {
            eprintln!("cannot send {signal:?}; process may have ended already: {error}");
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
