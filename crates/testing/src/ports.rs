//! Free ports on loopback.

use std::net::{TcpListener, UdpSocket};

/// Returns a port that no TCP or UDP socket uses at the moment.
pub(crate) fn free_port() -> u16 {
    loop {
        let Ok(tcp) = TcpListener::bind("127.0.0.1:0") else { continue };
        let Ok(address) = tcp.local_addr() else { continue };
        if UdpSocket::bind(address).is_ok() {
            return address.port();
        }
    }
}

/// Returns a free address on loopback.
pub(crate) fn free_address() -> String {
    format!("127.0.0.1:{}", free_port())
}
