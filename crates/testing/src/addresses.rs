//! Allocates loopback addresses that do not collide between sites, including those of tests that run in parallel.

use std::sync::atomic::{AtomicU32, Ordering};

/// The ports of a site follow this one.
const BASE_PORT: u16 = 20_000;

/// Sites of one process that share the middle octets of their loopback addresses.
const SITES_PER_BLOCK: u32 = 250;

/// Number of sites that this process has created.
static SITE_COUNT: AtomicU32 = AtomicU32::new(0);

/// Allocates ports on a loopback address of its own.
#[derive(Debug)]
pub(crate) struct AddressPool {
    host: String,
    port: u16,
}

impl AddressPool {
    /// Derives the loopback address from the process id and the number of the site.
    pub(crate) fn new() -> Self {
        let site = SITE_COUNT.fetch_add(1, Ordering::Relaxed);
        // A process that has used up its block continues 256 process ids further on, where another test is
        // unlikely to run.
        let block = std::process::id() + site / SITES_PER_BLOCK * 256;
        let number = site % SITES_PER_BLOCK;
        let host = format!("127.{}.{}.{}", 64 + (block >> 8) % 128, block & 0xFF, number + 1);
        Self { host, port: BASE_PORT }
    }

    pub(crate) fn host(&self) -> &str {
        &self.host
    }

    /// Returns an address with a port that has not been allocated yet.
    pub(crate) fn next(&mut self) -> String {
        self.port += 1;
        format!("{}:{}", self.host, self.port)
    }
}
