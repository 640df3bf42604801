//! A small blocking HTTP/1.1 server and client on loopback.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// What a server does with a request.
pub enum Reply {
    Answer(u16, String),
    /// No answer: the connection stays open for a while, then it is closed.
    Silence(Duration),
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, usize, bool)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let (mut length, mut close) = (0, false);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), length, close));
        }
        if let Some((name, value)) = line.split_once(':') {
            match name.trim().to_ascii_lowercase().as_str() {
                "content-length" => length = value.trim().parse().ok()?,
                "connection" => close |= value.trim().eq_ignore_ascii_case("close"),
                _ => {}
            }
        }
    }
}

/// Serves requests until the process ends: `handle` gets method, path with query, and body.
pub fn serve(listener: TcpListener, handle: impl Fn(&str, &str, &str) -> Reply + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut out) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some((first, length, close)) = read_head(&mut reader) {
                    let mut body = vec![0; length];
                    if reader.read_exact(&mut body).is_err() {
                        return;
                    }
                    let mut parts = first.split(' ');
                    let (method, path) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
                    match handle(method, path, &String::from_utf8_lossy(&body)) {
                        Reply::Answer(status, text) => {
                            let head = format!(
                                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                                text.len()
                            );
                            if out.write_all(&[head.as_bytes(), text.as_bytes()].concat()).is_err() {
                                return;
                            }
                        }
                        Reply::Silence(for_long) => {
                            thread::sleep(for_long);
                            return;
                        }
                    }
                    if close {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends one request on a connection of its own. `None`: no complete answer within `timeout`.
pub fn request(
    addr: &str,
    method: &str,
    path: &str,
    body: Option<&str>,
    timeout: Duration,
) -> Option<(u16, String)> {
    let deadline = Instant::now() + timeout;
    let addr: SocketAddr = addr.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&addr, timeout.min(Duration::from_millis(500))).ok()?;
    let _ = stream.set_nodelay(true);
    let body = body.unwrap_or("");
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.set_write_timeout(Some(timeout)).ok()?;
    // A server may answer before it has read a body that it does not want.
    let _ = stream.write_all(text.as_bytes());
    let mut bytes = Vec::new();
    let mut chunk = [0u8; 16384];
    loop {
        let left = deadline.checked_duration_since(Instant::now())?;
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        match stream.read(&mut chunk) {
            Ok(0) => break,
            Ok(n) => bytes.extend_from_slice(&chunk[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(_) => {
                if bytes.is_empty() {
                    return None;
                }
                break;
            }
        }
        if let Some((head, rest)) = split_head(&bytes)
            && let Some(length) = content_length(head)
            && rest.len() >= length
        {
            break;
        }
    }
    let (head, rest) = split_head(&bytes)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = content_length(head).unwrap_or(rest.len());
    if rest.len() < length {
        return None;
    }
    Some((status, String::from_utf8_lossy(&rest[..length]).into_owned()))
}

fn split_head(bytes: &[u8]) -> Option<(&str, &[u8])> {
    let at = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    Some((std::str::from_utf8(&bytes[..at]).ok()?, &bytes[at + 4..]))
}

fn content_length(head: &str) -> Option<usize> {
    head.lines().find_map(|l| {
        let (name, value) = l.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
    })
}

/// The value of a query parameter.
pub fn parameter(path: &str, name: &str) -> Option<String> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|p| p.split_once('=').filter(|(n, _)| *n == name).map(|(_, v)| v.to_owned()))
}
