//! HTTP/1.1: a server with one thread for each connection, and a client for single calls.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::Json;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn json(&self) -> Json {
        Json::parse(&self.body).unwrap_or(Json::Null)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn query(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }
}

/// What the handler of a request decides.
pub enum Response {
    Answer(u16, String),
    /// The connection returns nothing further and stays open until the server ends.
    Silent,
}

/// A server that can be ended with all its connections.
pub struct Server {
    pub address: SocketAddr,
    connections: Arc<Mutex<Option<Vec<TcpStream>>>>,
}

impl Server {
    /// Serves at an address; port 0 takes a free one.
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(Request) -> Response + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let connections = Arc::new(Mutex::new(Some(Vec::new())));
        let (open, handler) = (connections.clone(), Arc::new(handler));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                match open.lock().unwrap().as_mut() {
                    None => return,
                    Some(list) => list.extend(stream.try_clone()),
                }
                let handler = handler.clone();
                thread::spawn(move || serve(stream, &*handler));
            }
        });
        Ok(Self { address, connections })
    }

    /// Closes the listener and all connections.
    pub fn end(&self) {
        let list = self.connections.lock().unwrap().take();
        for stream in list.into_iter().flatten() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the thread that accepts, which then drops the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }
}

fn serve(stream: TcpStream, handler: &(impl Fn(Request) -> Response + ?Sized)) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(request) {
            Response::Silent => {
                // Reads until the caller closes.
                let _ = std::io::copy(&mut reader, &mut std::io::sink());
                return;
            }
            Response::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    Some((first, headers))
}

fn read_body(reader: &mut impl Read, headers: &BTreeMap<String, String>) -> Option<Vec<u8>> {
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let body = read_body(reader, &headers)?;
    let mut words = first.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), value.replace("%2F", "/"))).collect();
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

/// How a call ended for its caller.
#[derive(Clone)]
pub enum Outcome {
    Answered(u16, String),
    /// The connection was refused or broke.
    Broken(String),
    /// The caller has stopped waiting.
    NoAnswer,
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Outcome::Answered(status, body) => write!(f, "{status} {body}"),
            Outcome::Broken(error) => write!(f, "a broken channel ({error})"),
            Outcome::NoAnswer => f.write_str("no answer in time"),
        }
    }
}

/// Sends one request on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Outcome {
    let until = Instant::now() + limit;
    let stream = match TcpStream::connect_timeout(&address, limit) {
        Ok(stream) => stream,
        Err(error) => return Outcome::Broken(error.to_string()),
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(
        until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1)),
    ));
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    let mut writer = stream.try_clone().expect("a socket can be cloned");
    if let Err(error) = writer.write_all((head + "\r\n" + body).as_bytes()) {
        return Outcome::Broken(error.to_string());
    }
    let mut reader = BufReader::new(stream);
    let answered = read_head(&mut reader).and_then(|(first, headers)| {
        let status = first.split_whitespace().nth(1)?.parse().ok()?;
        let body = read_body(&mut reader, &headers)?;
        Some(Outcome::Answered(status, String::from_utf8_lossy(&body).into_owned()))
    });
    let late = Instant::now() + Duration::from_millis(5) >= until;
    answered.unwrap_or(if late { Outcome::NoAnswer } else { Outcome::Broken("closed".to_owned()) })
}
