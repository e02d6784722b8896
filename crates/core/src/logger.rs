//! Installs the process-wide logger, as text or as JSON lines on standard output.
//!
//! Lines go through a bounded queue to a thread of their own, so that nothing waits for whoever reads them. Lines
//! that find the queue full are left out and counted.

use std::io::{self, Write};
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use log::LevelFilter;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};

/// Layout of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Lines for people.
    Text,
    /// One JSON object a line.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("{text:?} is not a log format; write \"text\" or \"json\"")),
        }
    }
}

/// Lines that may wait to be written.
const QUEUE: usize = 1_024;
/// Longest time for waiting lines to be written at the end of the process.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// What waits to be written.
enum Output {
    Line(Vec<u8>),
    /// Asks for word once everything before is written.
    Flush(SyncSender<()>),
}

/// Queue of the installed logger.
static OUTPUT: OnceLock<SyncSender<Output>> = OnceLock::new();

/// Hands lines to the writing thread.
struct Lines {
    sender: SyncSender<Output>,
    left_out: Arc<AtomicU64>,
}

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.sender.try_send(Output::Line(bytes.to_vec())) {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the process ends.
fn write_lines(lines: &Receiver<Output>, left_out: &AtomicU64) {
    let mut out = io::stdout();
    while let Ok(output) = lines.recv() {
        let missing = left_out.swap(0, Ordering::Relaxed);
        if missing > 0 {
            let note = json!({ "message": "log lines were left out", "lines": missing });
            // Nobody can be told of a log that can't be written.
            let _written = writeln!(out, "{note}");
        }
        match output {
            Output::Line(bytes) => {
                let _written = out.write_all(&bytes);
            }
            Output::Flush(done) => {
                let _flushed = out.flush();
                // The process may have stopped waiting.
                let _told = done.try_send(());
            }
        }
    }
}

/// Waits until all lines so far are written, at most a short time.
pub fn flush() {
    let Some(output) = OUTPUT.get() else { return };
    let (sender, done) = sync_channel(1);
    if output.try_send(Output::Flush(sender)).is_ok() {
        // The time is up or the lines are written; the process ends either way.
        let _outcome = done.recv_timeout(FLUSH_LIMIT);
    }
}

/// Allows a number of lines a second and counts those left out since the last allowed one.
#[derive(Debug)]
pub struct LogRateLimiter {
    state: Mutex<BudgetState>,
    per_second: u32,
}

#[derive(Debug, Default)]
struct BudgetState {
    second: u64,
    written: u32,
    left_out: u64,
}

impl LogRateLimiter {
    /// Makes a budget of `per_second` lines a second.
    pub fn new(per_second: u32) -> Self {
        Self { state: Mutex::default(), per_second }
    }

    /// Returns the number of lines left out since the last allowed one, or `None` to leave this one out too.
    pub fn allow(&self, now_ms: u64) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.second != now_ms / 1_000 {
            state.second = now_ms / 1_000;
            state.written = 0;
        }
        if state.written >= self.per_second {
            state.left_out += 1;
            return None;
        }
        state.written += 1;
        Some(std::mem::take(&mut state.left_out))
    }
}

/// Installs the logger; a second call has no effect.
pub fn install(format: Format, level: LevelFilter) {
    let (sender, lines) = sync_channel(QUEUE);
    let left_out = Arc::<AtomicU64>::default();
    let counter = Arc::clone(&left_out);
    let run = move || write_lines(&lines, &counter);
    let thread = std::thread::Builder::new().name("log".to_owned()).spawn(run);
    assert!(thread.is_ok(), "the operating system refused a thread");
    // The first logger stays, as below.
    let _first = OUTPUT.set(sender.clone());
    let mut builder = env_logger::Builder::new();
    builder.target(env_logger::Target::Pipe(Box::new(Lines { sender, left_out })));
    builder.filter_level(LevelFilter::Warn);
    builder.filter_module("kingcuplift", level);
    if format == Format::Json {
        builder.format(|out, record| writeln!(out, "{}", json_line(record)));
    }
    let installed = builder.try_init();
    debug_assert!(installed.is_ok() || log::max_level() >= LevelFilter::Off, "a logger is present");
}

/// Formats one record as a JSON object.
fn json_line(record: &log::Record<'_>) -> serde_json::Value {
    let mut fields = Fields(Map::new());
    fields.0.insert("time".into(), json!(jiff::Timestamp::now().to_string()));
    fields.0.insert("level".into(), json!(record.level().as_str()));
    fields.0.insert("message".into(), json!(record.args().to_string()));
    let visited = record.key_values().visit(&mut fields);
    debug_assert!(visited.is_ok(), "visiting key-values can't fail");
    serde_json::Value::Object(fields.0)
}

/// Collects key-value pairs into a JSON object.
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match value.to_u64() {
            Some(number) => json!(number),
            None => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
