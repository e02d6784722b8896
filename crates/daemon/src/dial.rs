//! Opens TCP connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::net::TcpStream;

/// Time between two attempts; the kernel would repeat a lost opening packet only after a second.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of attempts.
const MAX_ATTEMPTS: u32 = 4;

/// Opens a connection to `address`; the caller limits the time.
///
/// An attempt that gets no reply doesn't hold up the next one: its opening packet may be lost, or the peer's VM may
/// have been without power when it was sent. The first attempt that succeeds or fails decides.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let mut attempts: FuturesUnordered<_> = (0..MAX_ATTEMPTS)
        .map(|number| async move {
            tokio::time::sleep(ATTEMPT_INTERVAL * number).await;
            TcpStream::connect(address).await
        })
        .collect();
    attempts.next().await.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}
