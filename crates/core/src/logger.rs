//! Installs the process-wide logger, as text or as JSON lines on standard output.
//!
//! Lines pass through a bounded queue to a writer thread, so that a slow reader of standard output never blocks
//! the process. Lines that do not fit into the queue are dropped and counted.

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
    /// Human-readable lines.
    Text,
    /// One JSON object per line.
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

/// Capacity of the queue, in lines.
const QUEUE_CAPACITY: usize = 1_024;
/// Longest wait for the queued lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Item of the queue to the writer thread.
enum QueueItem {
    Line(Vec<u8>),
    /// Requests a notification once all earlier items are written.
    Flush(SyncSender<()>),
}

/// Queue of the installed logger.
static QUEUE: OnceLock<SyncSender<QueueItem>> = OnceLock::new();

/// Passes lines to the writer thread and drops those that do not fit into the queue.
struct QueueWriter {
    sender: SyncSender<QueueItem>,
    dropped: Arc<AtomicU64>,
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.sender.try_send(QueueItem::Line(bytes.to_vec())) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the process ends.
fn write_lines(items: &Receiver<QueueItem>, dropped: &AtomicU64) {
    let mut out = io::stdout();
    while let Ok(item) = items.recv() {
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let note = json!({ "message": "log lines were dropped", "lines": lost });
            // A failure to write the log can't be reported anywhere.
            let _written = writeln!(out, "{note}");
        }
        match item {
            QueueItem::Line(bytes) => {
                let _written = out.write_all(&bytes);
            }
            QueueItem::Flush(done) => {
                let _flushed = out.flush();
                // `flush` may have timed out.
                let _notified = done.try_send(());
            }
        }
    }
}

/// Waits until all lines so far are written, at most [`FLUSH_TIMEOUT`].
pub fn flush() {
    let Some(queue) = QUEUE.get() else { return };
    let (sender, done) = sync_channel(1);
    if queue.try_send(QueueItem::Flush(sender)).is_ok() {
        // The process ends whether or not the lines were written in time.
        let _outcome = done.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Allows a number of lines per second and counts those suppressed since the last allowed one.
#[derive(Debug)]
pub struct LogRateLimiter {
    state: Mutex<RateLimiterState>,
    per_second: u32,
}

#[derive(Debug, Default)]
struct RateLimiterState {
    second: u64,
    written: u32,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Creates a limiter for `per_second` lines per second.
    pub fn new(per_second: u32) -> Self {
        Self { state: Mutex::default(), per_second }
    }

    /// Returns the number of lines suppressed since the last allowed one, or `None` if this line is suppressed too.
    pub fn allow(&self, now_ms: u64) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.second != now_ms / 1_000 {
            state.second = now_ms / 1_000;
            state.written = 0;
        }
        if state.written >= self.per_second {
            state.suppressed += 1;
            return None;
        }
        state.written += 1;
        Some(std::mem::take(&mut state.suppressed))
    }
}

/// Installs the logger; a second call has no effect.
pub fn install(format: Format, level: LevelFilter) {
    let (sender, items) = sync_channel(QUEUE_CAPACITY);
    let dropped = Arc::<AtomicU64>::default();
    let counter = Arc::clone(&dropped);
    let run = move || write_lines(&items, &counter);
    let thread = std::thread::Builder::new().name("log".to_owned()).spawn(run);
    assert!(thread.is_ok(), "the operating system can't start the log thread");
    // A second call leaves the first queue and logger in place.
    let _first = QUEUE.set(sender.clone());
    let mut builder = env_logger::Builder::new();
    builder.target(env_logger::Target::Pipe(Box::new(QueueWriter { sender, dropped })));
    builder.filter_level(LevelFilter::Warn);
    builder.filter_module("kingcuplift", level);
    if format == Format::Json {
        builder.format(|out, record| writeln!(out, "{}", json_line(record)));
    }
    let installed = builder.try_init();
    debug_assert!(
        installed.is_ok() || log::max_level() >= LevelFilter::Off,
        "a logger is installed"
    );
}

/// Formats one record as a JSON object.
fn json_line(record: &log::Record<'_>) -> serde_json::Value {
    let mut fields = Fields(Map::new());
    fields.0.insert("time".into(), json!(jiff::Timestamp::now().to_string()));
    fields.0.insert("level".into(), json!(record.level().as_str()));
    fields.0.insert("message".into(), json!(record.args().to_string()));
    let visited = record.key_values().visit(&mut fields);
    debug_assert!(visited.is_ok(), "collecting key-value pairs can't fail");
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
