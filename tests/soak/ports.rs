//! Ports of a run, claimed for its whole duration, so that concurrent soaks do not use the same ports.

use std::net::UdpSocket;
use std::sync::atomic::{AtomicU16, Ordering};

use tokio::net::TcpListener;

/// Range of the ports, below the ephemeral ports that systems choose for outgoing connections: such a connection could
/// otherwise take a port while its controller is down or its link refuses connections.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// An address without a listener that no other run gets until this value is dropped.
pub struct ClaimedAddress {
    pub address: String,
    /// The UDP port of the same number, which has no other use; binding it marks the address as taken for other soaks.
    _claim: UdpSocket,
}

/// Claims an unused address on the loopback interface.
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
