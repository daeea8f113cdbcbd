//! Minimal HTTP/1.1 server and client on loopback addresses.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|it| it.0 == name).map_or("", |it| &it.1)
    }

    pub fn param(&self, name: &str) -> &str {
        self.query.iter().find(|it| it.0 == name).map_or("", |it| &it.1)
    }
}

/// Status and body of an answer.
pub struct Reply(pub u16, pub String);

type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

/// Server that can be taken down, which breaks its connections, and started again.
pub struct Server {
    pub address: SocketAddr,
    up: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(handler: Handler) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let up = Arc::new(AtomicBool::new(true));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let (flag, open) = (Arc::clone(&up), Arc::clone(&streams));
        thread::spawn(move || accept(address, listener, flag, open, handler));
        Server { address, up, streams }
    }

    pub fn take_down(&self) {
        self.up.store(false, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn bring_up(&self) {
        self.up.store(true, Ordering::SeqCst);
    }
}

fn accept(
    address: SocketAddr,
    first: TcpListener,
    up: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    handler: Handler,
) {
    let mut listener = Some(first);
    loop {
        if !up.load(Ordering::SeqCst) {
            listener = None;
            thread::sleep(Duration::from_millis(1));
            continue;
        }
        if listener.is_none() {
            listener = TcpListener::bind(address).ok();
        }
        let Some(open) = &listener else {
            thread::sleep(Duration::from_millis(5));
            continue;
        };
        let _ = open.set_nonblocking(true);
        match open.accept() {
            Ok((stream, _)) => {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    streams.lock().unwrap().push(copy);
                }
                let handler = Arc::clone(&handler);
                thread::spawn(move || serve(stream, handler));
            }
            Err(_) => thread::sleep(Duration::from_millis(1)),
        }
    }
}

fn serve(stream: TcpStream, handler: Handler) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input) {
        let Reply(status, body) = handler(&request);
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if out.write_all(text.as_bytes()).is_err() {
            break;
        }
    }
    let _ = out.shutdown(Shutdown::Both);
}

fn read_head(input: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let mut line = String::new();
    if input.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first, headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(input: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> Option<String> {
    let length = headers.iter().find(|it| it.0 == "content-length");
    let length: usize = length.and_then(|it| it.1.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

fn read_request(input: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(input)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let body = read_body(input, &headers)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|it| it.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), decode(value))).collect();
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request on a new connection; `None` if no complete answer arrives in time.
pub fn call(
    address: SocketAddr,
    (method, path): (&str, &str),
    host: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: {}\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut input = BufReader::new(stream);
    let (first, headers) = read_head(&mut input)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut input, &headers)?;
    Some((status, body))
}
