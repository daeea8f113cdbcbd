//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .iter()
            .find(|it| it.0.eq_ignore_ascii_case(name))
            .map_or("", |it| &it.1)
    }

    pub fn query(&self, name: &str) -> &str {
        self.query
            .iter()
            .find(|it| it.0 == name)
            .map_or("", |it| &it.1)
    }
}

/// Status and body; `None` closes the connection without an answer.
pub type Reply = Option<(u16, String)>;

/// Serves requests at an address.
pub fn serve(address: SocketAddr, handle: impl Fn(&Request) -> Reply + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).expect("the address is free");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                // An error of a connection concerns only its peer.
                let _ = serve_connection(stream, &*handle);
            });
        }
    });
}

fn serve_connection(stream: TcpStream, handle: &dyn Fn(&Request) -> Reply) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut stream = stream;
    loop {
        let (first, headers, body) = read_message(&mut reader)?;
        let mut parts = first.split(' ');
        let (method, target) = (parts.next()?.to_owned(), parts.next()?);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|it| it.split_once('='));
        let request = Request {
            method,
            path: path.to_owned(),
            query: pairs
                .map(|(name, value)| (name.to_owned(), decode(value)))
                .collect(),
            headers,
            body,
        };
        let (status, body) = handle(&request)?;
        let head = format!(
            "HTTP/1.1 {status} .\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + &body).as_bytes()).ok()?;
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes
            .get(at + 1..at + 3)
            .and_then(|it| std::str::from_utf8(it).ok());
        match (
            bytes[at],
            hex.and_then(|it| u8::from_str_radix(it, 16).ok()),
        ) {
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

type Message = (String, Vec<(String, String)>, String);

fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|it| *it > 0)?;
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|it| *it > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let length = headers
        .iter()
        .find(|it| it.0.eq_ignore_ascii_case("content-length"));
    let mut body = vec![0; length.and_then(|it| it.1.parse().ok()).unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((
        first.trim_end().to_owned(),
        headers,
        String::from_utf8_lossy(&body).into_owned(),
    ))
}

/// Sends one request over a new connection; `None` without a complete answer.
pub fn call(
    address: SocketAddr,
    (method, path, host): (&str, &str, &str),
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
         X-Deadline-Ms: {}\r\nConnection: close\r\n\r\n",
        body.len(),
        timeout.as_millis()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut BufReader::new(stream))?;
    Some((first.split(' ').nth(1)?.parse().ok()?, body))
}

pub fn get_ok(address: SocketAddr, path: &str) -> bool {
    call(address, ("GET", path, "ready"), "", Duration::from_secs(1)).is_some_and(|it| it.0 == 200)
}
