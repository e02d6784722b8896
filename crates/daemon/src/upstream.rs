//! Keeps a link to one upstream process: a relay's to the source, a node's to a relay.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;

use actix::{Message, Recipient};
use kingcuplift_core::Event;
use kingcuplift_keys::{Protocol, Role};
use kingcuplift_schema::control::{Downward, Redirect, Upward, downward};
use rand::Rng;
use tokio::sync::{mpsc, watch};

use crate::link::{Endpoint, LinkError, Reader, Writer};
use crate::session::HEARTBEAT_TIMEOUT;

/// Shortest time before the next connection attempt, in milliseconds.
const FIRST_DELAY: u64 = 50;
/// Longest time before the next connection attempt, in milliseconds.
const MAX_DELAY: u64 = 800;
/// Time without word of a current leader after which another process is tried, at first.
const STALE_LIMIT: Duration = Duration::from_millis(800);
/// Doublings of that time while no process has word of a leader.
const MAX_STALE_DOUBLINGS: usize = 4;
/// Range of the first attempt's place in the list of addresses.
const MAX_FIRST: usize = 64;
/// Messages that wait to be sent.
const QUEUE: usize = 256;

/// What happens on the link.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) enum UpstreamEvent {
    /// A link was opened; the first message must be a hello.
    Opened(mpsc::Sender<Upward>),
    /// A message arrived.
    Received(Box<downward::Body>),
    /// A beat arrived; it says whether the process above has word of a current leader.
    Beat(bool),
    /// The link has ended.
    Closed,
}

/// Addresses that can be replaced while links are made; never empty.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamAddresses {
    settled: Arc<ArcSwap<Vec<SocketAddr>>>,
    known: Arc<ArcSwap<Vec<SocketAddr>>>,
    /// The one address that is known to be the right one.
    hint: watch::Sender<Option<SocketAddr>>,
}

impl UpstreamAddresses {
    /// Makes a list of the addresses in the settings.
    pub(crate) fn new(settled: Vec<SocketAddr>) -> Self {
        let known = Arc::new(ArcSwap::from_pointee(settled.clone()));
        Self {
            settled: Arc::new(ArcSwap::from_pointee(settled)),
            known,
            hint: watch::Sender::new(None),
        }
    }

    /// Makes links go to one address as long as that is known to be the right one.
    pub(crate) fn set_preferred(&self, address: Option<SocketAddr>) {
        self.hint.send_if_modified(|held| std::mem::replace(held, address) != address);
    }

    /// Waits until another address than `address` is known to be the right one.
    async fn contradicted(&self, address: SocketAddr) -> SocketAddr {
        let mut hints = self.hint.subscribe();
        loop {
            let hint = *hints.borrow_and_update();
            match hint {
                Some(hint) if hint != address => return hint,
                _ => {}
            }
            if hints.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Returns the number of known addresses.
    fn len(&self) -> usize {
        self.known.load().len()
    }

    /// Takes over the addresses of changed settings.
    pub(crate) fn set_configured(&self, settled: Vec<SocketAddr>) {
        self.settled.store(Arc::new(settled));
        self.set_discovered(self.known.load().to_vec());
    }

    /// Puts learnt addresses, the best first, before those in the settings.
    pub(crate) fn set_discovered(&self, learnt: Vec<SocketAddr>) {
        let mut known = learnt;
        for address in self.settled.load().iter() {
            if !known.contains(address) {
                known.push(*address);
            }
        }
        self.known.store(Arc::new(known));
    }

    /// Returns the address for one attempt.
    fn pick(&self, attempt: usize) -> SocketAddr {
        let known = self.known.load();
        let hint = *self.hint.borrow();
        hint.unwrap_or_else(|| known[attempt % known.len()])
    }
}

/// Addresses of the processes that can serve as upstream.
#[derive(Debug, Clone)]
pub(crate) struct Upstream {
    pub(crate) endpoint: Endpoint,
    pub(crate) role: Role,
    pub(crate) addresses: UpstreamAddresses,
    pub(crate) meter: Arc<LinkMeter>,
}

/// Bytes that the links of one process have carried, UDP payloads in both directions.
#[derive(Debug, Default)]
pub struct LinkMeter {
    ended: AtomicU64,
    current: Mutex<Option<quinn::Connection>>,
}

impl LinkMeter {
    /// Returns the bytes sent and received so far.
    pub fn bytes(&self) -> u64 {
        let current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        self.ended.load(Ordering::Relaxed) + current.as_ref().map_or(0, udp_bytes)
    }

    /// Counts a link from now on, in place of the one before.
    fn follow(&self, connection: Option<quinn::Connection>) {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        let ended = current.as_ref().map_or(0, udp_bytes);
        self.ended.fetch_add(ended, Ordering::Relaxed);
        *current = connection;
    }
}

fn udp_bytes(connection: &quinn::Connection) -> u64 {
    let stats = connection.stats();
    stats.udp_tx.bytes + stats.udp_rx.bytes
}

impl Upstream {
    /// Connects again and again, telling `actor` of all that happens, until the actor is gone.
    pub(crate) async fn run(self, actor: Recipient<UpstreamEvent>) {
        let mut failures = 0;
        // Processes that start together don't all begin with the same address.
        let mut index = rand::rng().random_range(0..MAX_FIRST);
        let mut hinted: Option<SocketAddr> = None;
        let mut staleness = Staleness::default();
        while actor.connected() {
            let address = hinted.take().unwrap_or_else(|| self.addresses.pick(index));
            staleness.relays = self.addresses.len();
            let served = tokio::select! {
                served = self.serve(address, &actor, &mut staleness) => served,
                better = self.addresses.contradicted(address) => {
                    actor.do_send(UpstreamEvent::Closed);
                    hinted = Some(better);
                    continue;
                }
            };
            match served {
                Ok(Some(redirect)) => {
                    hinted = redirect.address.parse().ok();
                    failures += u32::from(hinted.is_none());
                    index += usize::from(hinted.is_none());
                    self.pause(redirect.retry_ms, address).await;
                }
                Ok(None) => {
                    failures = 0;
                    index += 1;
                }
                Err(error) => {
                    Event::LinkFailed.emit(&[("address", &address), ("reason", &error)]);
                    index += 1;
                    failures += 1;
                    self.pause(delay(failures), address).await;
                }
            }
        }
    }

    /// Waits before the next attempt, unless another address than `address` turns out to be the right one.
    async fn pause(&self, ms: u64, address: SocketAddr) {
        tokio::select! {
            () = sleep_jittered(ms) => {}
            _ = self.addresses.contradicted(address) => {}
        }
    }

    /// Serves one link; returns a redirect, or `None` when an open link has ended.
    async fn serve(
        &self,
        address: SocketAddr,
        actor: &Recipient<UpstreamEvent>,
        staleness: &mut Staleness,
    ) -> Result<Option<Redirect>, LinkError> {
        let connecting = self.endpoint.connect(address, self.role, Protocol::Distribution);
        let mut link =
            tokio::time::timeout(self.endpoint.connect_timeout(), connecting)
                .await
                .map_err(|_elapsed| LinkError::Connection(quinn::ConnectionError::TimedOut))??;
        self.meter.follow(link.quic().cloned());
        let (send, receive) = link.open_stream().await?;
        let (sender, queue) = mpsc::channel(QUEUE);
        actor.do_send(UpstreamEvent::Opened(sender));
        let mut reader: Reader<Downward> = Reader::new(receive);
        let first = tokio::select! {
            outcome = write_all(Writer::new(send), queue) => outcome.map(|()| None),
            outcome = read_all(&mut reader, actor, address, staleness) => outcome,
        };
        self.meter.follow(None);
        actor.do_send(UpstreamEvent::Closed);
        match first {
            Ok(redirect) => Ok(redirect),
            Err(LinkError::Stale) => Ok(None),
            Err(error) => {
                Event::LinkClosed.emit(&[("address", &address), ("reason", &error)]);
                sleep_jittered(FIRST_DELAY).await;
                Ok(None)
            }
        }
    }
}

async fn write_all(
    mut writer: Writer<Upward>,
    mut queue: mpsc::Receiver<Upward>,
) -> Result<(), LinkError> {
    while let Some(message) = queue.recv().await {
        writer.send(&message).await?;
    }
    Ok(())
}

/// Hands messages to the actor until the link ends or the peer redirects.
async fn read_all(
    reader: &mut Reader<Downward>,
    actor: &Recipient<UpstreamEvent>,
    address: SocketAddr,
    staleness: &mut Staleness,
) -> Result<Option<Redirect>, LinkError> {
    let mut opened = false;
    staleness.begin();
    loop {
        let received = tokio::time::timeout(HEARTBEAT_TIMEOUT, reader.receive()).await;
        let message = received.map_err(|_elapsed| LinkError::HeartbeatTimeout)??;
        match message.body {
            Some(downward::Body::Beat(beat)) => {
                actor.do_send(UpstreamEvent::Beat(beat.fresh));
                staleness.hear(beat.fresh)?;
            }
            Some(downward::Body::Redirect(redirect)) => return Ok(Some(redirect)),
            Some(body) => {
                if !opened {
                    Event::LinkOpened.emit(&[("address", &address)]);
                    opened = true;
                }
                let handed = actor.send(UpstreamEvent::Received(Box::new(body))).await;
                handed.map_err(|_gone| LinkError::Ended)?;
            }
            None => {}
        }
    }
}

/// How long the process above has had no word of a current leader.
#[derive(Debug, Default)]
struct Staleness {
    fresh_at: Option<Instant>,
    /// When the link began.
    began: Option<Instant>,
    /// Whether any link was ever fresh.
    was_fresh: bool,
    /// Links given up in a row for this reason.
    given_up: usize,
    /// Processes that can serve.
    relays: usize,
}

impl Staleness {
    /// Begins a link.
    fn begin(&mut self) {
        self.began = Some(Instant::now());
        self.fresh_at = None;
    }

    /// Takes a beat; a link that is not fresh for too long is given up.
    ///
    /// A new link that is not fresh is given up at once, until each process has been tried, if others were fresh.
    fn hear(&mut self, fresh: bool) -> Result<(), LinkError> {
        if fresh {
            self.fresh_at = Some(Instant::now());
            self.was_fresh = true;
            self.given_up = 0;
            return Ok(());
        }
        let rounds = self.given_up / self.relays.max(1);
        let limit = match (self.fresh_at, rounds) {
            (None, 0) if self.was_fresh => Duration::ZERO,
            _ => STALE_LIMIT * (1 << rounds.min(MAX_STALE_DOUBLINGS)),
        };
        let since = self.fresh_at.or(self.began);
        if since.is_some_and(|since| since.elapsed() >= limit) && self.relays > 1 {
            self.given_up += 1;
            return Err(LinkError::Stale);
        }
        Ok(())
    }
}

/// Returns the delay after a number of failures, in milliseconds.
fn delay(failures: u32) -> u64 {
    (FIRST_DELAY << failures.min(10)).min(MAX_DELAY)
}

/// Sleeps for half to all of `ms` milliseconds.
async fn sleep_jittered(ms: u64) {
    let jittered = rand::rng().random_range(ms / 2..=ms);
    tokio::time::sleep(Duration::from_millis(jittered)).await;
}
