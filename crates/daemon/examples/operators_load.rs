//! Load test of submissions: operators that submit versions as fast as they are accepted, compared with the sync rate
//! of the disk.

use std::cell::{Cell, RefCell};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use argh::FromArgs;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Size of one write in the measurement of the disk's sync rate, in bytes.
const PROBE_WRITE_BYTES: usize = 512;
/// Duration of the measurement of the disk's sync rate.
const PROBE_DURATION: Duration = Duration::from_secs(2);

/// Submit versions with concurrent operators.
#[derive(Debug, Clone, FromArgs)]
struct Flags {
    /// operators' interface of the leader
    #[argh(option)]
    to: String,
    /// concurrent operators
    #[argh(option, default = "1")]
    operators: usize,
    /// duration of the run, in seconds
    #[argh(option, default = "10")]
    seconds: u64,
    /// end the run after this many versions
    #[argh(option, default = "u64::MAX")]
    versions: u64,
    /// folder in which the disk's sync rate is measured
    #[argh(option)]
    probe: Option<PathBuf>,
}

#[actix_rt::main]
async fn main() -> eyre::Result<()> {
    let flags: Flags = argh::from_env();
    let disk_syncs_per_second = flags.probe.as_deref().map(sync_rate).transpose()?;
    let latencies = Rc::new(RefCell::new(Histogram::<u64>::new(3)?));
    let failed = Rc::new(Cell::new(0_u64));
    let start_time = Instant::now();
    let operators = (0..flags.operators).map(|number| {
        run_operator(number, flags.clone(), Rc::clone(&latencies), Rc::clone(&failed), start_time)
    });
    join_all(operators).await;
    let seconds = start_time.elapsed().as_secs_f64();
    let latencies = latencies.borrow();
    let ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
    let report = json!({
        "operators": flags.operators,
        "versions": latencies.len(),
        "failed": failed.get(),
        "per_second": latencies.len() as f64 / seconds,
        "p50_ms": ms(0.5),
        "p99_ms": ms(0.99),
        "max_ms": latencies.max() as f64 / 1_000.0,
        "disk_syncs_per_second": disk_syncs_per_second,
    });
    println!("{report}");
    Ok(())
}

/// Returns the number of small writes that the disk syncs per second, one after the other.
fn sync_rate(folder: &Path) -> std::io::Result<f64> {
    let path = folder.join("sync-probe");
    let mut file = std::fs::File::create(&path)?;
    let start_time = Instant::now();
    let mut count = 0;
    while start_time.elapsed() < PROBE_DURATION {
        file.write_all(&[0; PROBE_WRITE_BYTES])?;
        file.sync_data()?;
        count += 1;
    }
    let rate = f64::from(count) / start_time.elapsed().as_secs_f64();
    std::fs::remove_file(path)?;
    Ok(rate)
}

async fn run_operator(
    number: usize,
    flags: Flags,
    latencies: Rc<RefCell<Histogram<u64>>>,
    failed: Rc<Cell<u64>>,
    start_time: Instant,
) {
    let client = awc::Client::builder().timeout(Duration::from_secs(10)).finish();
    let url = format!("http://{}/v1/versions", flags.to);
    let mut base = head(&client, &url).await;
    let end = start_time + Duration::from_secs(flags.seconds);
    let mut round = 0;
    while Instant::now() < end && latencies.borrow().len() < flags.versions {
        round += 1;
        let patch =
            json!({ "services": { format!("service-{number}"): { "queue": round % 1_000 } } });
        let sent = Instant::now();
        match submit(&client, &url, base, &patch).await {
            Some(version) => {
                base = version;
                let micros = sent.elapsed().as_micros() as u64;
                let _too_long = latencies.borrow_mut().record(micros);
            }
            None => failed.set(failed.get() + 1),
        }
    }
}

async fn submit(client: &awc::Client, url: &str, base: u64, patch: &Value) -> Option<u64> {
    let body = json!({ "base": base, "patch": patch });
    let mut response = client.post(url).send_json(&body).await.ok()?;
    let answer: Value = response.json().await.ok()?;
    answer["version"].as_u64()
}

async fn head(client: &awc::Client, url: &str) -> u64 {
    let Ok(mut response) = client.get(format!("{url}?limit=0")).send().await else { return 0 };
    let answer: Value = response.json().await.unwrap_or_default();
    answer["head"].as_u64().unwrap_or(0)
}
