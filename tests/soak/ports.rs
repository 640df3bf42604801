//! The ports of a run, claimed for as long as it lasts, so that soaks that run at the same time do not take each other's.

use std::net::UdpSocket;
use std::sync::atomic::{AtomicU16, Ordering};

use tokio::net::TcpListener;

/// Ports that are given up and taken again lie below those that systems choose for outgoing connections: one of these
/// would else take a port while its controller is down or its link refuses.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// An address that nobody listens at, and that no other run is given while this lives.
pub struct ClaimedAddress {
    pub address: String,
    /// The datagram port of the same number, which nothing else uses, shows other soaks that it is taken.
    _claim: UdpSocket,
}

/// Claims an address.
pub async fn claim_address() -> std::io::Result<ClaimedAddress> {
    let count = PORTS.end - PORTS.start;
    let offset = (std::process::id() % u32::from(count)) as u16;
    for _ in 0..count {
        let n = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let address = format!("127.0.0.1:{}", PORTS.start + (offset.wrapping_add(n) % count));
        let Ok(claim) = UdpSocket::bind(&address) else { continue };
        if TcpListener::bind(&address).await.is_ok() {
            return Ok(ClaimedAddress { address, _claim: claim });
        }
    }
    Err(std::io::Error::other("no port is free"))
}
