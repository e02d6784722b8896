//! Fault: hundreds of changes of a grown configuration take the members of the source over their memory limit, again
//! and again.

#[path = "site.rs"]
mod site;

use std::fmt::Write as _;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use site::{BROKEN, HELD, Site, has_trouble};

/// `memory_mb` of a machine of the core.
const MEMORY_MB: u64 = 256;
/// Routes at the start (`idle_routes` of the site), and those that `big_config` adds.
const FIRST_ROUTES: usize = 800;
const ADDED_ROUTES: usize = 1_400;
/// Changes after that; each sets the time-out of the routes.
const CHANGES: u64 = 200;
/// Time until a process that was killed is started again.
const RESTART: Duration = Duration::from_millis(500);
/// Time for the changes.
const CHANGE_TIME: Duration = Duration::from_secs(90);
/// Ends of a process from which on a machine counts.
const ALLOWED_ENDS: usize = 3;
const CORES: usize = 3;

fn main() {
    site::run(case);
}

/// Returns a whole configuration.
fn configuration(version: u64, routes: usize) -> String {
    let mut text = format!(
        r#"{{"version":{version},"services":{},"routes":{{"#,
        r#"{"lessons":{"health":"/health","connections":120,"protocol":"h1","tls":false}}"#
    );
    for route in 0..routes {
        let comma = if route == 0 { "" } else { "," };
        let timeout = 1_000 + version;
        write!(
            text,
            r#"{comma}"r-{route:06}":{{"host":"h{}.example","prefix":"/p{route:06}/","semantics":"idempotent","timeout_ms":{timeout},"objective_ms":200,"rank":2,"attempts":2,"service":"lessons"}}"#,
            route % 40
        )
        .expect("a string can be written");
    }
    text.push_str(r#"},"limits":{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000}}"#);
    text
}

/// Does what the platform does: kills processes over the limit, and starts those that have ended again.
struct Platform {
    ended: Vec<Option<Instant>>,
    /// Ends of each process by its memory.
    kills: [usize; CORES],
    peak_mb: u64,
}

impl Platform {
    /// Returns whether processes have ended too often on half of the core.
    fn is_fault(&self) -> bool {
        2 * self.kills.iter().filter(|kills| **kills >= ALLOWED_ENDS).count() >= CORES
    }

    fn watch(&mut self, site: &mut Site) {
        for core in 1..=CORES {
            let name = format!("core-{core}");
            match self.ended[core - 1] {
                Some(at) if at.elapsed() >= RESTART => {
                    site.start(&name);
                    self.ended[core - 1] = None;
                }
                Some(_) => {}
                None => {
                    let used_mb = site.resident_kb(&name) / 1_024;
                    self.peak_mb = self.peak_mb.max(used_mb);
                    if used_mb > MEMORY_MB {
                        site.record.line(format!("{name} uses {used_mb} MB, more than memory_mb"));
                        site.kill(&name);
                        self.kills[core - 1] += 1;
                        self.ended[core - 1] = Some(Instant::now());
                    }
                }
            }
        }
    }
}

fn case(folder: &Path) {
    let mut site = Site::new(folder, CORES, &["lessons"]);
    site.start_all();
    let mut platform = Platform { ended: vec![None; CORES], kills: [0; CORES], peak_mb: 0 };
    let routes = FIRST_ROUTES + if has_trouble() { ADDED_ROUTES } else { 0 };
    let started_at = Instant::now();
    let (mut accepted, mut version) = (0, 1);
    let mut core = 1;
    while version <= CHANGES + 2 && started_at.elapsed() < CHANGE_TIME && !platform.is_fault() {
        platform.watch(&mut site);
        let routes = if version == 1 { FIRST_ROUTES } else { routes };
        let headers = format!("if-match: {accepted}\r\ncontent-type: application/json\r\n");
        let body = configuration(version, routes);
        let response = site.order_once(core, "PUT", "/v1/revision", &headers, &body);
        match response.status {
            200..300 => {
                if version <= 2 || version % 25 == 0 {
                    let used: Vec<u64> = (1..=CORES)
                        .map(|i| site.resident_kb(&format!("core-{i}")) / 1_024)
                        .collect();
                    let node = site.resident_kb("sidecar-1") / 1_024;
                    site.record.line(format!("version {version} is acknowledged; {routes} routes; MB in use: {used:?}, by the node {node}"));
                }
                accepted = version;
                version += 1;
            }
            // Sent again unchanged, to another member.
            _ => {
                core = core % CORES + 1;
                thread::sleep(Duration::from_millis(50));
            }
        }
    }
    site.record.line(format!(
        "the newest acknowledged version is {accepted}; processes ended for their memory: {:?}; peak: {} MB",
        platform.kills, platform.peak_mb
    ));
    match (platform.is_fault(), accepted) {
        (true, _) => site.stop(BROKEN, "processes ended three times on half of the core"),
        (false, 0) => site.stop(site::NOT_RUN, "no configuration was accepted"),
        (false, _) => site.stop(HELD, "processes did not end so often"),
    }
}
