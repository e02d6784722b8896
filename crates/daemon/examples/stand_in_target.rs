//! A target for experiments: serves calls as its flags say and counts the runs by idempotency key.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use argh::FromArgs;
use rand::Rng;
use serde_json::json;
use tokio::sync::Semaphore;

/// Time between announcements.
const RENEWAL: Duration = Duration::from_secs(2);
/// Time before another try when the node does not answer.
const RETRY: Duration = Duration::from_millis(200);
/// Header that identifies a call, sent back in the answer.
const CALL_HEADER: &str = "x-call-id";
/// Header that makes the process crash, where `--crash-on-mark` is set.
const CRASH_HEADER: &str = "x-crash";

/// A target for experiments.
#[derive(Debug, Clone, FromArgs)]
struct Flags {
    /// address to listen on
    #[argh(option)]
    listen: String,
    /// admin address of the node to announce to; absent means no announcement
    #[argh(option)]
    admin: Option<String>,
    /// service to announce
    #[argh(option, default = "\"lessons-desk\".to_owned()")]
    service: String,
    /// version label
    #[argh(option, default = "\"v1\".to_owned()")]
    version: String,
    /// calls that run at a time
    #[argh(option, default = "20")]
    slots: u32,
    /// service time of a call, in milliseconds
    #[argh(option, default = "0")]
    service_ms: u64,
    /// length of the cold start, in milliseconds; one call at a time runs during it
    #[argh(option, default = "0")]
    cold_ms: u64,
    /// calls at a time above which a cold target sheds and begins its cold start anew; 0 means never
    #[argh(option, default = "0")]
    cold_breaks: u64,
    /// part of the calls that fail, from 0 to 1
    #[argh(option, default = "0.0")]
    fail_rate: f64,
    /// failures begin after this many calls
    #[argh(option, default = "0")]
    fail_after: u64,
    /// failures concern only paths that begin so
    #[argh(option, default = "String::new()")]
    fail_path: String,
    /// health turns bad only this long after failures begin, in milliseconds
    #[argh(option, default = "0")]
    health_lag_ms: u64,
    /// crash on a call with the header x-crash
    #[argh(switch)]
    crash_on_mark: bool,
}

/// State of the target.
#[derive(Debug)]
struct Target {
    flags: Flags,
    cold_since: Mutex<Instant>,
    inside: AtomicU64,
    slots: Semaphore,
    cold: Semaphore,
    calls: AtomicU64,
    runs: Mutex<HashMap<String, u64>>,
    total: AtomicU64,
    failing_since: Mutex<Option<Instant>>,
}

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let flags: Flags = argh::from_env();
    let target = web::Data::new(Target {
        flags: flags.clone(),
        cold_since: Mutex::new(Instant::now()),
        inside: AtomicU64::new(0),
        slots: Semaphore::new(flags.slots as usize),
        cold: Semaphore::new(1),
        calls: AtomicU64::new(0),
        runs: Mutex::default(),
        total: AtomicU64::new(0),
        failing_since: Mutex::default(),
    });
    let app = move || {
        App::new()
            .app_data(web::Data::clone(&target))
            .route("/runs", web::get().to(runs))
            .route("/healthz", web::get().to(health))
            .default_service(web::to(run))
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
    let announcing = actix_web::rt::spawn(announce(flags.clone()));
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    terminate.recv().await;
    announcing.abort();
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
        let pause = if accepted { RENEWAL } else { RETRY };
        actix_web::rt::time::sleep(pause).await;
    }
}

async fn withdraw(flags: &Flags) {
    let Some(admin) = &flags.admin else { return };
    let (service, version) = (&flags.service, &flags.version);
    let url = format!("http://{admin}/v1/targets/{service}?version={version}");
    let client = awc::Client::builder().timeout(Duration::from_secs(10)).finish();
    if let Err(error) = client.delete(url).send().await {
        eprintln!("the node did not confirm the drain: {error}");
    }
}

async fn runs(target: web::Data<Target>) -> HttpResponse {
    let counts = target.runs.lock().unwrap_or_else(PoisonError::into_inner).clone();
    HttpResponse::Ok()
        .json(json!({ "runs": counts, "total": target.total.load(Ordering::Relaxed) }))
}

async fn health(target: web::Data<Target>) -> HttpResponse {
    let since = *target.failing_since.lock().unwrap_or_else(PoisonError::into_inner);
    let lag = Duration::from_millis(target.flags.health_lag_ms);
    match since {
        Some(at) if at.elapsed() >= lag => HttpResponse::ServiceUnavailable().finish(),
        _ => HttpResponse::Ok().finish(),
    }
}

async fn run(request: HttpRequest, body: web::Bytes, target: web::Data<Target>) -> HttpResponse {
    let flags = &target.flags;
    let header = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok());
    if flags.crash_on_mark && header(CRASH_HEADER).is_some() {
        std::process::abort();
    }
    let number = target.calls.fetch_add(1, Ordering::Relaxed);
    target.total.fetch_add(1, Ordering::Relaxed);
    if let Some(key) = header("idempotency-key") {
        let mut counts = target.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(key.to_owned()).or_default() += 1;
    }
    let inside = Inside::enter(&target);
    if breaks(&target) {
        return HttpResponse::ServiceUnavailable().body("too many calls for a cold start");
    }
    serve_time(&target).await;
    drop(inside);
    let concerned = number >= flags.fail_after && request.path().starts_with(&flags.fail_path);
    if concerned && rand::rng().random_bool(flags.fail_rate.clamp(0.0, 1.0)) {
        let mut since = target.failing_since.lock().unwrap_or_else(PoisonError::into_inner);
        since.get_or_insert_with(Instant::now);
        return HttpResponse::InternalServerError().body("failed as told");
    }
    let call = header(CALL_HEADER).unwrap_or_default();
    HttpResponse::Ok()
        .insert_header((CALL_HEADER, call))
        .insert_header(("x-target-version", flags.version.as_str()))
        .insert_header(("x-target", flags.listen.as_str()))
        .json(json!({ "path": request.path(), "call": call, "bytes": body.len() }))
}

/// Counts a call inside the target until dropped.
struct Inside<'a>(&'a Target);

impl<'a> Inside<'a> {
    fn enter(target: &'a Target) -> Self {
        target.inside.fetch_add(1, Ordering::Relaxed);
        Self(target)
    }
}

impl Drop for Inside<'_> {
    fn drop(&mut self) {
        self.0.inside.fetch_sub(1, Ordering::Relaxed);
    }
}

fn is_cold(target: &Target) -> bool {
    let since = *target.cold_since.lock().unwrap_or_else(PoisonError::into_inner);
    since.elapsed() < Duration::from_millis(target.flags.cold_ms)
}

/// Returns whether a cold target has more calls than it bears; its cold start then begins anew.
fn breaks(target: &Target) -> bool {
    let most = target.flags.cold_breaks;
    if most == 0 || !is_cold(target) || target.inside.load(Ordering::Relaxed) <= most {
        return false;
    }
    *target.cold_since.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    true
}

/// Takes the time that a call takes, in a slot.
async fn serve_time(target: &Target) {
    let _cold = match is_cold(target) {
        true => target.cold.acquire().await.ok(),
        false => None,
    };
    let _slot = target.slots.acquire().await.ok();
    if target.flags.service_ms > 0 {
        actix_web::rt::time::sleep(Duration::from_millis(target.flags.service_ms)).await;
    }
}
