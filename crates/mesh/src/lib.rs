//! Links between entries: one TCP connection per pair, with failure detection by heartbeats.
//!
//! Of two entries the one with the smaller instance id dials. Both sides send [`Message`]s in MessagePack with a length
//! prefix, and a heartbeat if there was no other message for [`HEARTBEAT_INTERVAL`]. They exchange time stamps, by which a
//! side knows when its peer was alive ([`Liveness`]): what arrives may have been sent long before. A side whose peer was not
//! alive within [`LIVENESS_TIMEOUT`](hinge_runs::LIVENESS_TIMEOUT) closes the connection, so that both sides detect that the
//! link is down. An unused link may rest ([`Rest`]): a link to another data centre becomes idle, and most links of a large
//! data centre dormant. Then both times are longer, and time stamps are exchanged before the next message. The loss of a peer
//! by silence on a link that does not rest is told to the other peers, which check their own links to it.
//!
//! A link outlives its connection for a short time: when a connection is reset or stalls, the dialling side opens another
//! one, on which the link continues without the loss of a message.
//!
//! All assignments that were sent over a link become invalid when it goes down. Homes and owners rely on this to decide
//! which runs must be stopped.
//!
//! [`Mesh`] owns the links. It reports [`MeshEvent`]s, and [`Mesh::send`] sends messages.

mod connection;
mod link;
mod liveness;
mod mesh;
mod message;
mod rest;
mod session;
mod stats;
mod unidentified;

pub use link::{HEARTBEAT_INTERVAL, SILENCE_LIMIT};
pub use liveness::{Liveness, TimestampAhead, Timestamps};
pub use mesh::{Mesh, MeshEvent, PeerAddress};
pub use message::{Evacuation, Hello, LinkId, Message, OwnedUpstream, Resume, ServiceLoad, Status};
pub use rest::{FULL_MESH_PEERS, Rest};
pub use stats::MeshStats;
