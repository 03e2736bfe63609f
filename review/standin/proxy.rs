//! A proxy for one address. While its path is cut, bytes and new connections wait, as they do behind a partition, and go
//! on when the cut has healed.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

pub struct Proxy {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    /// Number of times at which the open connections went silent.
    silenced: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(address: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let (address, cut) = (listener.local_addr()?, Arc::new(AtomicBool::new(false)));
        let silenced = Arc::new(AtomicU64::new(0));
        let (is_cut, silences) = (cut.clone(), silenced.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (Ok(stream), is_cut, silences) = (stream, is_cut.clone(), silences.clone()) else {
                    continue;
                };
                thread::spawn(move || {
                    wait(&is_cut);
                    let Ok(server) = TcpStream::connect(target) else { return };
                    let _ = (stream.set_nodelay(true), server.set_nodelay(true));
                    let (Ok(a), Ok(b)) = (stream.try_clone(), server.try_clone()) else { return };
                    let path =
                        Path { cut: is_cut, opened: silences.load(Ordering::SeqCst), silenced: silences };
                    let back = path.clone();
                    thread::spawn(move || pump(b, a, &back));
                    pump(stream, server, &path);
                });
            }
        });
        Ok(Self { address, cut, silenced })
    }

    /// The open connections return nothing further, without a reset; new ones work.
    pub fn silence(&self) {
        self.silenced.fetch_add(1, Ordering::SeqCst);
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

/// What a connection takes notice of.
#[derive(Clone)]
struct Path {
    cut: Arc<AtomicBool>,
    /// Value of `silenced` when the connection was opened.
    opened: u64,
    silenced: Arc<AtomicU64>,
}

fn wait(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(1));
    }
}

/// Passes on bytes and then the end of the stream, in order.
fn pump(mut from: TcpStream, mut to: TcpStream, path: &Path) {
    let mut buffer = [0; 16_384];
    loop {
        let read = from.read(&mut buffer);
        wait(&path.cut);
        if path.silenced.load(Ordering::SeqCst) != path.opened {
            // Keeps the connection open: neither side sees an end.
            if matches!(read, Ok(count) if count > 0) {
                continue;
            }
            loop {
                thread::park();
            }
        }
        match read {
            Ok(count) if count > 0 && to.write_all(&buffer[..count]).is_ok() => {}
            _ => break,
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
