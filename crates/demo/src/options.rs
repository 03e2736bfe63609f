//! Command line of the demonstration.

use argh::FromArgs;

use crate::error::DemoError;

const MAX_DURATION_MS: u64 = 60_000;
const MAX_ENTRIES: usize = 8;
const MAX_UPSTREAMS: usize = 50;

/// Runs platform stand-ins, entries and a mixed workload in one process on loopback, and checks every answer.
#[derive(Clone, Debug, FromArgs)]
pub struct Options {
    /// time in milliseconds during which requests are sent, at most 60000; default 8000
    #[argh(option, default = "8_000")]
    pub duration_ms: u64,
    /// entry instances, 1 to 8; default 3
    #[argh(option, default = "3")]
    pub entries: usize,
    /// after the workload, serve until SIGINT or SIGTERM
    #[argh(switch)]
    pub keep_running: bool,
    /// first port: entry n listens for callers on port + 2n and for peers and operators on the next port; default 0,
    /// which picks free ports
    #[argh(option, default = "0")]
    pub port: u16,
    /// seed of run times and placement; default 1
    #[argh(option, default = "1")]
    pub seed: u64,
    /// upstreams with 8 slots each, 1 to 50; default 6
    #[argh(option, default = "6")]
    pub upstreams: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { duration_ms: 8_000, entries: 3, keep_running: false, port: 0, seed: 1, upstreams: 6 }
    }
}

impl Options {
    /// Checks that all options are in range.
    pub(crate) fn check(&self) -> Result<(), DemoError> {
        let checks = [
            (self.duration_ms <= MAX_DURATION_MS, "--duration-ms must be at most 60000"),
            ((1..=MAX_ENTRIES).contains(&self.entries), "--entries must be 1 to 8"),
            ((1..=MAX_UPSTREAMS).contains(&self.upstreams), "--upstreams must be 1 to 50"),
            (self.port < u16::MAX - 2 * MAX_ENTRIES as u16, "--port is too high"),
        ];
        match checks.iter().find(|(is_valid, _)| !is_valid) {
            Some((_, message)) => Err(DemoError::Option(message)),
            None => Ok(()),
        }
    }
}
