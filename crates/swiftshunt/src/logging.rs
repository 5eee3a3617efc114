//! Structured logs: one JSON object per line.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant, SystemTime};

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};
use swiftshunt_config::LogLevel;

/// Identifier of the node or name of the gateway, written into each log line once it is set.
static NODE: OnceLock<String> = OnceLock::new();

/// Adds the node's identifier to all later log lines.
pub(crate) fn set_node(id: String) {
    // Each process runs one node and calls this once; a second call would have no effect.
    drop(NODE.set(id));
}

/// Starts logging at `level` on standard error; fails if a logger is already installed.
pub(crate) fn start(level: LogLevel) -> Result<(), log::SetLoggerError> {
    dispatch(level).chain(std::io::stderr()).apply()
}

/// Starts logging at `level` on standard output through a bounded buffer; logging never blocks the
/// caller. Fails if a logger is already installed.
pub(crate) fn start_buffered(level: LogLevel) -> Result<(), log::SetLoggerError> {
    let lines = BufferedLines::start();
    dispatch(level)
        .chain(fern::Output::call(move |record| lines.push(record.args())))
        .apply()
}

fn dispatch(level: LogLevel) -> fern::Dispatch {
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("swiftshunt", level_filter(level))
        .level_for("swiftshunt_node", level_filter(level))
        .level_for("swiftshunt_gateway", level_filter(level))
        .format(|out, message, record| out.finish(format_args!("{}", line(message, record))))
}

/// Maximum number of buffered lines; further ones are dropped and counted.
const BUFFERED_LINES: usize = 8_192;
/// Pause between writes, so that one system call writes many lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time that a stopping process waits until its last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which `flush` checks whether all lines are written.
const FLUSH_POLL: Duration = Duration::from_millis(10);

/// Number of lines that are buffered and not yet written.
static UNWRITTEN: AtomicU64 = AtomicU64::new(0);

/// Waits until all buffered lines are written, for at most `FLUSH_TIMEOUT`.
pub(crate) fn flush() {
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    while UNWRITTEN.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
        std::thread::sleep(FLUSH_POLL);
    }
}

/// A bounded buffer of log lines that a thread writes to standard output. Lines that arrive while it is
/// full are dropped and counted.
struct BufferedLines {
    sender: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl BufferedLines {
    fn start() -> Self {
        let (sender, receiver) = sync_channel(BUFFERED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_count = Arc::clone(&dropped);
        std::thread::spawn(move || write_lines(&receiver, &dropped_count));
        Self { sender, dropped }
    }

    fn push(&self, line: &std::fmt::Arguments<'_>) {
        UNWRITTEN.fetch_add(1, Ordering::AcqRel);
        if self.sender.try_send(line.to_string()).is_err() {
            UNWRITTEN.fetch_sub(1, Ordering::AcqRel);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_lines(receiver: &Receiver<String>, dropped: &AtomicU64) {
    let mut output = std::io::stdout();
    while let Ok(first) = receiver.recv() {
        let mut text = first;
        text.push('\n');
        let mut lines = 1;
        for line in receiver.try_iter() {
            lines += 1;
            text.push_str(&line);
            text.push('\n');
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line = json!({"level": "warn", "message": "log lines dropped", "count": lost});
            text.push_str(&line.to_string());
            text.push('\n');
        }
        // If standard output is closed, there is nowhere to report the failed write.
        drop(
            output
                .write_all(text.as_bytes())
                .and_then(|()| output.flush()),
        );
        UNWRITTEN.fetch_sub(lines, Ordering::AcqRel);
        std::thread::sleep(WRITE_INTERVAL);
    }
}

fn level_filter(level: LogLevel) -> log::LevelFilter {
    match level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
        LogLevel::Trace => log::LevelFilter::Trace,
    }
}

fn line(message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> serde_json::Value {
    let mut fields = Map::new();
    let time = humantime::format_rfc3339_millis(SystemTime::now());
    fields.insert("time".to_owned(), json!(time.to_string()));
    fields.insert(
        "level".to_owned(),
        json!(record.level().as_str().to_lowercase()),
    );
    fields.insert("target".to_owned(), json!(record.target()));
    if let Some(node) = NODE.get() {
        fields.insert("node".to_owned(), json!(node));
    }
    fields.insert("message".to_owned(), json!(message.to_string()));
    // The visitor below never fails.
    drop(record.key_values().visit(&mut FieldWriter(&mut fields)));
    serde_json::Value::Object(fields)
}

struct FieldWriter<'m>(&'m mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_i64(), value.to_f64()) {
            (Some(number), _, _) => json!(number),
            (_, Some(number), _) => json!(number),
            (_, _, Some(number)) => json!(number),
            _ => json!(value.to_string()),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
