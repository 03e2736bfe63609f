//! The entries: processes of the deploy file's program, with settings files in a temporary folder.

use std::fs;
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Call;

/// Program of the role in `deploy/system.toml`, from the root of the repository.
const PROGRAM: &str = "target/release/hinge-platform";

/// All entry processes of the case.
static PROCESSES: Mutex<Vec<Child>> = Mutex::new(Vec::new());
/// Ends the entry processes if this process is killed.
static GUARD: Mutex<Option<Child>> = Mutex::new(None);

/// Argument with which this program starts as the guard.
pub const GUARD_ARGUMENT: &str = "guard";
/// Tells the guard that no entry process is left.
const ALL_ENDED: &str = "all ended";

/// Starts the guard, in a process group of its own, so that a signal to the group of the case does not end it.
pub fn start_guard() -> io::Result<()> {
    let guard = Command::new(std::env::current_exe()?)
        .arg(GUARD_ARGUMENT)
        .stdin(Stdio::piped())
        .process_group(0)
        .spawn()?;
    *GUARD.lock().unwrap_or_else(PoisonError::into_inner) = Some(guard);
    Ok(())
}

/// Reads process ids until the case ends, and kills them unless the case has done so.
pub fn guard() {
    let mut process_ids = Vec::new();
    for line in io::stdin().lines().map_while(Result::ok) {
        match line.parse() {
            Ok(process_id) => process_ids.push(process_id),
            Err(_) => process_ids.clear(),
        }
    }
    for process_id in process_ids {
        signal(process_id, SIGKILL);
    }
}

fn tell_guard(line: &str) -> io::Result<()> {
    let mut guard = GUARD.lock().unwrap_or_else(PoisonError::into_inner);
    let stdin = guard.as_mut().and_then(|guard| guard.stdin.as_mut());
    stdin.map_or(Err(io::ErrorKind::NotFound.into()), |stdin| writeln!(stdin, "{line}"))
}

/// Ends all entry processes, and the guard.
pub fn end_all() {
    let mut processes = PROCESSES.lock().unwrap_or_else(PoisonError::into_inner);
    for mut process in processes.drain(..) {
        let _ = process.kill();
        let _ = process.wait();
    }
    let _ = tell_guard(ALL_ENDED);
    if let Some(mut guard) = GUARD.lock().unwrap_or_else(PoisonError::into_inner).take() {
        drop(guard.stdin.take());
        let _ = guard.wait();
    }
}

fn signal(process_id: u32, signal: i32) {
    let process_id = i32::try_from(process_id).expect("a process id");
    // SAFETY: `kill` takes numbers only, and the process is one of this case that has not been waited for.
    unsafe { kill(process_id, signal) };
}

/// An entry process.
pub struct Entry {
    /// Address for clients.
    pub front: SocketAddr,
    pub name: String,
    process_id: u32,
    ready: SocketAddr,
}

/// Signals of Linux, the same on x86-64 and arm64.
const SIGKILL: i32 = 9;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(process_id: i32, signal: i32) -> i32;
}

impl Entry {
    /// Starts entry number `index` of `zone`. Each has a loopback address of its own, as each machine has one.
    pub fn start(root: &Path, folder: &Path, index: u8, zone: &str, store: SocketAddr) -> io::Result<Self> {
        let process_id = std::process::id();
        let [_, _, high, low] = process_id.to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, high | 0x40, low, 10 + index));
        let port = || io::Result::Ok(TcpListener::bind((ip, 0))?.local_addr()?.port());
        let (front, ready, control, peers) = (port()?, port()?, port()?, port()?);
        let name = format!("front-{zone}-{}", index + 1);
        let settings = format!(
            "node-name={name}\nrole=entry\nmachine-class=front\nserves=front\nip={ip}\nzone={zone}\nregion=r\n\
             zones.{zone}=r\nlisten.front={ip}:{front}\nlisten.readiness-addr={ip}:{ready}\n\
             listen.control={ip}:{control}\nport-range={peers},{peers}\nbootstrap=true\ndiscovery=platform\nentry=vip\n\
             heartbeat-ms=1500\nbounds.stable-window-ms=3000\nbounds.drain-ms=2000\nbounds.grace-s=6\n\
             bounds.config-apply-ms=2000\nbounds.max-hold-ms=1000\nbounds.stop-ms=50\nbounds.cancel_ms=3000\n\
             bounds.resend-ms=1300\ncommand-mode=call\nplatform.address={store}\nplatform.form=kv\n\
             platform.min-ttl-ms=1000\n"
        );
        let path: PathBuf = folder.join(format!("{name}.conf"));
        fs::write(&path, settings)?;
        let log = fs::File::create(folder.join(format!("{name}.log")))?;
        let process = Command::new(root.join(PROGRAM))
            .current_dir(root)
            .env_clear()
            .env("CELERYHINGE_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        let process_id = process.id();
        PROCESSES.lock().unwrap_or_else(PoisonError::into_inner).push(process);
        tell_guard(&process_id.to_string())?;
        Ok(Self { front: SocketAddr::new(ip, front), name, process_id, ready: SocketAddr::new(ip, ready) })
    }

    /// Lets the machine stand still.
    pub fn freeze(&self) {
        signal(self.process_id, SIGSTOP);
    }

    /// Lets the machine go on.
    pub fn thaw(&self) {
        signal(self.process_id, SIGCONT);
    }

    /// Waits until the entry reports itself ready.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(10);
        let budget = Duration::from_millis(500);
        let call =
            Call { address: self.ready, body: "", budget, host: "ready", method: "GET", path: "/v1/ready" };
        while Instant::now() < until {
            if call.send().is_ok_and(|(status, _)| status == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!("{} is not ready", self.name)))
    }
}
