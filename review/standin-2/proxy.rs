//! A proxy in front of a server. It can let all open channels go silent, without a reset, while new ones work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Handle of a proxy.
pub struct Proxy {
    pub address: SocketAddr,
    /// Channels that were opened in an earlier generation are silent.
    generation: Arc<AtomicU64>,
}

impl Proxy {
    /// Starts a proxy in front of `target` on a free port.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let generation = Arc::new(AtomicU64::new(0));
        let current = generation.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else { continue };
                let (Ok(client_2), Ok(server_2)) = (client.try_clone(), server.try_clone()) else { continue };
                let opened = current.load(Ordering::SeqCst);
                for (from, to) in [(client, server), (server_2, client_2)] {
                    let current = current.clone();
                    thread::spawn(move || pump(from, to, opened, &current));
                }
            }
        });
        Self { address, generation }
    }

    /// Lets all open channels go silent for good.
    pub fn silence(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

/// Passes bytes on in one direction. On a silent channel they are dropped, and the other side does not see its end.
fn pump(mut from: TcpStream, mut to: TcpStream, opened: u64, current: &AtomicU64) {
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let mut buffer = [0; 16 * 1024];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        let silent = current.load(Ordering::SeqCst) != opened;
        if count == 0 {
            if !silent {
                let _ = to.shutdown(Shutdown::Write);
            }
            return;
        }
        if !silent && to.write_all(&buffer[..count]).is_err() {
            return;
        }
    }
}
