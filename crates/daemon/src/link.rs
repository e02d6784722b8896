//! Links between processes: QUIC with certificates or TCP without, and typed message streams on both.

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

use crate::error::StartError;

/// Longest message.
const MAX_MESSAGE: ByteSize = ByteSize::mib(256);
/// Longest first message on a TCP link.
const MAX_GREETING: ByteSize = ByteSize::kib(4);
/// Longest time to open a QUIC connection, with its handshake.
const QUIC_CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// Longest time to open a TCP connection.
const TCP_CONNECT_LIMIT: Duration = Duration::from_millis(700);
/// Longest time for the first message on a TCP link.
const GREETING_LIMIT: Duration = Duration::from_secs(2);
/// Time for which sent bytes may stay unacknowledged before a TCP link counts as lost.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_500);
/// Idle time after which a TCP link is probed, and time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a TCP link counts as lost.
const PROBES: u32 = 2;

/// Receiving half of a stream.
type Incoming = Pin<Box<dyn AsyncRead + Send>>;
/// Sending half of a stream.
type Outgoing = Pin<Box<dyn AsyncWrite + Send>>;

/// Reason why a link could not be made or has ended.
#[derive(Debug, Error)]
pub(crate) enum LinkError {
    /// The connection attempt can't begin.
    #[error("can't connect: {0}")]
    Connect(#[from] quinn::ConnectError),
    /// The connection ended.
    #[error("the connection ended: {0}")]
    Connection(#[from] quinn::ConnectionError),
    /// A stream failed.
    #[error("the stream failed: {0}")]
    Stream(#[from] io::Error),
    /// A message is damaged.
    #[error("a message can't be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The peer ended the stream.
    #[error("the peer ended the stream")]
    Ended,
    /// The peer's certificate or greeting grants nothing.
    #[error("the peer shows no name, availability zone, role and protocol")]
    NoGrant,
    /// Nothing has arrived for too long.
    #[error("nothing has arrived for too long")]
    Silent,
    /// The peer has no word of a current leader.
    #[error("the peer has had no word of a current leader for too long")]
    Stale,
    /// The stream of a TCP link was taken before.
    #[error("a TCP link has one stream only")]
    Taken,
}

/// How links are secured.
#[derive(Debug, Clone)]
pub enum Security {
    /// QUIC; each process shows a certificate.
    Keys(Credentials),
    /// TCP; each process says who it is.
    Open(ProcessIdentity),
}

/// A socket that accepts and opens connections.
#[derive(Debug, Clone)]
pub struct Endpoint(Transport);

#[derive(Debug, Clone)]
enum Transport {
    Quic { socket: quinn::Endpoint, clients: Arc<ArcSwap<Clients>> },
    Tcp { listener: Arc<TcpListener>, own: Arc<ProcessIdentity> },
}

/// Settings of outgoing connections.
#[derive(Debug)]
struct Clients {
    peer: ClientConfig,
    distribution: ClientConfig,
}

impl Clients {
    fn new(credentials: &Credentials) -> Result<Self, TlsError> {
        Ok(Self {
            peer: client_config(credentials, Protocol::Peer)?,
            distribution: client_config(credentials, Protocol::Distribution)?,
        })
    }
}

/// An incoming connection before its handshake.
#[derive(Debug)]
pub(crate) enum Arriving {
    Quic(Box<quinn::Incoming>),
    Tcp(TcpStream),
}

impl Arriving {
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
    /// The only stream, until it is taken.
    Tcp(Option<TcpStream>),
}

/// An accepted connection with what its certificate or greeting grants.
#[derive(Debug)]
pub(crate) struct Accepted {
    pub(crate) link: Link,
    pub(crate) grant: ProcessIdentity,
    pub(crate) protocol: Protocol,
}

impl Endpoint {
    /// Opens an endpoint on `address`; port 0 stands for any free port.
    pub fn bind(address: SocketAddr, security: &Security) -> Result<Self, StartError> {
        let unavailable = |source| StartError::Address { address, source };
        let transport = match security {
            Security::Keys(credentials) => {
                let socket = quinn::Endpoint::server(server_config(credentials)?, address)
                    .map_err(unavailable)?;
                let clients = Arc::new(ArcSwap::from_pointee(Clients::new(credentials)?));
                Transport::Quic { socket, clients }
            }
            Security::Open(own) => {
                let listener = listen(address).map_err(unavailable)?;
                Transport::Tcp { listener: Arc::new(listener), own: Arc::new(own.clone()) }
            }
        };
        Ok(Self(transport))
    }

    /// Uses other credentials for all connections that begin from now on.
    pub(crate) fn renew(&self, credentials: &Credentials) -> Result<(), TlsError> {
        if let Transport::Quic { socket, clients } = &self.0 {
            let renewed = Clients::new(credentials)?;
            socket.set_server_config(Some(server_config(credentials)?));
            clients.store(Arc::new(renewed));
        }
        Ok(())
    }

    /// Returns the longest time for one connection attempt.
    pub(crate) fn connect_limit(&self) -> Duration {
        match &self.0 {
            Transport::Quic { .. } => QUIC_CONNECT_LIMIT,
            Transport::Tcp { .. } => TCP_CONNECT_LIMIT,
        }
    }

    /// Waits for the next connection attempt; `None` means that the endpoint is closed.
    pub(crate) async fn accept(&self) -> Option<Arriving> {
        match &self.0 {
            Transport::Quic { socket, .. } => {
                socket.accept().await.map(|incoming| Arriving::Quic(Box::new(incoming)))
            }
            Transport::Tcp { listener, .. } => loop {
                match listener.accept().await {
                    Ok((stream, _)) => return Some(Arriving::Tcp(stream)),
                    Err(error) => {
                        log::warn!("a link was not accepted: {error}");
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                }
            },
        }
    }

    /// Opens a connection to a process that must have `role`.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        role: Role,
        protocol: Protocol,
    ) -> Result<Link, LinkError> {
        match &self.0 {
            Transport::Quic { socket, clients } => {
                let clients = clients.load();
                let config = match protocol {
                    Protocol::Peer => clients.peer.clone(),
                    Protocol::Distribution => clients.distribution.clone(),
                };
                let connecting = socket.connect_with(config, address, &role.server_name())?;
                Ok(Link::Quic(connecting.await?))
            }
            Transport::Tcp { own, .. } => {
                let mut stream = TcpStream::connect(address).await?;
                watch(&stream)?;
                greet(&mut stream, own, protocol).await?;
                Ok(Link::Tcp(Some(stream)))
            }
        }
    }
}

/// Pause after a failed accept, for instance when no descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Opens a listening TCP socket.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Makes the operating system notice when the other end is gone.
fn watch(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}

/// Says who this process is.
async fn greet(
    stream: &mut TcpStream,
    own: &ProcessIdentity,
    protocol: Protocol,
) -> Result<(), LinkError> {
    let greeting = Greeting {
        protocol: String::from_utf8_lossy(protocol.alpn()).into_owned(),
        name: own.name.to_string(),
        zone: own.zone.to_string(),
        roles: own.roles.iter().map(ToString::to_string).collect(),
    };
    let mut frames = FramedWrite::new(stream, codec(MAX_GREETING));
    Ok(frames.send(Bytes::from(greeting.encode_to_vec())).await?)
}

/// Completes the handshake of an incoming connection.
pub(crate) async fn complete(arriving: Arriving) -> Result<Accepted, LinkError> {
    match arriving {
        Arriving::Quic(incoming) => {
            let connection = (*incoming).await?;
            let grant = peer_grant(&connection).ok_or(LinkError::NoGrant)?;
            let data = connection.handshake_data();
            let data = data.and_then(|data| data.downcast::<HandshakeData>().ok());
            let alpn = data.and_then(|data| data.protocol).unwrap_or_default();
            let protocol = find_protocol(&alpn)?;
            Ok(Accepted { link: Link::Quic(connection), grant, protocol })
        }
        Arriving::Tcp(stream) => {
            watch(&stream)?;
            let greeted = tokio::time::timeout(GREETING_LIMIT, read_greeting(stream));
            greeted.await.map_err(|_elapsed| LinkError::NoGrant)?
        }
    }
}

async fn read_greeting(mut stream: TcpStream) -> Result<Accepted, LinkError> {
    let length = stream.read_u32().await? as usize;
    if length > MAX_GREETING.as_usize() {
        return Err(LinkError::NoGrant);
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    let greeting = Greeting::decode(bytes.as_slice())?;
    let protocol = find_protocol(greeting.protocol.as_bytes())?;
    let roles: Result<_, _> = greeting.roles.iter().map(|role| role.parse()).collect();
    let (Ok(name), Ok(zone), Ok(roles)) = (greeting.name.parse(), greeting.zone.parse(), roles)
    else {
        return Err(LinkError::NoGrant);
    };
    Ok(Accepted {
        link: Link::Tcp(Some(stream)),
        grant: ProcessIdentity { name, zone, roles },
        protocol,
    })
}

fn find_protocol(name: &[u8]) -> Result<Protocol, LinkError> {
    let found = Protocol::ALL.into_iter().find(|protocol| protocol.alpn() == name);
    found.ok_or(LinkError::NoGrant)
}

fn peer_grant(connection: &Connection) -> Option<ProcessIdentity> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    ProcessIdentity::from_certificate(chain.first()?)
}

impl Link {
    /// Opens a stream in both directions.
    pub(crate) async fn open_both(&mut self) -> Result<(Outgoing, Incoming), LinkError> {
        match self {
            Self::Quic(connection) => {
                let (send, receive) = connection.open_bi().await?;
                Ok((Box::pin(send), Box::pin(receive)))
            }
            Self::Tcp(..) => self.take_both(),
        }
    }

    /// Accepts a stream in both directions.
    pub(crate) async fn accept_both(&mut self) -> Result<(Outgoing, Incoming), LinkError> {
        match self {
            Self::Quic(connection) => {
                let (send, receive) = connection.accept_bi().await?;
                Ok((Box::pin(send), Box::pin(receive)))
            }
            Self::Tcp(..) => self.take_both(),
        }
    }

    /// Returns the QUIC connection, whose bytes are counted.
    pub(crate) fn quic(&self) -> Option<&Connection> {
        match self {
            Self::Quic(connection) => Some(connection),
            Self::Tcp(..) => None,
        }
    }

    fn take_both(&mut self) -> Result<(Outgoing, Incoming), LinkError> {
        match self {
            Self::Tcp(stream) => {
                let (receive, send) = stream.take().ok_or(LinkError::Taken)?.into_split();
                Ok((Box::pin(send), Box::pin(receive)))
            }
            Self::Quic(_) => Err(LinkError::Taken),
        }
    }
}

/// Sends messages of one type.
pub(crate) struct Writer<M> {
    frames: FramedWrite<Outgoing, LengthDelimitedCodec>,
    kind: PhantomData<M>,
}

impl<M: Message> Writer<M> {
    pub(crate) fn new(stream: Outgoing) -> Self {
        Self { frames: FramedWrite::new(stream, codec(MAX_MESSAGE)), kind: PhantomData }
    }

    /// Sends one message.
    pub(crate) async fn send(&mut self, message: &M) -> Result<(), LinkError> {
        let bytes = Bytes::from(message.encode_to_vec());
        Ok(self.frames.send(bytes).await?)
    }
}

/// Receives messages of one type.
pub(crate) struct Reader<M> {
    frames: FramedRead<Incoming, LengthDelimitedCodec>,
    kind: PhantomData<M>,
}

impl<M: Message + Default> Reader<M> {
    pub(crate) fn new(stream: Incoming) -> Self {
        Self { frames: FramedRead::new(stream, codec(MAX_MESSAGE)), kind: PhantomData }
    }

    /// Receives one message.
    pub(crate) async fn receive(&mut self) -> Result<M, LinkError> {
        let frame = self.frames.next().await.ok_or(LinkError::Ended)??;
        Ok(M::decode(frame)?)
    }
}

fn codec(longest: ByteSize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(longest.as_usize()).new_codec()
}
