//! A small deployment: the store, the workers, and the entries as processes of their own.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Outcome, Server};
use crate::json::{Json, int, map, text};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Spec, Swallows, Worker};

pub const HOST: &str = "desk.example";
pub const BACKEND: &str = "deice-queue";

/// Processes that were started, and the folder of the play. Kept here so that a play that is given up can end them.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends all processes that were started, and removes the folder of the play.
pub fn clean_up() {
    for child in CHILDREN.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = FOLDER.lock().unwrap().take() {
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// A queue as the operator's config describes it.
pub struct Queue {
    pub name: &'static str,
    pub prefix: &'static str,
    pub timeout_ms: u64,
}

pub struct Entry {
    /// Index among all processes that were started; none if it is not up.
    child: Option<usize>,
    pub front: SocketAddr,
    pub name: String,
    pub peers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    pub zone: String,
}

pub struct Platform {
    command: Vec<String>,
    folder: PathBuf,
    net: (u8, u8),
    pub entries: Vec<Entry>,
    pub record: Record,
    pub store: Store,
    /// Where the entries reach the store.
    pub store_address: SocketAddr,
    _store_server: Server,
    pub workers: Vec<Worker>,
    pub zones: Vec<&'static str>,
    workers_made: u8,
}

impl Platform {
    /// Starts the store. `command` is that of the deploy file.
    pub fn new(command: &str, record: Record, zones: &[&'static str]) -> std::io::Result<Self> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("hinge-review-{pid}"));
        std::fs::create_dir_all(&folder)?;
        *FOLDER.lock().unwrap() = Some(folder.clone());
        // Addresses of their own for each play, so that the fixed port of the metrics page is free.
        let net = (u8::try_from(1 + pid / 250 % 250).unwrap_or(1), u8::try_from(1 + pid % 250).unwrap_or(1));
        let store = Store::new();
        let store_server = store.serve(SocketAddr::new(ip(net, 250), 0))?;
        Ok(Self {
            command: command.split_whitespace().map(str::to_owned).collect(),
            folder,
            net,
            entries: Vec::new(),
            record,
            store,
            store_address: store_server.address,
            _store_server: store_server,
            workers: Vec::new(),
            zones: zones.to_vec(),
            workers_made: 0,
        })
    }

    pub fn address(&self, last: u8) -> SocketAddr {
        SocketAddr::new(ip(self.net, last), 0)
    }

    /// Writes a config, as the operator does.
    pub fn configure(&self, version: u64, queues: &[Queue]) {
        let routes = queues.iter().map(|queue| {
            map([
                ("name", text(queue.name)),
                ("host", text(HOST)),
                ("prefix", text(queue.prefix)),
                ("kind", text("unsafe")),
                ("timeout-ms", int(queue.timeout_ms)),
                ("target-duration-ms", int(60)),
                ("priority", int(0)),
                ("backend", text(BACKEND)),
                ("max-attempts", int(3)),
                ("stretch", Json::Float(1.6)),
            ])
        });
        let backend = map([
            ("name", text(BACKEND)),
            ("health-path", text("/health")),
            ("max-conns", int(64)),
            ("protocol", text("h1")),
            ("tls", Json::Bool(false)),
            ("rejects-overload", Json::Bool(true)),
            ("standby", Json::Bool(false)),
        ]);
        let limits = map([
            ("max-header-bytes", int(16_384)),
            ("max-body-bytes", int(262_144)),
            ("header-timeout-ms", int(3_000)),
            ("idle-timeout-ms", int(15_000)),
        ]);
        let config = map([
            ("version", int(version)),
            ("routes", Json::List(routes.collect())),
            ("backends", Json::List(vec![backend])),
            ("limits", limits),
        ]);
        self.store.write("op/config", &config);
        self.record.line(&format!("operator: config {version} is acknowledged"));
    }

    pub fn add_worker(&mut self, zone: &str, cpu: u64, swallows: Swallows) -> std::io::Result<()> {
        self.workers_made += 1;
        let [address] = free_ports(ip(self.net, 100 + self.workers_made))?;
        let id = format!("i-{:08x}", 0x7f3a_0000 + u32::from(self.workers_made));
        let spec = Spec { id, address, backend: BACKEND.to_owned(), cpu, zone: zone.to_owned() };
        let worker = Worker::new(spec, self.store.clone(), self.record.clone(), swallows);
        worker.start()?;
        self.workers.push(worker);
        Ok(())
    }

    /// Adds an entry without starting it.
    pub fn add_entry(&mut self, zone: &str) -> std::io::Result<usize> {
        let number = u8::try_from(self.entries.len() + 1).unwrap_or(1);
        let own = ip(self.net, number);
        let name =
            format!("front-{zone}-{}", self.entries.iter().filter(|entry| entry.zone == zone).count() + 1);
        let [front, peers, ready] = free_ports(own)?;
        let entry = Entry {
            child: None,
            front,
            peers,
            ready,
            settings: self.folder.join(format!("{name}.conf")),
            name,
            zone: zone.to_owned(),
        };
        self.entries.push(entry);
        Ok(self.entries.len() - 1)
    }

    /// Writes the settings file of an entry, as the platform does at its start and when settings change.
    pub fn write_settings(&self, index: usize) -> std::io::Result<()> {
        let entry = &self.entries[index];
        let (ip, peers) = (entry.peers.ip(), entry.peers.port());
        let zones: String = self.zones.iter().map(|zone| format!("zones.{zone}=north\n")).collect();
        let settings = format!(
            "node-name={name}\nrole=entry\nmachine-class=front\nserves=front,control\nip={ip}\nzone={zone}\nregion=north\n{zones}\
             listen.front={front}\nlisten.readiness-addr={ready}\nport-range={peers},{last}\nbootstrap=true\n\
             limits.cpu-share=0.25\nlimits.cores=1\nlimits.memory-mb=260\nlimits.max-fds=4100\ndiscovery=platform\nentry=vip\n\
             heartbeat-ms=1500\nbounds.stable-window-ms=3000\nbounds.ack-ms=4000\nbounds.drain-ms=2000\nbounds.grace-s=6\n\
             bounds.loss-slack-ms=200\nbounds.config-apply-ms=2000\nbounds.rollback-slack-ms=250\nbounds.max-hold-ms=1000\n\
             bounds.stop-ms=50\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.resend-ms=1300\ncommand-mode=call\n\
             platform.address={store}\nplatform.form=kv\nplatform.writes-per-s=400\nplatform.reads-per-s=2000\n\
             platform.history-s=20\nplatform.value-bytes=1048576\nplatform.min-ttl-ms=1000\n",
            name = entry.name,
            zone = entry.zone,
            front = entry.front,
            ready = entry.ready,
            last = peers.saturating_add(15),
            store = self.store_address,
        );
        std::fs::write(&entry.settings, settings)
    }

    /// Starts the process of an entry with the command of the deploy file.
    pub fn start_entry(&mut self, index: usize) -> std::io::Result<()> {
        self.write_settings(index)?;
        let entry = &self.entries[index];
        let log = std::fs::File::create(self.folder.join(format!("{}.log", entry.name)))?;
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .env("CELERYHINGE_SETTINGS", &entry.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.record.line(&format!("{}: starts", entry.name));
        let mut children = CHILDREN.lock().unwrap();
        self.entries[index].child = Some(children.len());
        children.push(child);
        Ok(())
    }

    /// Starts all entries and waits until they are ready, know each other and own the workers.
    pub fn start_entries(&mut self) -> Result<(), String> {
        for index in 0..self.entries.len() {
            self.start_entry(index).map_err(|error| format!("an entry does not start: {error}"))?;
        }
        let until = Instant::now() + Duration::from_secs(15);
        for entry in &self.entries {
            loop {
                let answer = http::call(entry.ready, "GET", "/v1/ready", &[], "", Duration::from_secs(1));
                if matches!(answer, Outcome::Answered(200, _)) {
                    break;
                }
                if Instant::now() > until {
                    let log =
                        std::fs::read_to_string(entry.settings.with_extension("log")).unwrap_or_default();
                    let last = log.lines().last().unwrap_or_default();
                    return Err(format!("{} does not get ready; last line of its log: {last}", entry.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
            self.record.line(&format!("{}: is ready", entry.name));
        }
        thread::sleep(Duration::from_secs(4));
        Ok(())
    }

    /// Kills the process of an entry with SIGKILL.
    pub fn kill_entry(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        if let Some(index) = entry.child.take() {
            let child = &mut CHILDREN.lock().unwrap()[index];
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{}: is killed", entry.name));
        }
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        clean_up();
    }
}

fn ip(net: (u8, u8), last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, last))
}

/// Free ports of an address, all different.
fn free_ports<const N: usize>(ip: IpAddr) -> std::io::Result<[SocketAddr; N]> {
    let listeners: Vec<_> =
        (0..N).map(|_| TcpListener::bind(SocketAddr::new(ip, 0))).collect::<Result<_, _>>()?;
    let mut addresses = [SocketAddr::new(ip, 0); N];
    for (address, listener) in addresses.iter_mut().zip(&listeners) {
        *address = listener.local_addr()?;
    }
    Ok(addresses)
}
