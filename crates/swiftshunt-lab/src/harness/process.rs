//! One real process, ended with its owner.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};

use derive_more::{Display, Error, From};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// Why a process cannot be run.
#[derive(Debug, Display, Error, From)]
pub enum HarnessError {
    /// The system refused.
    #[display("{_0}")]
    System(std::io::Error),
    /// The process ended or said something else than where it listens.
    #[display("process did not announce itself: {line}")]
    #[from(ignore)]
    NotAnnounced {
        /// What it said.
        line: String,
    },
}

/// Reads up to the line that tells where the process listens; log lines may come before it.
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

/// Keeps what a process writes after its announcement beside its other log.
fn copy_stdout_to_log(mut stdout: BufReader<ChildStdout>, mut log: File) {
    // The copy ends with the process; what it could not write is lost with the log.
    drop(std::io::copy(&mut stdout, &mut log));
}

/// A process that was started here and is killed when dropped.
pub struct Process {
    child: Child,
    announced: Value,
}

impl Process {
    /// Starts a program and waits for the line that tells where it listens. Its log goes to
    /// `log_file`.
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
                line: "no standard output".to_owned(),
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

    /// A field of the announcement.
    pub fn announced(&self, field: &str) -> &str {
        self.announced[field].as_str().unwrap_or_default()
    }

    /// SIGKILL, and waits until the process is gone.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// SIGKILL, without waiting.
    pub fn signal_kill(&self) {
        self.signal(Signal::KILL);
    }

    /// SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// SIGTERM: a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// SIGHUP: the settings file has changed.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// The exit status, once the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn signal(&self, signal: Signal) {
        if let Err(error) = kill_process(Pid::from_child(&self.child), signal) {
            eprintln!("process has already gone: {error}");
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
