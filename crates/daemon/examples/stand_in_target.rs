//! Target for tests: serves calls as configured by flags and counts the executions by idempotency key.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use argh::FromArgs;
use rand::Rng;
use serde_json::json;
use tokio::sync::Semaphore;

/// Interval of the announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// Delay after an announcement that the node did not accept.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Header with the identifier of a call, which is returned in the answer.
const CALL_ID_HEADER: &str = "x-call-id";
/// Header that makes the process abort, if `--crash-on-mark` is set.
const CRASH_HEADER: &str = "x-crash";

/// Serve calls as a target with configurable capacity and failures.
#[derive(Debug, Clone, FromArgs)]
struct Flags {
    /// address to listen on
    #[argh(option)]
    listen: String,
    /// admin address of the node that the target announces itself to; without it, there are no announcements
    #[argh(option)]
    admin: Option<String>,
    /// service to announce
    #[argh(option, default = "\"lessons-desk\".to_owned()")]
    service: String,
    /// version label to announce
    #[argh(option, default = "\"v1\".to_owned()")]
    version: String,
    /// number of calls that run concurrently
    #[argh(option, default = "20")]
    slots: u32,
    /// service time of a call, in milliseconds
    #[argh(option, default = "0")]
    service_ms: u64,
    /// duration of the cold start, in milliseconds, during which calls run one at a time
    #[argh(option, default = "0")]
    cold_ms: u64,
    /// concurrent calls above which a cold target sheds calls and restarts its cold start; 0 means never
    #[argh(option, default = "0")]
    cold_breaks: u64,
    /// fraction of the calls that fail, from 0 to 1
    #[argh(option, default = "0.0")]
    fail_rate: f64,
    /// number of calls after which failures begin
    #[argh(option, default = "0")]
    fail_after: u64,
    /// prefix of the paths whose calls fail
    #[argh(option, default = "String::new()")]
    fail_path: String,
    /// time from the first failure until the health check fails, in milliseconds
    #[argh(option, default = "0")]
    health_lag_ms: u64,
    /// abort the process on a call with the header x-crash
    #[argh(switch)]
    crash_on_mark: bool,
}

/// State of the target.
#[derive(Debug)]
struct Target {
    flags: Flags,
    cold_since: Mutex<Instant>,
    in_flight: AtomicU64,
    slots: Semaphore,
    cold_slot: Semaphore,
    calls: AtomicU64,
    /// Executions by idempotency key.
    runs: Mutex<HashMap<String, u64>>,
    total_runs: AtomicU64,
    failing_since: Mutex<Option<Instant>>,
}

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let flags: Flags = argh::from_env();
    let target = web::Data::new(Target {
        flags: flags.clone(),
        cold_since: Mutex::new(Instant::now()),
        in_flight: AtomicU64::new(0),
        slots: Semaphore::new(flags.slots as usize),
        cold_slot: Semaphore::new(1),
        calls: AtomicU64::new(0),
        runs: Mutex::default(),
        total_runs: AtomicU64::new(0),
        failing_since: Mutex::default(),
    });
    let app = move || {
        App::new()
            .app_data(web::Data::clone(&target))
            .route("/runs", web::get().to(runs))
            .route("/healthz", web::get().to(health))
            .default_service(web::to(serve_call))
    };
    let server = HttpServer::new(app)
        .workers(1)
        .keep_alive(Duration::from_secs(75))
        .h1_allow_half_closed(false)
        .disable_signals()
        .bind(&flags.listen)?
        .run();
    let handle = server.handle();
    actix_web::rt::spawn(server);
    let announcer = actix_web::rt::spawn(announce(flags.clone()));
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    terminate.recv().await;
    announcer.abort();
    withdraw(&flags).await;
    handle.stop(true).await;
    Ok(())
}

async fn announce(flags: Flags) {
    let Some(admin) = &flags.admin else { return };
    let client = awc::Client::default();
    let url = format!("http://{admin}/v1/targets/{}", flags.service);
    let body = json!({
        "address": flags.listen,
        "version": flags.version,
        "slots": flags.slots,
        "health": "/healthz",
    });
    loop {
        let sent = client.put(&url).send_json(&body).await;
        let accepted = sent.is_ok_and(|response| response.status().is_success());
        let pause = if accepted { ANNOUNCE_INTERVAL } else { RETRY_DELAY };
        actix_web::rt::time::sleep(pause).await;
    }
}

async fn withdraw(flags: &Flags) {
    let Some(admin) = &flags.admin else { return };
    let (service, version) = (&flags.service, &flags.version);
    let url = format!("http://{admin}/v1/targets/{service}?version={version}");
    let client = awc::Client::builder().timeout(Duration::from_secs(10)).finish();
    if let Err(error) = client.delete(url).send().await {
        eprintln!("the node did not confirm the withdrawal: {error}");
    }
}

async fn runs(target: web::Data<Target>) -> HttpResponse {
    let counts = target.runs.lock().unwrap_or_else(PoisonError::into_inner).clone();
    HttpResponse::Ok()
        .json(json!({ "runs": counts, "total": target.total_runs.load(Ordering::Relaxed) }))
}

async fn health(target: web::Data<Target>) -> HttpResponse {
    let since = *target.failing_since.lock().unwrap_or_else(PoisonError::into_inner);
    let lag = Duration::from_millis(target.flags.health_lag_ms);
    match since {
        Some(at) if at.elapsed() >= lag => HttpResponse::ServiceUnavailable().finish(),
        _ => HttpResponse::Ok().finish(),
    }
}

async fn serve_call(
    request: HttpRequest,
    body: web::Bytes,
    target: web::Data<Target>,
) -> HttpResponse {
    let flags = &target.flags;
    let header = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok());
    if flags.crash_on_mark && header(CRASH_HEADER).is_some() {
        std::process::abort();
    }
    let number = target.calls.fetch_add(1, Ordering::Relaxed);
    target.total_runs.fetch_add(1, Ordering::Relaxed);
    if let Some(key) = header("idempotency-key") {
        let mut counts = target.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(key.to_owned()).or_default() += 1;
    }
    let in_flight = InFlightGuard::enter(&target);
    if is_overloaded_while_cold(&target) {
        return HttpResponse::ServiceUnavailable().body("too many calls for a cold start");
    }
    execute(&target).await;
    drop(in_flight);
    let may_fail = number >= flags.fail_after && request.path().starts_with(&flags.fail_path);
    if may_fail && rand::rng().random_bool(flags.fail_rate.clamp(0.0, 1.0)) {
        let mut since = target.failing_since.lock().unwrap_or_else(PoisonError::into_inner);
        since.get_or_insert_with(Instant::now);
        return HttpResponse::InternalServerError().body("failure injected by --fail-rate");
    }
    let call = header(CALL_ID_HEADER).unwrap_or_default();
    HttpResponse::Ok()
        .insert_header((CALL_ID_HEADER, call))
        .insert_header(("x-target-version", flags.version.as_str()))
        .insert_header(("x-target", flags.listen.as_str()))
        .json(json!({ "path": request.path(), "call": call, "bytes": body.len() }))
}

/// Counts a call as in flight until dropped.
struct InFlightGuard<'a>(&'a Target);

impl<'a> InFlightGuard<'a> {
    fn enter(target: &'a Target) -> Self {
        target.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(target)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

fn is_cold(target: &Target) -> bool {
    let since = *target.cold_since.lock().unwrap_or_else(PoisonError::into_inner);
    since.elapsed() < Duration::from_millis(target.flags.cold_ms)
}

/// Returns whether a cold target has more calls in flight than it can handle; its cold start is then restarted.
fn is_overloaded_while_cold(target: &Target) -> bool {
    let limit = target.flags.cold_breaks;
    if limit == 0 || !is_cold(target) || target.in_flight.load(Ordering::Relaxed) <= limit {
        return false;
    }
    *target.cold_since.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    true
}

/// Simulates the execution of a call: waits for a slot and then for the service time.
async fn execute(target: &Target) {
    let _cold_permit = match is_cold(target) {
        true => target.cold_slot.acquire().await.ok(),
        false => None,
    };
    let _slot_permit = target.slots.acquire().await.ok();
    if target.flags.service_ms > 0 {
        actix_web::rt::time::sleep(Duration::from_millis(target.flags.service_ms)).await;
    }
}
