//! Metrics of the process, in the Prometheus text format.

use std::sync::{Arc, LazyLock, Mutex, MutexGuard, PoisonError};

use actix_web::HttpResponse;
use prometheus::{
    CounterVec, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

use crate::upstream::LinkMeter;

/// Bucket bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0, 5.0];

/// Bucket bounds of the ages of load reports, in seconds.
const REPORT_AGE_BUCKETS_S: [f64; 8] = [0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0];

static REGISTRY: LazyLock<Registry> = LazyLock::new(Registry::new);

/// Calls from callers to this node, by result code; 0 means that a target responded.
pub(crate) static CALLS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter("kingcuplift_calls_total", "Calls from callers by result code.", "code")
});

/// Calls to the local targets of this node, by result code.
pub(crate) static TARGET_CALLS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter("kingcuplift_target_calls_total", "Calls to targets beside the node.", "code")
});

/// Latency of calls from callers, in seconds.
pub(crate) static CALL_TIME: LazyLock<Histogram> = LazyLock::new(|| {
    let opts = HistogramOpts::new("kingcuplift_call_seconds", "Time of calls from callers.");
    let histogram = Histogram::with_opts(opts.buckets(LATENCY_BUCKETS_S.to_vec()))
        .expect("the options are constant and valid");
    register(histogram.clone());
    histogram
});

/// Latency of calls to the local targets of this node, in seconds.
pub(crate) static TARGET_TIME: LazyLock<Histogram> = LazyLock::new(|| {
    let opts = HistogramOpts::new(
        "kingcuplift_target_seconds",
        "Time that targets beside the node took for calls.",
    );
    let histogram = Histogram::with_opts(opts.buckets(LATENCY_BUCKETS_S.to_vec()))
        .expect("the options are constant and valid");
    register(histogram.clone());
    histogram
});

/// Time that calls waited for a slot of a local target, in seconds; calls that found a free slot are not included.
pub(crate) static QUEUE_TIME: LazyLock<Histogram> = LazyLock::new(|| {
    let opts = HistogramOpts::new(
        "kingcuplift_queue_seconds",
        "Time that calls waited for a slot of a target beside the node.",
    );
    let histogram = Histogram::with_opts(opts.buckets(LATENCY_BUCKETS_S.to_vec()))
        .expect("the options are constant and valid");
    register(histogram.clone());
    histogram
});

/// Calls retried on another target, by the result code of the failed attempt.
pub(crate) static RETRIES: LazyLock<IntCounterVec> =
    LazyLock::new(|| counter("kingcuplift_repeats_total", "Calls sent to another target.", "code"));

/// Times that a target's statement of its load began to lower the number of calls to it.
pub(crate) static SLOT_REDUCTIONS: LazyLock<IntCounter> = LazyLock::new(|| {
    let help = "Times that stated load began to lower the number of calls to a target.";
    let counter = IntCounter::new("kingcuplift_slot_reductions_total", help)
        .expect("the options are constant and valid");
    register(counter.clone());
    counter
});

/// Load reports received from other nodes that were newer than the known ones.
pub(crate) static LOAD_REPORTS: LazyLock<IntCounter> = LazyLock::new(|| {
    let help = "Load reports of targets from other nodes that were news.";
    let counter = IntCounter::new("kingcuplift_load_reports_total", help)
        .expect("the options are constant and valid");
    register(counter.clone());
    counter
});

/// Age of the load report of each target selected by shared reports, in seconds.
pub(crate) static LOAD_REPORT_AGE: LazyLock<Histogram> = LazyLock::new(|| {
    let help = "Age of the load reports by which targets were selected.";
    let opts = HistogramOpts::new("kingcuplift_load_report_age_seconds", help);
    let histogram = Histogram::with_opts(opts.buckets(REPORT_AGE_BUCKETS_S.to_vec()))
        .expect("the options are constant and valid");
    register(histogram.clone());
    histogram
});

/// Standard deviation of the reported utilization over the targets of the service that was called last.
pub(crate) static LOAD_SPREAD: LazyLock<Gauge> = LazyLock::new(|| {
    let help = "Standard deviation of the utilization over the targets of a service.";
    let gauge =
        Gauge::new("kingcuplift_load_spread", help).expect("the options are constant and valid");
    register(gauge.clone());
    gauge
});

/// Version in force in this process.
pub(crate) static VERSION: LazyLock<IntGauge> = LazyLock::new(|| {
    let gauge = IntGauge::new("kingcuplift_version", "Configuration version in force.")
        .expect("the options are constant and valid");
    register(gauge.clone());
    gauge
});

/// Processor time of the event loop by kind of work, in seconds.
pub(crate) static WORK_TIME: LazyLock<CounterVec> = LazyLock::new(|| {
    let opts = Opts::new("kingcuplift_work_seconds_total", "Processor time by kind of work.");
    let counter = CounterVec::new(opts, &["work"]).expect("the options are constant and valid");
    register(counter.clone());
    counter
});

/// Learnt rate of the VM's link for bulk, in bytes per second; 0 while it is not known.
pub(crate) static LINK_RATE: LazyLock<IntGauge> = LazyLock::new(|| {
    gauge("kingcuplift_link_rate_bytes", "Rate of the VM's link in bytes per second; 0: unknown.")
});

/// Bytes of bulk bodies that are admitted and unsent.
pub(crate) static LINK_BACKLOG: LazyLock<IntGauge> = LazyLock::new(|| {
    gauge("kingcuplift_link_backlog_bytes", "Bytes of bulk bodies that are admitted and unsent.")
});

/// Bytes that the node holds for bulk bodies.
pub(crate) static LINK_HELD: LazyLock<IntGauge> = LazyLock::new(|| {
    gauge("kingcuplift_link_held_bytes", "Bytes that the node holds for bulk bodies.")
});

/// Bulk calls that were refused because of the link, by reason.
pub(crate) static LINK_REFUSALS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter("kingcuplift_link_refusals_total", "Bulk calls refused for the link.", "reason")
});

/// Meters of the links to upstream processes.
static CONTROL_LINKS: Mutex<Vec<Arc<LinkMeter>>> = Mutex::new(Vec::new());

/// Bytes sent and received on the links to upstream processes.
static CONTROL_BYTES: LazyLock<IntGauge> = LazyLock::new(|| {
    let help = "Bytes of the control links upward, UDP payloads in both directions.";
    let gauge = IntGauge::new("kingcuplift_control_bytes", help)
        .expect("the options are constant and valid");
    register(gauge.clone());
    gauge
});

/// Creates a meter of an upstream link and includes it in the metrics.
pub(crate) fn register_control_link() -> Arc<LinkMeter> {
    let meter = Arc::new(LinkMeter::default());
    control_links().push(Arc::clone(&meter));
    meter
}

fn control_links() -> MutexGuard<'static, Vec<Arc<LinkMeter>>> {
    CONTROL_LINKS.lock().unwrap_or_else(PoisonError::into_inner)
}

fn counter(name: &str, help: &str, label: &str) -> IntCounterVec {
    let counter = IntCounterVec::new(Opts::new(name, help), &[label])
        .expect("the options are constant and valid");
    register(counter.clone());
    counter
}

fn gauge(name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("the options are constant and valid");
    register(gauge.clone());
    gauge
}

fn register(collector: impl prometheus::core::Collector + 'static) {
    let registered = REGISTRY.register(Box::new(collector));
    debug_assert!(registered.is_ok(), "a metric is registered once");
}

/// Serves the metrics over HTTP.
pub(crate) async fn serve() -> HttpResponse {
    let bytes: u64 = control_links().iter().map(|meter| meter.bytes()).sum();
    CONTROL_BYTES.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    match TextEncoder::new().encode_to_string(&REGISTRY.gather()) {
        Ok(text) => HttpResponse::Ok().content_type(prometheus::TEXT_FORMAT).body(text),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}
