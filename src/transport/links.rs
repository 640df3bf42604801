//! Links between controllers: one outgoing connection to each other member, `bitcode` in frames.

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

const LARGEST: u32 = 4 << 20;

/// Outgoing side: messages wait here while a link is being made. Old ones are of no use, so the
/// queue is short and overflow is dropped; every message is a state, not a step.
pub struct Links {
    out: HashMap<String, mpsc::Sender<bytes::Bytes>>,
}

impl Links {
    pub fn start(settings: &Settings, inputs: &mpsc::Sender<Input>, stop: &CancellationToken) -> Links {
        let mut out = HashMap::new();
        for member in &settings.members {
            let (tx, rx) = mpsc::channel(16);
            out.insert(member.member.clone(), tx);
            let (me, to, stop) = (settings.member.clone(), member.clone(), stop.clone());
            let inputs = inputs.clone();
            tokio::spawn(async move {
                stop.run_until_cancelled(dial(me, to, rx, inputs)).await;
            });
        }
        Links { out }
    }

    pub fn send(&self, to: &str, message: &PeerMessage) {
        if let Some(tx) = self.out.get(to) {
            let _ = tx.try_send(bitcode::encode(message).into());
        }
    }

    pub fn broadcast(&self, message: &PeerMessage) {
        let frame = bytes::Bytes::from(bitcode::encode(message));
        for tx in self.out.values() {
            let _ = tx.try_send(frame.clone());
        }
    }
}

async fn dial(
    me: String,
    to: Member,
    mut messages: mpsc::Receiver<bytes::Bytes>,
    inputs: mpsc::Sender<Input>,
) {
    loop {
        let connected = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(&to.addr)).await;
        match connected {
            Ok(Ok(stream)) => converse(&me, stream, &mut messages).await,
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

/// Sends messages until the link breaks or there will be no more.
async fn converse(me: &str, mut stream: TcpStream, messages: &mut mpsc::Receiver<bytes::Bytes>) {
    let _ = stream.set_nodelay(true);
    // What waited while there was no link is out of date.
    while messages.try_recv().is_ok() {}
    let mut open = write(&mut stream, me.as_bytes()).await;
    while open {
        let Some(frame) = messages.recv().await else { return };
        open = write(&mut stream, &frame).await;
    }
}

async fn write(stream: &mut TcpStream, frame: &[u8]) -> bool {
    let mut bytes = Vec::with_capacity(frame.len() + 4);
    bytes.extend_from_slice(&(frame.len() as u32).to_be_bytes());
    bytes.extend_from_slice(frame);
    // A cut takes packets without an error; a link that moves nothing is made anew.
    let sent = tokio::time::timeout(Duration::from_secs(3), stream.write_all(&bytes)).await;
    matches!(sent, Ok(Ok(())))
}

async fn read(stream: &mut TcpStream, largest: u32) -> Option<Vec<u8>> {
    let length = stream.read_u32().await.ok()?;
    if length > largest {
        return None;
    }
    let mut frame = vec![0; length as usize];
    stream.read_exact(&mut frame).await.ok()?;
    Some(frame)
}

/// Incoming side. A newer link from the same member ends the older one. Newer is the one whose greeting is read last: one
/// whose greeting was held up can still bring old messages after newer ones, so receivers compare the places of statuses.
pub async fn listen(
    listener: TcpListener,
    members: Vec<String>,
    inputs: mpsc::Sender<Input>,
    stop: CancellationToken,
) {
    let newest: HashMap<String, watch::Sender<u64>> =
        members.into_iter().map(|m| (m, watch::channel(0).0)).collect();
    let newest = std::sync::Arc::new(newest);
    loop {
        let accepted = stop.run_until_cancelled(listener.accept()).await;
        let Some(accepted) = accepted else { return };
        let Ok((mut stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (newest, inputs, stop) = (newest.clone(), inputs.clone(), stop.clone());
        tokio::spawn(async move {
            let greeting = tokio::time::timeout(Duration::from_secs(5), read(&mut stream, 256)).await;
            let Ok(Some(greeting)) = greeting else { return };
            let from = String::from_utf8_lossy(&greeting).into_owned();
            let Some(turn) = newest.get(&from) else { return };
            let mine = *turn.borrow() + 1;
            turn.send_replace(mine);
            let mut turns = turn.subscribe();
            let work = async {
                while let Some(frame) = read(&mut stream, LARGEST).await {
                    let Ok(message) = bitcode::decode::<PeerMessage>(&frame) else { return };
                    if *turn.borrow() != mine
                        || inputs.send(Input::Peer(from.clone(), message)).await.is_err()
                    {
                        return;
                    }
                }
            };
            tokio::select! {
                _ = work => {}
                _ = turns.wait_for(|t| *t != mine) => tracing::info!(from, "a newer link takes the place of this one"),
                _ = stop.cancelled() => {}
            }
        });
    }
}
