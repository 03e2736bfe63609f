//! A proxy in front of the store. It can turn its machine away for a while, by resets, as the store does.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Handle of a proxy.
pub struct Proxy {
    pub address: SocketAddr,
    turns_away: Arc<AtomicBool>,
}

impl Proxy {
    /// Starts a proxy in front of `target` on a free port.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let turns_away = Arc::new(AtomicBool::new(false));
        let away = turns_away.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if away.load(Ordering::SeqCst) {
                    continue;
                }
                let Ok(server) = TcpStream::connect(target) else { continue };
                let (Ok(client_2), Ok(server_2)) = (client.try_clone(), server.try_clone()) else { continue };
                for (from, to) in [(client, server), (server_2, client_2)] {
                    let away = away.clone();
                    thread::spawn(move || pump(from, to, &away));
                }
            }
        });
        Self { address, turns_away }
    }

    /// Sets whether the machine is turned away: new channels are closed at once, and open ones with the next bytes.
    pub fn set_turned_away(&self, turned_away: bool) {
        self.turns_away.store(turned_away, Ordering::SeqCst);
    }
}

/// Passes bytes on in one direction.
fn pump(mut from: TcpStream, mut to: TcpStream, away: &AtomicBool) {
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let mut buffer = [0; 16 * 1024];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        if count == 0 || away.load(Ordering::SeqCst) || to.write_all(&buffer[..count]).is_err() {
            let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
            return;
        }
    }
}
