//! Links between the entries: one TCP connection per pair, with liveness.
//!
//! The entry with the smaller instance id dials. Both sides send [`Message`]s in MessagePack, each in a frame with a
//! length prefix, and at least a heartbeat every [`HEARTBEAT_INTERVAL`]. A side that hears nothing for
//! [`SILENCE_LIMIT`] closes the connection, so that both sides learn that the link is down. What was handed over on
//! a link is void once the link is down: homes and owners rely on that to decide which runs are to be stopped.
//!
//! [`Mesh`] owns the links; it reports [`MeshEvent`]s and takes messages with [`Mesh::send`].

mod link;
mod mesh;
mod message;

pub use link::{HEARTBEAT_INTERVAL, SILENCE_LIMIT};
pub use mesh::{Mesh, MeshEvent, PeerAddress};
pub use message::{Hello, Message, OwnedUpstream, ServiceLoad, Status};
