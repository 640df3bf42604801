//! One small proxy for each link from one controller to another, which does the network's part.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::controllers::Processes;
use crate::rig::Rig;
use crate::schedule::Cut;

/// How often a proxy looks whether its link is cut.
const LOOK: Duration = Duration::from_millis(20);

/// A link's two ends, and the address at which the first one is told that the other is.
pub struct Link {
    pub from: usize,
    pub to: usize,
    pub address: String,
}

/// Runs a link until the run is over. While the other end is down, or the link is reset, connections are refused.
pub async fn run(rig: Arc<Rig>, processes: Arc<Processes>, link: Link) {
    let link = Arc::new(link);
    let refuses = |rig: &Rig, processes: &Processes, link: &Link| {
        !processes.runs(link.to) || rig.faults.lock().unwrap().link(link.from, link.to) == Some(Cut::Reset)
    };
    loop {
        if refuses(&rig, &processes, &link) {
            tokio::time::sleep(LOOK).await;
            continue;
        }
        let Ok(listener) = TcpListener::bind(&link.address).await else {
            tokio::time::sleep(LOOK).await;
            continue;
        };
        while !refuses(&rig, &processes, &link) {
            if let Ok(Ok((stream, _))) = tokio::time::timeout(LOOK, listener.accept()).await {
                tokio::spawn(carry(rig.clone(), link.clone(), stream));
            }
        }
    }
}

/// Carries what one end sends to the other, which never answers on the same connection.
async fn carry(rig: Arc<Rig>, link: Arc<Link>, mut from: TcpStream) {
    let cut = || rig.faults.lock().unwrap().link(link.from, link.to);
    while cut() == Some(Cut::Hold) {
        tokio::time::sleep(LOOK).await;
    }
    let Ok(mut to) = TcpStream::connect(&rig.nodes[link.to].internal).await else { return };
    let (mut buffer, mut back) = (vec![0; 64 << 10], [0; 64]);
    loop {
        match cut() {
            Some(Cut::Reset) => return,
            Some(Cut::Hold) => {
                tokio::time::sleep(LOOK).await;
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
            // The other end has gone.
            _ = to.read(&mut back) => return,
            () = tokio::time::sleep(LOOK) => {}
        }
    }
}
