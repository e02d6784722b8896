//! Addresses on loopback that no other site uses, also not one of a test that runs beside.

use std::sync::atomic::{AtomicU32, Ordering};

/// First port of a site.
const FIRST_PORT: u16 = 20_000;

/// Addresses of one process in one block.
const HOSTS: u32 = 250;

/// Sites that this process has made so far.
static SITES: AtomicU32 = AtomicU32::new(0);

/// Draws addresses on a loopback address of its own.
#[derive(Debug)]
pub(crate) struct AddressPool {
    host: String,
    port: u16,
}

impl AddressPool {
    /// Takes a loopback address made from the process id and the number of the site.
    pub(crate) fn new() -> Self {
        let sites = SITES.fetch_add(1, Ordering::Relaxed);
        // A process with many sites goes on where another one is unlikely to be.
        let process = std::process::id() + sites / HOSTS * 256;
        let site = sites % HOSTS;
        let host = format!("127.{}.{}.{}", 64 + (process >> 8) % 128, process & 0xFF, site + 1);
        Self { host, port: FIRST_PORT }
    }

    /// Returns the loopback address.
    pub(crate) fn host(&self) -> &str {
        &self.host
    }

    /// Returns an address with a port of its own.
    pub(crate) fn next(&mut self) -> String {
        self.port += 1;
        format!("{}:{}", self.host, self.port)
    }
}
