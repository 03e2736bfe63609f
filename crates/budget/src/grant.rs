//! What a machine grants to the process, and how that is divided.

use crate::socket::WAITING_BYTES;

/// Bytes in a megabyte.
const MEGABYTE: usize = 1 << 20;
/// Memory for the program and what it holds without clients, in megabytes.
const PROGRAM_MB: usize = 16;
/// Part of the rest for clients of the listeners, in sixteenths. With 120 MB, 300 connections with unfinished bodies of 256 KB
/// fit in this part.
const CLIENTS_SIXTEENTHS: usize = 14;
/// The same part for clients whose submissions outlive their requests: the allocator does not use all that is freed at once,
/// so that the process occupies up to half as much again.
const LONG_LIVED_SIXTEENTHS: usize = 8;
/// Memory for clients on a machine that has hardly more than the program needs, in megabytes.
const MIN_CLIENTS_MB: usize = 1;
/// Descriptors that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
/// Part of the other descriptors for connections from callers, in sixteenths.
const CALLERS_SIXTEENTHS: usize = 6;
/// Part of them for connections from peers over HTTP, in sixteenths.
const PEERS_SIXTEENTHS: usize = 3;

/// Memory and descriptors that the machine grants to the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Number of descriptors.
    pub max_descriptors: usize,
    /// Memory in megabytes.
    pub memory_mb: usize,
}

impl Grant {
    /// Largest number of bytes that are held for clients, without their connections that wait to be accepted.
    #[must_use]
    pub const fn client_bytes(&self) -> usize {
        self.part_bytes(CLIENTS_SIXTEENTHS)
    }

    /// The same if submissions outlive their requests, and bodies are read by several threads.
    #[must_use]
    pub const fn long_lived_client_bytes(&self) -> usize {
        self.part_bytes(LONG_LIVED_SIXTEENTHS)
    }

    const fn part_bytes(&self, sixteenths: usize) -> usize {
        let rest_mb = self.memory_mb.saturating_sub(PROGRAM_MB);
        let bytes = (rest_mb.saturating_mul(MEGABYTE) / 16 * sixteenths).saturating_sub(WAITING_BYTES);
        if bytes < MIN_CLIENTS_MB * MEGABYTE { MIN_CLIENTS_MB * MEGABYTE } else { bytes }
    }

    /// Largest number of connections from callers.
    #[must_use]
    pub const fn caller_connections(&self) -> usize {
        self.connections(CALLERS_SIXTEENTHS)
    }

    /// Largest number of connections from peers over HTTP.
    #[must_use]
    pub const fn peer_connections(&self) -> usize {
        self.connections(PEERS_SIXTEENTHS)
    }

    /// At least one connection, so that a process with hardly any descriptors can still be asked for its state.
    const fn connections(&self, sixteenths: usize) -> usize {
        let connections = self.max_descriptors.saturating_sub(FILE_DESCRIPTORS) * sixteenths / 16;
        if connections == 0 { 1 } else { connections }
    }
}
