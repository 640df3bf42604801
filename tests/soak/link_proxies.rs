//! A TCP proxy for each link from one controller to another, which injects the network faults.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::controllers::ControllerProcesses;
use crate::rig::Rig;
use crate::schedule::Cut;

/// Interval at which a proxy checks whether its link is interrupted.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A link from one controller to another. The settings of `from` give `listen_address` as the address of `to`.
pub struct Link {
    pub from: usize,
    pub to: usize,
    pub listen_address: String,
}

/// Runs the proxy of a link until the end of the run. Connections are refused while the target is down or the link is
/// reset.
pub async fn run_proxy(rig: Arc<Rig>, processes: Arc<ControllerProcesses>, link: Link) {
    let link = Arc::new(link);
    let is_refusing = |rig: &Rig, processes: &ControllerProcesses, link: &Link| {
        !processes.has_process(link.to)
            || rig.faults.lock().unwrap().link_cut(link.from, link.to) == Some(Cut::Reset)
    };
    loop {
        if is_refusing(&rig, &processes, &link) {
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        }
        let Ok(listener) = TcpListener::bind(&link.listen_address).await else {
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        };
        while !is_refusing(&rig, &processes, &link) {
            if let Ok(Ok((stream, _))) = tokio::time::timeout(POLL_INTERVAL, listener.accept()).await {
                tokio::spawn(forward(rig.clone(), link.clone(), stream));
            }
        }
    }
}

/// Forwards data to the target, which never answers on the same connection.
async fn forward(rig: Arc<Rig>, link: Arc<Link>, mut from: TcpStream) {
    let cut = || rig.faults.lock().unwrap().link_cut(link.from, link.to);
    while cut() == Some(Cut::Hold) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let Ok(mut to) = TcpStream::connect(&rig.nodes[link.to].internal).await else { return };
    let (mut buffer, mut back) = (vec![0; 64 << 10], [0; 64]);
    loop {
        match cut() {
            Some(Cut::Reset) => return,
            Some(Cut::Hold) => {
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            None => {}
        }
        tokio::select! {
            read = from.read(&mut buffer) => {
                let Ok(length) = read else { return };
                if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
                    return;
                }
            }
            // The target has closed the connection.
            _ = to.read(&mut back) => return,
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
    }
}
