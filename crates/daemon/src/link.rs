//! Links between processes: QUIC with mutual TLS or plaintext TCP, carrying streams of typed messages.

use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use kingcuplift_core::ByteSize;
use kingcuplift_keys::{
    Credentials, ProcessIdentity, Protocol, Role, TlsError, client_config, server_config,
};
use kingcuplift_schema::Message;
use kingcuplift_schema::control::Greeting;
use quinn::crypto::rustls::HandshakeData;
use quinn::{ClientConfig, Connection};
use rustls::pki_types::CertificateDer;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::dial;
use crate::error::StartError;

/// Maximum size of an encoded message.
const MAX_MESSAGE_SIZE: ByteSize = ByteSize::mib(256);
/// Maximum size of the greeting, the first message on a TCP link.
const MAX_GREETING_SIZE: ByteSize = ByteSize::kib(4);
/// Timeout for opening a QUIC connection, including the handshake.
const QUIC_CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for opening a TCP connection.
const TCP_CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout for the greeting on a TCP link.
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which sent data may stay unacknowledged before a TCP link is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the first TCP keepalive probe, and interval of the probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a TCP link is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Receiving half of a stream.
type ReceiveHalf = Pin<Box<dyn AsyncRead + Send>>;
/// Sending half of a stream.
type SendHalf = Pin<Box<dyn AsyncWrite + Send>>;

/// Reason why a link could not be opened or has ended.
#[derive(Debug, Error)]
pub(crate) enum LinkError {
    /// The connection attempt can't be started.
    #[error("can't connect: {0}")]
    Connect(#[from] quinn::ConnectError),
    /// The connection ended.
    #[error("the connection ended: {0}")]
    Connection(#[from] quinn::ConnectionError),
    /// A stream failed.
    #[error("the stream failed: {0}")]
    Stream(#[from] io::Error),
    /// A message is malformed.
    #[error("a message can't be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The peer ended the stream.
    #[error("the peer ended the stream")]
    Ended,
    /// The peer's certificate or greeting is missing or has no valid identity or protocol.
    #[error("the peer did not present a valid name, availability zone, roles and protocol")]
    InvalidIdentity,
    /// No heartbeat or other message has arrived within the timeout.
    #[error("no message has arrived within the heartbeat timeout")]
    HeartbeatTimeout,
    /// The peer has had no contact with a current leader for too long.
    #[error("the peer has had no contact with a current leader for too long")]
    Stale,
    /// The only stream of a TCP link is already in use.
    #[error("a TCP link carries only one stream")]
    StreamTaken,
}

/// How links are secured.
#[derive(Debug, Clone)]
pub enum Security {
    /// QUIC with mutual TLS; each process is identified by its certificate.
    Tls(Credentials),
    /// Plaintext TCP; each process states its identity, which is not verified.
    Plaintext(ProcessIdentity),
}

/// A socket that accepts and opens links.
#[derive(Debug, Clone)]
pub struct Endpoint(Transport);

#[derive(Debug, Clone)]
enum Transport {
    Quic { socket: quinn::Endpoint, client_configs: Arc<ArcSwap<ClientConfigs>> },
    Tcp { listener: Arc<TcpListener>, identity: Arc<ProcessIdentity> },
}

/// TLS settings of outgoing connections, by protocol.
#[derive(Debug)]
struct ClientConfigs {
    peer: ClientConfig,
    distribution: ClientConfig,
}

impl ClientConfigs {
    fn new(credentials: &Credentials) -> Result<Self, TlsError> {
        Ok(Self {
            peer: client_config(credentials, Protocol::Peer)?,
            distribution: client_config(credentials, Protocol::Distribution)?,
        })
    }
}

/// An incoming connection whose handshake is not complete.
#[derive(Debug)]
pub(crate) enum IncomingConnection {
    Quic(Box<quinn::Incoming>),
    Tcp(TcpStream),
}

impl IncomingConnection {
    /// Refuses the connection.
    pub(crate) fn refuse(self) {
        match self {
            Self::Quic(incoming) => incoming.refuse(),
            Self::Tcp(stream) => drop(stream),
        }
    }
}

/// An open connection.
#[derive(Debug)]
pub(crate) enum Link {
    Quic(Connection),
    /// The only stream of the link, until it is in use.
    Tcp(Option<TcpStream>),
}

/// An accepted link with the identity from the peer's certificate or greeting.
#[derive(Debug)]
pub(crate) struct AcceptedLink {
    pub(crate) link: Link,
    pub(crate) identity: ProcessIdentity,
    pub(crate) protocol: Protocol,
}

impl Endpoint {
    /// Binds an endpoint to `address`; port 0 selects any free port.
    pub fn bind(address: SocketAddr, security: &Security) -> Result<Self, StartError> {
        let unavailable = |source| StartError::Address { address, source };
        let transport = match security {
            Security::Tls(credentials) => {
                let socket = quinn::Endpoint::server(server_config(credentials)?, address)
                    .map_err(unavailable)?;
                let client_configs =
                    Arc::new(ArcSwap::from_pointee(ClientConfigs::new(credentials)?));
                Transport::Quic { socket, client_configs }
            }
            Security::Plaintext(identity) => {
                let listener = listen(address).map_err(unavailable)?;
                Transport::Tcp {
                    listener: Arc::new(listener),
                    identity: Arc::new(identity.clone()),
                }
            }
        };
        Ok(Self(transport))
    }

    /// Replaces the credentials, which then apply to all new connections.
    pub(crate) fn set_credentials(&self, credentials: &Credentials) -> Result<(), TlsError> {
        if let Transport::Quic { socket, client_configs } = &self.0 {
            let new_configs = ClientConfigs::new(credentials)?;
            socket.set_server_config(Some(server_config(credentials)?));
            client_configs.store(Arc::new(new_configs));
        }
        Ok(())
    }

    /// Returns the timeout for one connection attempt.
    pub(crate) fn connect_timeout(&self) -> Duration {
        match &self.0 {
            Transport::Quic { .. } => QUIC_CONNECT_TIMEOUT,
            Transport::Tcp { .. } => TCP_CONNECT_TIMEOUT,
        }
    }

    /// Waits for the next incoming connection; `None` means that the endpoint is closed.
    pub(crate) async fn accept(&self) -> Option<IncomingConnection> {
        match &self.0 {
            Transport::Quic { socket, .. } => {
                socket.accept().await.map(|incoming| IncomingConnection::Quic(Box::new(incoming)))
            }
            Transport::Tcp { listener, .. } => loop {
                match listener.accept().await {
                    Ok((stream, _)) => return Some(IncomingConnection::Tcp(stream)),
                    Err(error) => {
                        log::warn!("can't accept a TCP link: {error}");
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            },
        }
    }

    /// Opens a link to a process; with TLS, its certificate must be valid for `role`.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        role: Role,
        protocol: Protocol,
    ) -> Result<Link, LinkError> {
        match &self.0 {
            Transport::Quic { socket, client_configs } => {
                let configs = client_configs.load();
                let config = match protocol {
                    Protocol::Peer => configs.peer.clone(),
                    Protocol::Distribution => configs.distribution.clone(),
                };
                let connecting = socket.connect_with(config, address, &role.server_name())?;
                Ok(Link::Quic(connecting.await?))
            }
            Transport::Tcp { identity, .. } => {
                let mut stream = dial::connect(address).await?;
                set_tcp_options(&stream)?;
                send_greeting(&mut stream, identity, protocol).await?;
                Ok(Link::Tcp(Some(stream)))
            }
        }
    }
}

/// Delay after a failed accept, for instance when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Opens a listening TCP socket.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Turns off Nagle's algorithm and makes the operating system detect a dead peer.
fn set_tcp_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Sends the identity of this process.
async fn send_greeting(
    stream: &mut TcpStream,
    identity: &ProcessIdentity,
    protocol: Protocol,
) -> Result<(), LinkError> {
    let greeting = Greeting {
        protocol: String::from_utf8_lossy(protocol.alpn()).into_owned(),
        name: identity.name.to_string(),
        zone: identity.zone.to_string(),
        roles: identity.roles.iter().map(ToString::to_string).collect(),
    };
    let mut frames = FramedWrite::new(stream, codec(MAX_GREETING_SIZE));
    Ok(frames.send(Bytes::from(greeting.encode_to_vec())).await?)
}

/// Completes the handshake of an incoming connection.
pub(crate) async fn complete_handshake(
    incoming: IncomingConnection,
) -> Result<AcceptedLink, LinkError> {
    match incoming {
        IncomingConnection::Quic(incoming) => {
            let connection = (*incoming).await?;
            let identity = peer_identity(&connection).ok_or(LinkError::InvalidIdentity)?;
            let data = connection.handshake_data();
            let data = data.and_then(|data| data.downcast::<HandshakeData>().ok());
            let alpn = data.and_then(|data| data.protocol).unwrap_or_default();
            let protocol = find_protocol(&alpn)?;
            Ok(AcceptedLink { link: Link::Quic(connection), identity, protocol })
        }
        IncomingConnection::Tcp(stream) => {
            set_tcp_options(&stream)?;
            let received = tokio::time::timeout(GREETING_TIMEOUT, read_greeting(stream));
            received.await.map_err(|_elapsed| LinkError::InvalidIdentity)?
        }
    }
}

async fn read_greeting(mut stream: TcpStream) -> Result<AcceptedLink, LinkError> {
    let length = stream.read_u32().await? as usize;
    if length > MAX_GREETING_SIZE.as_usize() {
        return Err(LinkError::InvalidIdentity);
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    let greeting = Greeting::decode(bytes.as_slice())?;
    let protocol = find_protocol(greeting.protocol.as_bytes())?;
    let roles: Result<_, _> = greeting.roles.iter().map(|role| role.parse()).collect();
    let (Ok(name), Ok(zone), Ok(roles)) = (greeting.name.parse(), greeting.zone.parse(), roles)
    else {
        return Err(LinkError::InvalidIdentity);
    };
    Ok(AcceptedLink {
        link: Link::Tcp(Some(stream)),
        identity: ProcessIdentity { name, zone, roles },
        protocol,
    })
}

fn find_protocol(name: &[u8]) -> Result<Protocol, LinkError> {
    let found = Protocol::ALL.into_iter().find(|protocol| protocol.alpn() == name);
    found.ok_or(LinkError::InvalidIdentity)
}

fn peer_identity(connection: &Connection) -> Option<ProcessIdentity> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    ProcessIdentity::from_certificate(chain.first()?)
}

impl Link {
    /// Opens a bidirectional stream.
    pub(crate) async fn open_stream(&mut self) -> Result<(SendHalf, ReceiveHalf), LinkError> {
        match self {
            Self::Quic(connection) => {
                let (send, receive) = connection.open_bi().await?;
                Ok((Box::pin(send), Box::pin(receive)))
            }
            Self::Tcp(..) => self.take_stream(),
        }
    }

    /// Accepts a bidirectional stream.
    pub(crate) async fn accept_stream(&mut self) -> Result<(SendHalf, ReceiveHalf), LinkError> {
        match self {
            Self::Quic(connection) => {
                let (send, receive) = connection.accept_bi().await?;
                Ok((Box::pin(send), Box::pin(receive)))
            }
            Self::Tcp(..) => self.take_stream(),
        }
    }

    /// Returns the underlying connection of a QUIC link.
    pub(crate) fn quic_connection(&self) -> Option<&Connection> {
        match self {
            Self::Quic(connection) => Some(connection),
            Self::Tcp(..) => None,
        }
    }

    fn take_stream(&mut self) -> Result<(SendHalf, ReceiveHalf), LinkError> {
        match self {
            Self::Tcp(stream) => {
                let (receive, send) = stream.take().ok_or(LinkError::StreamTaken)?.into_split();
                Ok((Box::pin(send), Box::pin(receive)))
            }
            Self::Quic(_) => Err(LinkError::StreamTaken),
        }
    }
}

/// Sends messages of one type.
pub(crate) struct Writer<M> {
    frames: FramedWrite<SendHalf, LengthDelimitedCodec>,
    message: PhantomData<M>,
}

impl<M: Message> Writer<M> {
    pub(crate) fn new(stream: SendHalf) -> Self {
        Self { frames: FramedWrite::new(stream, codec(MAX_MESSAGE_SIZE)), message: PhantomData }
    }

    /// Sends one message.
    pub(crate) async fn send(&mut self, message: &M) -> Result<(), LinkError> {
        let bytes = Bytes::from(message.encode_to_vec());
        Ok(self.frames.send(bytes).await?)
    }
}

/// Receives messages of one type.
pub(crate) struct Reader<M> {
    frames: FramedRead<ReceiveHalf, LengthDelimitedCodec>,
    message: PhantomData<M>,
}

impl<M: Message + Default> Reader<M> {
    pub(crate) fn new(stream: ReceiveHalf) -> Self {
        Self { frames: FramedRead::new(stream, codec(MAX_MESSAGE_SIZE)), message: PhantomData }
    }

    /// Receives one message.
    pub(crate) async fn receive(&mut self) -> Result<M, LinkError> {
        let frame = self.frames.next().await.ok_or(LinkError::Ended)??;
        Ok(M::decode(frame)?)
    }
}

fn codec(max_size: ByteSize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(max_size.as_usize()).new_codec()
}
