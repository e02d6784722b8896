//! Maintains the link to an upstream process: from a relay to the source, or from a node to a relay.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use actix::{Message, Recipient};
use arc_swap::ArcSwap;
use kingcuplift_core::Event;
use kingcuplift_keys::{Protocol, Role};
use kingcuplift_schema::control::{Downward, Redirect, Upward, downward};
use kingcuplift_traffic::LinkStaleness;
use rand::Rng;
use tokio::sync::{mpsc, watch};

use crate::clock::monotonic_ms;
use crate::link::{Endpoint, LinkError, Reader, Writer};
use crate::session::HEARTBEAT_TIMEOUT;

/// Initial delay before reconnecting, in milliseconds.
const INITIAL_RETRY_DELAY_MS: u64 = 50;
/// Maximum delay before reconnecting, in milliseconds.
const MAX_RETRY_DELAY_MS: u64 = 800;
/// Upper bound, exclusive, of the random index of the first address.
const MAX_START_INDEX: usize = 64;
/// Capacity of the queue of outgoing messages.
const SEND_QUEUE_CAPACITY: usize = 256;

/// An event on the upstream link.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) enum UpstreamEvent {
    /// A link to an address was opened; the first message sent on it must be a hello.
    Opened(SocketAddr, mpsc::Sender<Upward>),
    /// A message arrived.
    Received(Box<downward::Body>),
    /// A heartbeat arrived, stating whether the upstream process has contact with a current leader.
    Heartbeat(bool),
    /// The link was closed.
    Closed,
}

/// Addresses of the upstream processes, which can be changed at run time; never empty.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamAddresses {
    configured: Arc<ArcSwap<Vec<SocketAddr>>>,
    candidates: Arc<ArcSwap<Vec<SocketAddr>>>,
    /// Only address to connect to, if known, such as the leader's; used in place of the candidates.
    preferred: watch::Sender<Option<SocketAddr>>,
}

impl UpstreamAddresses {
    /// Creates the list from the addresses in the settings.
    pub(crate) fn new(configured: Vec<SocketAddr>) -> Self {
        let candidates = Arc::new(ArcSwap::from_pointee(configured.clone()));
        Self {
            configured: Arc::new(ArcSwap::from_pointee(configured)),
            candidates,
            preferred: watch::Sender::new(None),
        }
    }

    /// Sets the only address to connect to, or removes it.
    pub(crate) fn set_preferred(&self, address: Option<SocketAddr>) {
        self.preferred.send_if_modified(|current| std::mem::replace(current, address) != address);
    }

    /// Waits until an address other than `address` is preferred, and returns it.
    async fn wait_for_other_preferred(&self, address: SocketAddr) -> SocketAddr {
        let mut changes = self.preferred.subscribe();
        loop {
            let preferred = *changes.borrow_and_update();
            match preferred {
                Some(preferred) if preferred != address => return preferred,
                _ => {}
            }
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Returns the number of candidates.
    fn len(&self) -> usize {
        self.candidates.load().len()
    }

    /// Replaces the addresses from the settings.
    pub(crate) fn set_configured(&self, configured: Vec<SocketAddr>) {
        self.configured.store(Arc::new(configured));
        self.set_discovered(self.candidates.load().to_vec());
    }

    /// Replaces the discovered addresses, best first; they are tried before those in the settings.
    pub(crate) fn set_discovered(&self, discovered: Vec<SocketAddr>) {
        let mut candidates = discovered;
        for address in self.configured.load().iter() {
            if !candidates.contains(address) {
                candidates.push(*address);
            }
        }
        self.candidates.store(Arc::new(candidates));
    }

    /// Returns the address for an attempt.
    fn pick(&self, attempt: usize) -> SocketAddr {
        let candidates = self.candidates.load();
        let preferred = *self.preferred.borrow();
        preferred.unwrap_or_else(|| candidates[attempt % candidates.len()])
    }
}

/// Client side of the upstream link.
#[derive(Debug, Clone)]
pub(crate) struct Upstream {
    pub(crate) endpoint: Endpoint,
    pub(crate) role: Role,
    pub(crate) addresses: UpstreamAddresses,
    pub(crate) meter: Arc<LinkMeter>,
}

/// Counter of the bytes of one process's upstream links: UDP payloads in both directions.
#[derive(Debug, Default)]
pub struct LinkMeter {
    closed_bytes: AtomicU64,
    current: Mutex<Option<quinn::Connection>>,
}

impl LinkMeter {
    /// Returns the bytes sent and received so far.
    pub fn bytes(&self) -> u64 {
        let current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        self.closed_bytes.load(Ordering::Relaxed) + current.as_ref().map_or(0, udp_bytes)
    }

    /// Sets the connection that is counted, in place of the previous one.
    fn set_connection(&self, connection: Option<quinn::Connection>) {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        let closed_bytes = current.as_ref().map_or(0, udp_bytes);
        self.closed_bytes.fetch_add(closed_bytes, Ordering::Relaxed);
        *current = connection;
    }
}

fn udp_bytes(connection: &quinn::Connection) -> u64 {
    let stats = connection.stats();
    stats.udp_tx.bytes + stats.udp_rx.bytes
}

impl Upstream {
    /// Connects and reconnects, reporting all events to `actor`, until the actor has stopped.
    pub(crate) async fn run(self, actor: Recipient<UpstreamEvent>) {
        let mut failures = 0;
        // A random start index spreads processes that start together over the addresses.
        let mut index = rand::rng().random_range(0..MAX_START_INDEX);
        let mut next: Option<SocketAddr> = None;
        let mut staleness = LinkStaleness::default();
        while actor.connected() {
            let address = next.take().unwrap_or_else(|| self.addresses.pick(index));
            let outcome = tokio::select! {
                outcome = self.serve(address, &actor, &mut staleness) => outcome,
                preferred = self.addresses.wait_for_other_preferred(address) => {
                    actor.do_send(UpstreamEvent::Closed);
                    next = Some(preferred);
                    continue;
                }
            };
            match outcome {
                Ok(Some(redirect)) => {
                    next = redirect.address.parse().ok();
                    failures += u32::from(next.is_none());
                    index += usize::from(next.is_none());
                    self.wait_before_retry(redirect.retry_ms, address).await;
                }
                Ok(None) => {
                    failures = 0;
                    index += 1;
                }
                Err(error) => {
                    Event::LinkFailed.emit(&[("address", &address), ("reason", &error)]);
                    index += 1;
                    failures += 1;
                    self.wait_before_retry(retry_delay_ms(failures), address).await;
                }
            }
        }
    }

    /// Waits before the next attempt, or until an address other than `address` is preferred.
    async fn wait_before_retry(&self, delay_ms: u64, address: SocketAddr) {
        tokio::select! {
            () = sleep_jittered(delay_ms) => {}
            _ = self.addresses.wait_for_other_preferred(address) => {}
        }
    }

    /// Serves one link until it ends; returns the redirect if the peer sent one.
    async fn serve(
        &self,
        address: SocketAddr,
        actor: &Recipient<UpstreamEvent>,
        staleness: &mut LinkStaleness,
    ) -> Result<Option<Redirect>, LinkError> {
        let connecting = self.endpoint.connect(address, self.role, Protocol::Distribution);
        let mut link =
            tokio::time::timeout(self.endpoint.connect_timeout(), connecting)
                .await
                .map_err(|_elapsed| LinkError::Connection(quinn::ConnectionError::TimedOut))??;
        self.meter.set_connection(link.quic_connection().cloned());
        let (send, receive) = link.open_stream().await?;
        let (sender, queue) = mpsc::channel(SEND_QUEUE_CAPACITY);
        actor.do_send(UpstreamEvent::Opened(address, sender));
        let mut reader: Reader<Downward> = Reader::new(receive);
        staleness.link_opened(self.addresses.len(), monotonic_ms());
        let result = tokio::select! {
            outcome = send_queued(Writer::new(send), queue) => outcome.map(|()| None),
            outcome = receive_all(&mut reader, actor, address, staleness) => outcome,
        };
        self.meter.set_connection(None);
        actor.do_send(UpstreamEvent::Closed);
        match result {
            Ok(redirect) => Ok(redirect),
            Err(LinkError::Stale) => Ok(None),
            Err(error) => {
                Event::LinkClosed.emit(&[("address", &address), ("reason", &error)]);
                sleep_jittered(INITIAL_RETRY_DELAY_MS).await;
                Ok(None)
            }
        }
    }
}

async fn send_queued(
    mut writer: Writer<Upward>,
    mut queue: mpsc::Receiver<Upward>,
) -> Result<(), LinkError> {
    while let Some(message) = queue.recv().await {
        writer.send(&message).await?;
    }
    Ok(())
}

/// Delivers messages to the actor until the link ends or the peer redirects.
async fn receive_all(
    reader: &mut Reader<Downward>,
    actor: &Recipient<UpstreamEvent>,
    address: SocketAddr,
    staleness: &mut LinkStaleness,
) -> Result<Option<Redirect>, LinkError> {
    let mut is_reported = false;
    loop {
        let received = tokio::time::timeout(HEARTBEAT_TIMEOUT, reader.receive()).await;
        let message = received.map_err(|_elapsed| LinkError::HeartbeatTimeout)??;
        match message.body {
            Some(downward::Body::Beat(heartbeat)) => {
                actor.do_send(UpstreamEvent::Heartbeat(heartbeat.fresh));
                if staleness.record_heartbeat(heartbeat.fresh, monotonic_ms()) {
                    return Err(LinkError::Stale);
                }
            }
            Some(downward::Body::Redirect(redirect)) => return Ok(Some(redirect)),
            Some(body) => {
                if !is_reported {
                    Event::LinkOpened.emit(&[("address", &address)]);
                    is_reported = true;
                }
                let delivered = actor.send(UpstreamEvent::Received(Box::new(body))).await;
                delivered.map_err(|_stopped| LinkError::Ended)?;
            }
            None => {}
        }
    }
}

/// Returns the delay before the next attempt after `failures` consecutive failures, in milliseconds.
fn retry_delay_ms(failures: u32) -> u64 {
    (INITIAL_RETRY_DELAY_MS << failures.min(10)).min(MAX_RETRY_DELAY_MS)
}

/// Sleeps for a random time between half of `max_ms` and `max_ms`.
async fn sleep_jittered(max_ms: u64) {
    let delay_ms = rand::rng().random_range(max_ms / 2..=max_ms);
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
}
