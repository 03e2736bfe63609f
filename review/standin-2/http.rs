//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and single calls of a client.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Pause between two looks for new channels.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

/// A request that has arrived completely.
pub struct Request {
    pub body: String,
    /// Value of the header with the intended lifetime of a worker.
    pub expected_instance: Option<String>,
    pub method: String,
    pub path: String,
    pub query: String,
}

impl Request {
    /// Value of a field of the query, with percent escapes decoded.
    pub fn field(&self, name: &str) -> Option<String> {
        let mut fields = self.query.split('&').filter_map(|field| field.split_once('='));
        fields.find(|(found, _)| *found == name).map(|(_, value)| decode_percent(value))
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Status and body of an answer.
pub type Answer = (u16, String);

/// A server; ends when it is stopped.
pub struct Server {
    address: SocketAddr,
    open: Arc<Mutex<Option<Vec<TcpStream>>>>,
    thread: JoinHandle<()>,
}

impl Server {
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and resets or closes all channels, as the end of a process does. Returns the address.
    pub fn stop(self) -> SocketAddr {
        let channels = self.open.lock().expect("no panic under the lock").take();
        for channel in channels.unwrap_or_default() {
            let _ = channel.shutdown(Shutdown::Both);
        }
        let _ = self.thread.join();
        self.address
    }
}

/// Answers requests on an address until the server is stopped.
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(Request) -> Answer + Send + Sync + 'static,
) -> io::Result<Server> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let handler = Arc::new(handler);
    let open = Arc::new(Mutex::new(Some(Vec::new())));
    let channels = open.clone();
    let thread = thread::spawn(move || {
        loop {
            let accepted = listener.accept();
            let mut open = channels.lock().expect("no panic under the lock");
            let Some(open) = open.as_mut() else { return };
            let Ok((stream, _)) = accepted else {
                thread::sleep(ACCEPT_PAUSE);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(clone) = stream.try_clone() {
                open.push(clone);
            }
            let handler = handler.clone();
            thread::spawn(move || drop(serve_connection(stream, &*handler)));
        }
    });
    Ok(Server { address, open, thread })
}

fn serve_connection(stream: TcpStream, handler: &impl Fn(Request) -> Answer) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((first, headers, body)) = read_message(&mut reader)? {
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let request = Request {
            body,
            expected_instance: header(&headers, "x-expected-instance"),
            method,
            path: path.to_owned(),
            query: query.to_owned(),
        };
        let (status, body) = handler(request);
        let head = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all((head + &body).as_bytes())?;
    }
    Ok(())
}

type Message = (String, Vec<(String, String)>, String);

/// Reads a message with a length; none at the end of the connection.
fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length = header(&headers, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some((first.trim_end().to_owned(), headers, String::from_utf8_lossy(&body).into_owned())))
}

fn header(headers: &[(String, String)], name: &str) -> Option<String> {
    headers.iter().find(|(found, _)| found == name).map(|(_, value)| value.clone())
}

/// A request of a client, sent on a new connection.
pub struct Call<'a> {
    pub address: SocketAddr,
    pub body: &'a str,
    /// Time for which the client waits, which it also announces.
    pub budget: Duration,
    pub host: &'a str,
    pub method: &'a str,
    pub path: &'a str,
}

impl Call<'_> {
    /// Sends the request and reads the answer.
    pub fn send(&self) -> io::Result<Answer> {
        let mut stream = TcpStream::connect_timeout(&self.address, self.budget)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.budget))?;
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nX-Request-Deadline: {}\r\nContent-Length: {}\r\n\r\n",
            self.method,
            self.path,
            self.host,
            self.budget.as_millis(),
            self.body.len()
        );
        stream.write_all((head + self.body).as_bytes())?;
        let Some((first, _, body)) = read_message(&mut BufReader::new(stream))? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
        Ok((status.ok_or(io::ErrorKind::InvalidData)?, body))
    }
}
