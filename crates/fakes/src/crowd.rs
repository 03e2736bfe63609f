//! A crowd of clients, each with one connection that stays open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Time that a client is given to send its bytes; a server may stop reading without closing the connection.
const SEND_LIMIT: Duration = Duration::from_secs(20);
/// Pause of a client between two pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(5);
/// Size of the pieces of a body that is sent piece by piece.
const PIECE_BYTES: usize = 4_096;
/// Number of chunks of one byte.
const SMALL_CHUNKS: usize = 8_192;

/// How each client sends its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shape {
    /// The body at once, without its last byte.
    LastByteMissing,
    /// The body as one chunk, without the last byte.
    LargeChunk,
    /// The body in pieces with pauses, without the last piece.
    PieceByPiece,
    /// Chunks of one byte, without the last chunk.
    SmallChunks,
    /// A head of this size that does not end.
    UnterminatedHead(usize),
    /// The whole request.
    Whole,
}

/// A request of each client.
#[derive(Clone, Debug)]
pub struct CrowdRequest {
    /// Body; only part of it is sent in most shapes.
    pub body: Vec<u8>,
    /// Value of the header `Host`.
    pub host: String,
    /// Path of the request, which is a `POST`.
    pub path: String,
}

impl CrowdRequest {
    fn head(&self, framing: &str) -> String {
        format!("POST {} HTTP/1.1\r\nhost: {}\r\n{framing}\r\n", self.path, self.host)
    }

    fn with_length(&self) -> Vec<u8> {
        let mut bytes = self.head(&format!("content-length: {}\r\n", self.body.len())).into_bytes();
        bytes.extend(&self.body);
        bytes
    }

    /// The first `size` bytes of the request, whose length is announced.
    #[must_use]
    pub fn start(&self, size: usize) -> Vec<u8> {
        let mut bytes = self.with_length();
        bytes.truncate(size);
        bytes
    }

    fn chunked(&self) -> Vec<u8> {
        self.head("transfer-encoding: chunked\r\n").into_bytes()
    }

    /// The pieces that a client sends.
    fn pieces(&self, shape: Shape) -> Vec<Vec<u8>> {
        let mut bytes = match shape {
            Shape::LastByteMissing | Shape::PieceByPiece | Shape::Whole => self.with_length(),
            Shape::LargeChunk | Shape::SmallChunks => self.chunked(),
            Shape::UnterminatedHead(_) => self.head("x-padding: ").into_bytes(),
        };
        match shape {
            Shape::LastByteMissing => drop(bytes.pop()),
            Shape::PieceByPiece => {
                let mut pieces: Vec<_> = bytes.chunks(PIECE_BYTES).map(<[u8]>::to_vec).collect();
                pieces.pop();
                return pieces;
            }
            Shape::Whole => {}
            Shape::LargeChunk => {
                bytes.extend(format!("{:x}\r\n", self.body.len()).into_bytes());
                bytes.extend(&self.body[1..]);
            }
            Shape::SmallChunks => bytes.extend(b"1\r\nx\r\n".repeat(SMALL_CHUNKS)),
            Shape::UnterminatedHead(size) => {
                // Without the end of the line and of the head.
                bytes.truncate(bytes.len() - "\r\n".len());
                bytes.resize(size, b'x');
            }
        }
        vec![bytes]
    }
}

/// Connections that stay open until they are dropped, unless the server closes them.
#[derive(Debug)]
pub struct Crowd {
    /// Held open, and not read.
    streams: Vec<TcpStream>,
}

impl Crowd {
    /// Opens `size` connections at once. Returns when each client has sent its bytes or was turned away.
    pub async fn open(
        address: SocketAddr,
        size: usize,
        shape: Shape,
        request: impl Fn(usize) -> CrowdRequest,
    ) -> Self {
        Self::send(address, size, |client| request(client).pieces(shape)).await
    }

    /// Like [`open`](Self::open), for a server that may not even accept the connections: each client gives up after `limit`.
    pub async fn open_within(
        limit: Duration,
        address: SocketAddr,
        size: usize,
        shape: Shape,
        request: impl Fn(usize) -> CrowdRequest,
    ) -> Self {
        Self::send_within(limit, address, size, |client| request(client).pieces(shape)).await
    }

    /// Like [`open`](Self::open), with bytes of any protocol: the pieces of each client.
    pub async fn send(address: SocketAddr, size: usize, pieces: impl Fn(usize) -> Vec<Vec<u8>>) -> Self {
        Self::send_within(SEND_LIMIT, address, size, pieces).await
    }

    /// Like [`send`](Self::send); each client gives up after `limit` for its connection, and after `limit` for its bytes.
    pub async fn send_within(
        limit: Duration,
        address: SocketAddr,
        size: usize,
        pieces: impl Fn(usize) -> Vec<Vec<u8>>,
    ) -> Self {
        let mut clients = JoinSet::new();
        for client in 0..size {
            let pieces = pieces(client);
            clients.spawn(async move {
                let mut stream = timeout(limit, TcpStream::connect(address)).await.ok()?.ok()?;
                // Fails when the server has closed the connection, which it may.
                let _ = timeout(limit, write_pieces(&mut stream, &pieces)).await;
                Some(stream)
            });
        }
        Self { streams: clients.join_all().await.into_iter().flatten().collect() }
    }

    /// Has each client send further bytes; it gives up after `limit`.
    pub async fn send_more(&mut self, limit: Duration, bytes: &[u8]) {
        let bytes: Arc<[u8]> = bytes.into();
        let mut clients = JoinSet::new();
        for mut stream in self.streams.drain(..) {
            let bytes = bytes.clone();
            clients.spawn(async move {
                // Fails when the server has closed the connection, which it may.
                let _ = timeout(limit, stream.write_all(&bytes)).await;
                stream
            });
        }
        self.streams = clients.join_all().await;
    }
}

async fn write_pieces(stream: &mut TcpStream, pieces: &[Vec<u8>]) -> std::io::Result<()> {
    for (number, piece) in pieces.iter().enumerate() {
        if number > 0 {
            sleep(PIECE_PAUSE).await;
        }
        stream.write_all(piece).await?;
    }
    Ok(())
}

/// Sends one whole request on a connection of its own. Returns the status of the response.
///
/// # Errors
///
/// Fails when the connection ends without a response.
pub async fn status_of(address: SocketAddr, request: &CrowdRequest) -> std::io::Result<u16> {
    exchange(address, &request.with_length()).await
}

/// Gets a page on a connection of its own. Returns the status of the response.
///
/// # Errors
///
/// Fails when the connection ends without a response.
pub async fn status_of_page(address: SocketAddr, path: &str) -> std::io::Result<u16> {
    exchange(address, format!("GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n").as_bytes()).await
}

async fn exchange(address: SocketAddr, request: &[u8]) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request).await?;
    let mut start = [0; "HTTP/1.1 200".len()];
    stream.read_exact(&mut start).await?;
    let status = std::str::from_utf8(&start[start.len() - 3..]).ok().and_then(|text| text.parse().ok());
    status.ok_or_else(|| std::io::Error::other("no status line"))
}
