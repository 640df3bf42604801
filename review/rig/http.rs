//! HTTP/1.1 over TCP: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn param(&self, name: &str) -> String {
        self.query.iter().find(|(k, _)| k == name).map(|(_, v)| v.clone()).unwrap_or_default()
    }
}

/// What a server does with a request: a status and a body, or nothing, and the connection is closed.
pub type Reply = Option<(u16, String)>;

fn read_line(from: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    (from.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
}

/// Reads headers; returns the length of the body, and whether the connection is to be closed after it.
fn read_headers(from: &mut impl BufRead) -> Option<(usize, bool, bool)> {
    let (mut length, mut close, mut chunked) = (0, false, false);
    loop {
        let line = read_line(from)?;
        if line.is_empty() {
            return Some((length, close, chunked));
        }
        let (name, value) = line.split_once(':')?;
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok()?,
            "connection" => close = value.trim().eq_ignore_ascii_case("close"),
            "transfer-encoding" => chunked = true,
            _ => {}
        }
    }
}

fn read_body(from: &mut impl BufRead, length: usize, chunked: bool) -> Option<String> {
    let mut body = vec![0; length];
    if chunked {
        loop {
            let size = usize::from_str_radix(read_line(from)?.split(';').next()?, 16).ok()?;
            let at = body.len();
            body.resize(at + size, 0);
            from.read_exact(&mut body[at..]).ok()?;
            read_line(from);
            if size == 0 {
                break;
            }
        }
    } else {
        from.read_exact(&mut body).ok()?;
    }
    String::from_utf8(body).ok()
}

fn read_request(from: &mut impl BufRead) -> Option<(Request, bool)> {
    let line = read_line(from)?;
    let mut parts = line.split(' ');
    let (method, target) = (parts.next()?.to_owned(), parts.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect();
    let path = path.to_owned();
    let (length, close, chunked) = read_headers(from)?;
    let body = read_body(from, length, chunked)?;
    Some((Request { method, path, query, body }, close))
}

/// Serves requests at a listener for the rest of the process's life.
pub fn serve(listener: TcpListener, handler: impl Fn(Request) -> Reply + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut out) = stream.try_clone() else { return };
                let mut from = BufReader::new(stream);
                while let Some((request, close)) = read_request(&mut from) {
                    let Some((status, body)) = handler(request) else { return };
                    let head = format!(
                        "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                        body.len()
                    );
                    if out.write_all((head + &body).as_bytes()).is_err() || close {
                        return;
                    }
                }
            });
        }
    });
}

/// A listener on a free port, and its address.
pub fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address").to_string();
    (listener, addr)
}

/// Sends a request on a connection of its own. `None`: no response in time, or no connection.
pub fn call(addr: &str, method: &str, path: &str, body: &str, timeout: Duration) -> Option<(u16, String)> {
    let end = Instant::now() + timeout;
    let addr: SocketAddr = addr.parse().ok()?;
    let stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    stream.set_write_timeout(Some(left)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {addr}\r\ncontent-type: application/json\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    let mut out = stream.try_clone().ok()?;
    // A server that refuses a long body may answer before it has read all of it.
    let _ = out.write_all((head + body).as_bytes());
    let mut from = BufReader::new(stream);
    let status = read_line(&mut from)?.split(' ').nth(1)?.parse().ok()?;
    let (length, _, chunked) = read_headers(&mut from)?;
    let body = read_body(&mut from, length, chunked)?;
    (Instant::now() < end).then_some((status, body))
}
