//! An operator that sends each order to one member after the other until it is confirmed.

use std::fmt;
use std::str::FromStr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::plaintext_site::{MAX_REDIRECTS, RawResponse, request_within};

/// Time without a response after which the operator turns to another member.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after the first failed attempt; each further one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Time after which the operator makes no further attempt at an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(20);

/// An operator's request that changes the state of the source.
#[derive(Debug, Clone)]
pub struct Order {
    /// HTTP method.
    pub method: &'static str,
    /// Path.
    pub path: String,
    /// Header lines, each with CRLF at its end.
    pub headers: String,
    /// Body.
    pub body: String,
}

/// One request of an order.
#[derive(Debug, Clone)]
struct Attempt {
    /// Time since the order was first sent.
    sent_after: Duration,
    address: String,
    /// Status of the response; 0 if none arrived in time.
    status: u16,
}

/// How an order went.
#[derive(Debug, Clone)]
pub struct OrderReport {
    /// Time until the order was confirmed, or until the operator gave up.
    pub duration: Duration,
    /// Response that ended the order.
    pub response: RawResponse,
    attempts: Vec<Attempt>,
}

/// Fraction of the clear responses that are lost on their way to the operator.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct LossRate(f64);

impl fmt::Display for LossRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for LossRate {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fraction: f64 = text.parse().map_err(|error| format!("{text:?}: {error}"))?;
        match fraction {
            0.0..=1.0 => Ok(Self(fraction)),
            _ => Err(format!("{text:?} is not a fraction between 0 and 1")),
        }
    }
}

impl OrderReport {
    /// Returns whether the order was confirmed.
    pub fn is_confirmed(&self) -> bool {
        matches!(self.response.status, 200..300)
    }

    /// Returns the address of the member that ended the order.
    pub(crate) fn last_address(&self) -> Option<&str> {
        self.attempts.last().map(|attempt| attempt.address.as_str())
    }
}

impl fmt::Display for OrderReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2} s", self.duration.as_secs_f64())?;
        for attempt in &self.attempts {
            let sent_after = attempt.sent_after.as_secs_f64();
            write!(f, ", {sent_after:.2} {} {}", attempt.address, attempt.status)?;
        }
        Ok(())
    }
}

/// An operator with a list of members.
#[derive(Debug)]
pub struct Operator {
    addresses: Vec<String>,
    /// Number of further members in the operator's list that are gone.
    gone: usize,
    rng: SmallRng,
    loss_rate: LossRate,
}

impl Operator {
    /// Creates an operator that picks members at random.
    pub fn new(addresses: Vec<String>, seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { addresses, gone: 0, rng, loss_rate: LossRate::default() }
    }

    /// Sets how many members in the operator's list are gone; attempts there get no response.
    #[must_use]
    pub fn with_gone(mut self, gone: usize) -> Self {
        self.gone = gone;
        self
    }

    /// Sets how many of the clear responses the operator doesn't receive.
    #[must_use]
    pub fn with_loss_rate(mut self, loss_rate: LossRate) -> Self {
        self.loss_rate = loss_rate;
        self
    }

    /// Sends an order, with a growing pause after each attempt that gets no clear response, until it is confirmed or
    /// refused.
    pub fn send(&mut self, order: &Order) -> OrderReport {
        let started_at = Instant::now();
        let count = self.addresses.len() + self.gone;
        let mut next = self.rng.random_range(0..count);
        let mut pause = FIRST_PAUSE;
        let mut attempts = Vec::new();
        loop {
            let response = match self.addresses.get(next) {
                Some(address) => send_once(order, address.clone(), started_at, &mut attempts),
                None => {
                    let (sent_after, address) = (started_at.elapsed(), "gone".to_owned());
                    attempts.push(Attempt { sent_after, address, status: 0 });
                    std::thread::sleep(RESPONSE_TIMEOUT);
                    RawResponse::default()
                }
            };
            let is_clear = match response.status {
                408 | 429 => false,
                200..500 => !self.rng.random_bool(self.loss_rate.0),
                _ => false,
            };
            if is_clear || started_at.elapsed() > ORDER_TIMEOUT {
                return OrderReport { duration: started_at.elapsed(), response, attempts };
            }
            std::thread::sleep(pause);
            pause *= 2;
            next = (next + 1) % count;
        }
    }
}

/// Sends an order to a member, and on to those that the responses redirect to.
fn send_once(
    order: &Order,
    mut address: String,
    started_at: Instant,
    attempts: &mut Vec<Attempt>,
) -> RawResponse {
    let Order { method, path, headers, body } = order;
    let mut redirects = 0;
    loop {
        let sent_after = started_at.elapsed();
        let response = request_within(&address, method, path, headers, body, RESPONSE_TIMEOUT);
        attempts.push(Attempt { sent_after, address, status: response.status });
        match response.redirect_host() {
            Some(host) if redirects < MAX_REDIRECTS => address = host.to_owned(),
            Some(_) => return RawResponse::default(),
            None => return response,
        }
        redirects += 1;
    }
}
