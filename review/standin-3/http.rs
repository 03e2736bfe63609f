//! A small HTTP/1.1 server and client with blocking sockets; one thread for each connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

pub struct Call {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Call {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn parameter(&self, name: &str) -> &str {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(other, _)| *other == name).map(|(_, value)| value).next().unwrap_or("")
    }
}

/// Status and body; none closes the connection without a response.
pub type Answer = Option<(u16, String)>;

pub fn read_call(reader: &mut BufReader<TcpStream>) -> Option<Call> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|size| *size > 0)?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (headers, body) = read_rest(reader)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    Some(Call { method, path: path.to_owned(), query: query.to_owned(), headers, body })
}

fn read_rest(reader: &mut BufReader<TcpStream>) -> Option<(Vec<(String, String)>, String)> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|size| *size > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let mut body = vec![0; length.map_or(0, |(_, value)| value.parse().unwrap_or(0))];
    reader.read_exact(&mut body).ok()?;
    Some((headers, String::from_utf8_lossy(&body).into_owned()))
}

/// Serves connections until `stop` is set; then closes the listener and all connections, as the end of a process does.
pub fn serve(
    listener: TcpListener,
    stop: Arc<AtomicBool>,
    answer: Arc<dyn Fn(&Call) -> Answer + Send + Sync>,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    std::thread::spawn(move || {
        let mut streams: Vec<TcpStream> = Vec::new();
        while !stop.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_micros(300));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            streams.extend(stream.try_clone());
            let answer = answer.clone();
            let _ = std::thread::Builder::new()
                .stack_size(128 * 1024)
                .spawn(move || serve_connection(stream, &*answer));
        }
        drop(listener);
        for stream in streams {
            let _ = stream.shutdown(Shutdown::Both);
        }
    });
    Ok(())
}

fn serve_connection(stream: TcpStream, answer: &dyn Fn(&Call) -> Answer) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(call) = read_call(&mut reader) {
        let Some((status, body)) = answer(&call) else { break };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            break;
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
}

/// Sends a request on a new connection. Fails without a complete response.
pub fn request(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> std::io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n{headers}content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split_whitespace().nth(1).and_then(|text| text.parse().ok());
    let failed = || std::io::Error::other("no response");
    let status = status.ok_or_else(failed)?;
    let (_, body) = read_rest(&mut reader).ok_or_else(failed)?;
    Ok((status, body))
}
