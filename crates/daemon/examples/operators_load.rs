//! Operators that submit versions as fast as they are accepted, beside the disk's own sync rate.

use std::cell::{Cell, RefCell};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use argh::FromArgs;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Bytes of one write when the disk's own sync rate is measured.
const PROBE: usize = 512;
/// Time for which the disk's own sync rate is measured.
const PROBE_TIME: Duration = Duration::from_secs(2);

/// Operators that submit versions.
#[derive(Debug, Clone, FromArgs)]
struct Flags {
    /// operators' interface of the leader
    #[argh(option)]
    to: String,
    /// operators at a time
    #[argh(option, default = "1")]
    operators: usize,
    /// length of the run, in seconds
    #[argh(option, default = "10")]
    seconds: u64,
    /// end the run after this many versions
    #[argh(option, default = "u64::MAX")]
    versions: u64,
    /// folder in which the disk's own sync rate is measured
    #[argh(option)]
    probe: Option<PathBuf>,
}

#[actix_rt::main]
async fn main() -> eyre::Result<()> {
    let flags: Flags = argh::from_env();
    let syncs = flags.probe.as_deref().map(sync_rate).transpose()?;
    let seen = Rc::new(RefCell::new(Histogram::<u64>::new(3)?));
    let failed = Rc::new(Cell::new(0_u64));
    let began = Instant::now();
    let operators = (0..flags.operators)
        .map(|number| operate(number, flags.clone(), Rc::clone(&seen), Rc::clone(&failed), began));
    join_all(operators).await;
    let seconds = began.elapsed().as_secs_f64();
    let seen = seen.borrow();
    let ms = |quantile| seen.value_at_quantile(quantile) as f64 / 1_000.0;
    let report = json!({
        "operators": flags.operators,
        "versions": seen.len(),
        "failed": failed.get(),
        "per_second": seen.len() as f64 / seconds,
        "p50_ms": ms(0.5),
        "p99_ms": ms(0.99),
        "max_ms": seen.max() as f64 / 1_000.0,
        "disk_syncs_per_second": syncs,
    });
    println!("{report}");
    Ok(())
}

/// Counts how many small writes a second the disk syncs, one after the other.
fn sync_rate(folder: &Path) -> std::io::Result<f64> {
    let path = folder.join("sync-probe");
    let mut file = std::fs::File::create(&path)?;
    let began = Instant::now();
    let mut count = 0;
    while began.elapsed() < PROBE_TIME {
        file.write_all(&[0; PROBE])?;
        file.sync_data()?;
        count += 1;
    }
    let rate = f64::from(count) / began.elapsed().as_secs_f64();
    std::fs::remove_file(path)?;
    Ok(rate)
}

async fn operate(
    number: usize,
    flags: Flags,
    seen: Rc<RefCell<Histogram<u64>>>,
    failed: Rc<Cell<u64>>,
    began: Instant,
) {
    let client = awc::Client::builder().timeout(Duration::from_secs(10)).finish();
    let url = format!("http://{}/v1/versions", flags.to);
    let mut base = head(&client, &url).await;
    let end = began + Duration::from_secs(flags.seconds);
    let mut round = 0;
    while Instant::now() < end && seen.borrow().len() < flags.versions {
        round += 1;
        let patch =
            json!({ "services": { format!("service-{number}"): { "queue": round % 1_000 } } });
        let sent = Instant::now();
        match submit(&client, &url, base, &patch).await {
            Some(version) => {
                base = version;
                let micros = sent.elapsed().as_micros() as u64;
                let _too_long = seen.borrow_mut().record(micros);
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
