//! Connections between controllers.
//!
//! Each controller opens one connection to every other one and sends its messages there. A frame is a length (`u32`,
//! big endian) and the payload. The first frame contains the sender's name, each further one a `bitcode` message.

use std::collections::HashMap;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use super::runtime::Input;
use crate::coordination::Event;
use crate::protocol::peer::PeerMessage;
use crate::settings::{Member, Settings};

/// Maximum size of a message.
const MAX_FRAME_BYTES: u32 = 4 << 20;

/// Queues of messages to the other controllers.
///
/// Messages wait in a queue while its connection is being opened. The queues are short and messages that do not fit are
/// dropped: every message describes a state, so old ones are of no use.
pub struct Links {
    queues: HashMap<String, mpsc::Sender<bytes::Bytes>>,
}

impl Links {
    /// Starts a task for each other controller that keeps a connection to it until `stop` is cancelled.
    pub fn start(settings: &Settings, inputs: &mpsc::Sender<Input>, stop: &CancellationToken) -> Links {
        let mut queues = HashMap::new();
        for member in &settings.members {
            let (tx, rx) = mpsc::channel(16);
            queues.insert(member.member.clone(), tx);
            let (own_name, to, stop) = (settings.member.clone(), member.clone(), stop.clone());
            let inputs = inputs.clone();
            tokio::spawn(async move {
                stop.run_until_cancelled(run_outgoing_link(own_name, to, rx, inputs)).await;
            });
        }
        Links { queues }
    }

    /// Queues a message for one controller.
    pub fn send(&self, to: &str, message: &PeerMessage) {
        if let Some(tx) = self.queues.get(to) {
            let _ = tx.try_send(bitcode::encode(message).into());
        }
    }

    /// Queues a message for all other controllers.
    pub fn broadcast(&self, message: &PeerMessage) {
        let frame = bytes::Bytes::from(bitcode::encode(message));
        for tx in self.queues.values() {
            let _ = tx.try_send(frame.clone());
        }
    }
}

/// Keeps a connection to a member and sends the queued messages. Tells the controller when the member refuses
/// connections.
async fn run_outgoing_link(
    own_name: String,
    to: Member,
    mut messages: mpsc::Receiver<bytes::Bytes>,
    inputs: mpsc::Sender<Input>,
) {
    loop {
        let connected = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(&to.addr)).await;
        match connected {
            Ok(Ok(stream)) => send_until_closed(&own_name, stream, &mut messages).await,
            Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
                let _ = inputs.send(Input::Reply(Event::ConnectionRefused(to.member.clone()))).await;
            }
            _ => {}
        }
        if messages.is_closed() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
}

/// Sends queued messages until the connection fails or the queue is closed.
async fn send_until_closed(
    own_name: &str,
    mut stream: TcpStream,
    messages: &mut mpsc::Receiver<bytes::Bytes>,
) {
    let _ = stream.set_nodelay(true);
    // Messages queued while there was no connection are out of date.
    while messages.try_recv().is_ok() {}
    let mut open = write_frame(&mut stream, own_name.as_bytes()).await;
    while open {
        let Some(frame) = messages.recv().await else { return };
        open = write_frame(&mut stream, &frame).await;
    }
}

/// Sends a frame; returns whether that succeeded.
async fn write_frame(stream: &mut TcpStream, frame: &[u8]) -> bool {
    let mut bytes = Vec::with_capacity(frame.len() + 4);
    bytes.extend_from_slice(&(frame.len() as u32).to_be_bytes());
    bytes.extend_from_slice(frame);
    // When the network is cut, packets are lost without an error: a connection that makes no progress is replaced.
    let sent = tokio::time::timeout(Duration::from_secs(3), stream.write_all(&bytes)).await;
    matches!(sent, Ok(Ok(())))
}

/// Reads a frame; `None` if the connection failed or the frame is longer than `max_bytes`.
async fn read_frame(stream: &mut TcpStream, max_bytes: u32) -> Option<Vec<u8>> {
    let length = stream.read_u32().await.ok()?;
    if length > max_bytes {
        return None;
    }
    let mut frame = vec![0; length as usize];
    stream.read_exact(&mut frame).await.ok()?;
    Some(frame)
}

/// Accepts connections from other controllers and passes their messages on, until `stop` is cancelled.
///
/// A newer connection from a member replaces the older one. The newer one is that whose first frame was read later. A
/// connection whose first frame was delayed can therefore deliver old messages after newer ones, so receivers compare
/// the positions of statuses.
pub async fn listen(
    listener: TcpListener,
    members: Vec<String>,
    inputs: mpsc::Sender<Input>,
    stop: CancellationToken,
) {
    let latest_by_member: HashMap<String, watch::Sender<u64>> =
        members.into_iter().map(|m| (m, watch::channel(0).0)).collect();
    let latest_by_member = std::sync::Arc::new(latest_by_member);
    loop {
        let accepted = stop.run_until_cancelled(listener.accept()).await;
        let Some(accepted) = accepted else { return };
        let Ok((mut stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (latest_by_member, inputs, stop) = (latest_by_member.clone(), inputs.clone(), stop.clone());
        tokio::spawn(async move {
            let sender_name =
                tokio::time::timeout(Duration::from_secs(5), read_frame(&mut stream, 256)).await;
            let Ok(Some(sender_name)) = sender_name else { return };
            let from = String::from_utf8_lossy(&sender_name).into_owned();
            let Some(latest) = latest_by_member.get(&from) else { return };
            let number = *latest.borrow() + 1;
            latest.send_replace(number);
            let mut replaced = latest.subscribe();
            let receive = async {
                while let Some(frame) = read_frame(&mut stream, MAX_FRAME_BYTES).await {
                    let Ok(message) = bitcode::decode::<PeerMessage>(&frame) else { return };
                    if *latest.borrow() != number
                        || inputs.send(Input::Peer(from.clone(), message)).await.is_err()
                    {
                        return;
                    }
                }
            };
            tokio::select! {
                _ = receive => {}
                _ = replaced.wait_for(|latest| *latest != number) => {
                    tracing::info!(from, "connection replaced by a newer one from the same controller")
                }
                _ = stop.cancelled() => {}
            }
        });
    }
}
