//! Memory that a process uses together with the bytes that its sockets have received and it has not read.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Interval at which both are read.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Prefix of the link from a descriptor to a socket; the inode and a bracket follow.
const SOCKET_LINK: &str = "socket:[";
/// State of a listening socket in `/proc/net/tcp`.
const LISTENING: &str = "0A";

/// Largest values that were seen, in KiB.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct MemoryPeak {
    /// Resident memory with the unread bytes of the same moment.
    pub total_kb: usize,
    /// Bytes that the connections of the process, accepted or not, have received and it has not read.
    pub unread_kb: usize,
}

/// Watches one process until it is dropped.
#[derive(Debug)]
pub struct MemoryWatch {
    process: u32,
    peak_total_kb: Arc<AtomicUsize>,
    peak_unread_kb: Arc<AtomicUsize>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl MemoryWatch {
    /// Starts to read the memory of a process.
    #[must_use]
    pub fn start(process: u32) -> Self {
        let peak_total_kb = Arc::new(AtomicUsize::new(0));
        let peak_unread_kb = Arc::new(AtomicUsize::new(0));
        let stopped = Arc::new(AtomicBool::new(false));
        let (total, unread, stop) = (peak_total_kb.clone(), peak_unread_kb.clone(), stopped.clone());
        let thread = std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let now = sample(process).unwrap_or_default();
                total.fetch_max(now.total_kb, Ordering::Relaxed);
                unread.fetch_max(now.unread_kb, Ordering::Relaxed);
                std::thread::sleep(POLL_INTERVAL);
            }
        });
        Self { process, peak_total_kb, peak_unread_kb, stopped, thread: Some(thread) }
    }

    /// Peaks of the sum and of the unread bytes alone; none if the process has ended.
    #[must_use]
    pub fn peak(&self) -> Option<MemoryPeak> {
        let now = sample(self.process)?;
        Some(MemoryPeak {
            total_kb: self.peak_total_kb.load(Ordering::Relaxed).max(now.total_kb),
            unread_kb: self.peak_unread_kb.load(Ordering::Relaxed).max(now.unread_kb),
        })
    }
}

impl Drop for MemoryWatch {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // Fails only if the thread has panicked.
            let _ = thread.join();
        }
    }
}

fn sample(process: u32) -> Option<MemoryPeak> {
    let unread_kb = unread_bytes(process)?.div_ceil(1_024);
    Some(MemoryPeak { total_kb: resident_kb(process)? + unread_kb, unread_kb })
}

fn directory(process: u32) -> PathBuf {
    PathBuf::from(format!("/proc/{process}"))
}

fn resident_kb(process: u32) -> Option<usize> {
    let status = std::fs::read_to_string(directory(process).join("status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Inodes of the sockets that a process has open.
fn sockets(process: u32) -> Option<BTreeSet<u64>> {
    let descriptors = std::fs::read_dir(directory(process).join("fd")).ok()?;
    let links = descriptors.filter_map(|descriptor| std::fs::read_link(descriptor.ok()?.path()).ok());
    let inode = |link: PathBuf| link.to_str()?.strip_prefix(SOCKET_LINK)?.strip_suffix(']')?.parse().ok();
    Some(links.filter_map(inode).collect())
}

/// A row of `/proc/net/tcp`.
struct Row<'a> {
    inode: u64,
    is_listening: bool,
    local_address: &'a str,
    /// For a listening socket, the number of connections that wait to be accepted.
    unread_bytes: usize,
}

impl<'a> Row<'a> {
    fn parse(line: &'a str) -> Option<Self> {
        let mut fields = line.split_whitespace().skip(1);
        let (local_address, _remote, state) = (fields.next()?, fields.next()?, fields.next()?);
        let (_unsent, unread) = fields.next()?.split_once(':')?;
        Some(Self {
            inode: fields.nth(4)?.parse().ok()?,
            is_listening: state == LISTENING,
            local_address,
            unread_bytes: usize::from_str_radix(unread, 16).ok()?,
        })
    }
}

/// Unread bytes of the sockets of a process, and of the connections that it has not accepted.
fn unread_bytes(process: u32) -> Option<usize> {
    let own = sockets(process)?;
    let table = std::fs::read_to_string(directory(process).join("net/tcp")).ok()?;
    let rows: Vec<Row<'_>> = table.lines().skip(1).filter_map(Row::parse).collect();
    let listening = rows.iter().filter(|row| row.is_listening && own.contains(&row.inode));
    let listening: BTreeSet<&str> = listening.map(|row| row.local_address).collect();
    let is_own = |row: &Row<'_>| own.contains(&row.inode) || listening.contains(row.local_address);
    let connections = rows.iter().filter(|row| !row.is_listening && is_own(row));
    Some(connections.map(|row| row.unread_bytes).sum())
}
