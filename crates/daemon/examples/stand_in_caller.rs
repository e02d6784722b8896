//! Load generator for tests: sends a mix of calls and reports latency, outcomes and wrong answers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use argh::FromArgs;
use awc::Client;
use awc::http::Method;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

/// Header with the identifier of a call, which the target returns in its answer.
const CALL_ID_HEADER: &str = "x-call-id";
/// Upper bound of the latency histograms, in microseconds; longer latencies count as this.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Send a mix of calls and report their results.
#[derive(Debug, Clone, FromArgs)]
struct Flags {
    /// addresses to call in rotation, separated by commas
    #[argh(option)]
    to: String,
    /// value of the Host header
    #[argh(option, default = "\"lessons.example\".to_owned()")]
    host: String,
    /// calls with their weights and RFC 9218 urgency, such as "GET /catalogue 80 3,POST /bookings 20 1"
    #[argh(option, default = "\"GET /catalogue 1 3\".to_owned()")]
    mix: String,
    /// calls per second over all workers; 0 means that each worker sends its calls back to back
    #[argh(option, default = "0")]
    rate: u64,
    /// concurrent workers
    #[argh(option, default = "1")]
    concurrency: usize,
    /// duration of the run, in seconds
    #[argh(option, default = "5")]
    seconds: u64,
    /// calls per worker that are excluded from the results at the start
    #[argh(option, default = "50")]
    warmup: u64,
    /// timeout of a call, in milliseconds
    #[argh(option, default = "5000")]
    timeout_ms: u64,
    /// give each call that is not a GET its own idempotency key
    #[argh(switch)]
    keyed: bool,
    /// seed of the random choice of calls
    #[argh(option, default = "1")]
    seed: u64,
    /// print the results as compact JSON
    #[argh(switch)]
    json: bool,
}

/// One kind of call.
#[derive(Debug, Clone)]
struct Kind {
    method: Method,
    path: String,
    weight: u32,
    urgency: String,
}

/// Outcomes of all calls, and latencies by kind of call.
#[derive(Debug, Default)]
struct Results {
    latency: BTreeMap<String, Histogram<u64>>,
    outcomes: BTreeMap<String, u64>,
    wrong_answers: u64,
}

#[actix_rt::main]
async fn main() -> eyre::Result<()> {
    let flags: Flags = argh::from_env();
    let kinds: Result<Vec<Kind>, eyre::Report> = flags.mix.split(',').map(parse_kind).collect();
    let kinds = Rc::new(kinds?);
    let results = Rc::new(RefCell::new(Results::default()));
    let start_time = Instant::now();
    let workers = (0..flags.concurrency).map(|worker| {
        run_worker(worker, flags.clone(), Rc::clone(&kinds), Rc::clone(&results), start_time)
    });
    join_all(workers).await;
    print_report(&flags, &results.borrow(), start_time.elapsed());
    Ok(())
}

fn parse_kind(text: &str) -> eyre::Result<Kind> {
    let parts: Vec<&str> = text.split_whitespace().collect();
    let [method, path, weight, urgency] = parts[..] else {
        eyre::bail!("{text:?} is not of the form \"METHOD PATH WEIGHT URGENCY\"");
    };
    Ok(Kind {
        method: method.parse()?,
        path: path.to_owned(),
        weight: weight.parse()?,
        urgency: format!("u={urgency}"),
    })
}

async fn run_worker(
    worker: usize,
    flags: Flags,
    kinds: Rc<Vec<Kind>>,
    results: Rc<RefCell<Results>>,
    start_time: Instant,
) {
    let addresses: Vec<&str> = flags.to.split(',').collect();
    let client = Client::builder()
        .timeout(Duration::from_millis(flags.timeout_ms))
        .disable_redirects()
        .finish();
    let mut rng = SmallRng::seed_from_u64(flags.seed + worker as u64);
    let interval = match flags.rate {
        0 => Duration::ZERO,
        rate => Duration::from_secs(1) * flags.concurrency as u32 / rate as u32,
    };
    let end = start_time + Duration::from_secs(flags.seconds);
    let mut due = start_time + interval * worker as u32 / flags.concurrency as u32;
    let mut number = 0;
    while Instant::now() < end {
        let is_late = !interval.is_zero() && Instant::now() > due;
        if !interval.is_zero() {
            actix_rt::time::sleep_until(due.into()).await;
        }
        // The latency includes the delay of a worker that was busy when the call was due, but not that of a late timer.
        let start = if is_late { due } else { Instant::now() };
        let kind = choose_kind(&kinds, &mut rng);
        let address = addresses[(worker + number as usize) % addresses.len()];
        let id = format!("{}-{worker}-{number}", flags.seed);
        let outcome = send_call(&client, address, &flags, kind, &id).await;
        if number >= flags.warmup {
            results.borrow_mut().record(kind, &outcome, start.elapsed());
        }
        number += 1;
        due += interval;
    }
}

fn choose_kind<'a>(kinds: &'a [Kind], rng: &mut SmallRng) -> &'a Kind {
    let total: u32 = kinds.iter().map(|kind| kind.weight).sum();
    let mut drawn = rng.random_range(0..total.max(1));
    for kind in kinds {
        if drawn < kind.weight {
            return kind;
        }
        drawn -= kind.weight;
    }
    &kinds[0]
}

/// Sends one call and returns its outcome.
async fn send_call(client: &Client, address: &str, flags: &Flags, kind: &Kind, id: &str) -> String {
    let mut request = client
        .request(kind.method.clone(), format!("http://{address}{}", kind.path))
        .insert_header(("host", flags.host.as_str()))
        .insert_header(("priority", kind.urgency.as_str()))
        .insert_header((CALL_ID_HEADER, id));
    if flags.keyed && kind.method != Method::GET {
        request = request.insert_header(("idempotency-key", id));
    }
    let mut response = match request.send().await {
        Ok(response) => response,
        Err(error) => return format!("transport: {error}"),
    };
    let Ok(body) = response.body().await else {
        return "broken answer".to_owned();
    };
    if let Some(code) = response.headers().get("kingcuplift-code") {
        return format!("refused {}", code.to_str().unwrap_or_default());
    }
    if !response.status().is_success() {
        return format!("status {}", response.status().as_u16());
    }
    let answer: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    match answer["call"].as_str() {
        Some(echoed) if echoed == id => "ok".to_owned(),
        _ => "wrong answer".to_owned(),
    }
}

impl Results {
    fn record(&mut self, kind: &Kind, outcome: &str, latency: Duration) {
        *self.outcomes.entry(outcome.to_owned()).or_default() += 1;
        self.wrong_answers += u64::from(outcome == "wrong answer");
        if outcome != "ok" {
            return;
        }
        for name in ["all".to_owned(), format!("{} {}", kind.method, kind.path)] {
            let histogram = self.latency.entry(name).or_insert_with(|| {
                Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid")
            });
            histogram.saturating_record(latency.as_micros() as u64);
        }
    }
}

fn print_report(flags: &Flags, results: &Results, elapsed: Duration) {
    let total: u64 = results.outcomes.values().sum();
    let latency: BTreeMap<&String, serde_json::Value> = results
        .latency
        .iter()
        .map(|(name, histogram)| {
            let at = |quantile| histogram.value_at_quantile(quantile);
            let figures = json!({
                "count": histogram.len(),
                "p50_us": at(0.5),
                "p90_us": at(0.9),
                "p99_us": at(0.99),
                "p999_us": at(0.999),
                "max_us": histogram.max(),
            });
            (name, figures)
        })
        .collect();
    let document = json!({
        "calls": total,
        "per_second": (total as f64 / elapsed.as_secs_f64()).round(),
        "outcomes": results.outcomes,
        "wrong_answers": results.wrong_answers,
        "latency": latency,
    });
    match flags.json {
        true => println!("{document}"),
        false => println!("{document:#}"),
    }
}
