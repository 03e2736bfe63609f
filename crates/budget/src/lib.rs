//! Limits of a process on what it holds for the clients of its listeners.
//!
//! [`Grant`] is what the machine gives the process. The [`Budget`] of the process is derived from it and shared by its
//! listeners. It counts bytes and connections:
//!
//! - [`Listener::admit`] admits a connection, and closes another one if there are too many;
//! - [`read_body`] reads a body, piece by piece against the budget; if it is used up, the largest and slowest unfinished body
//!   of the process is shed;
//! - [`Budget::hold`] counts what a request occupies until it is answered, and [`Budget::hold_message`] a message that may be
//!   small;
//! - [`Budget::admits`] decides on a submission that outlives its request;
//! - [`Connection::response`] counts a response until it is written.
//!
//! [`listen`] and [`connect`] open the sockets, and bound what they receive before the process reads it.
//!
//! A body that arrives in one piece takes no lock and no allocation.

mod blocks;
mod body;
mod budget;
mod connection;
mod grant;
mod held;
mod listener;
mod pool;
mod shed_log;
mod socket;

pub use body::{BodyError, read_body};
pub use budget::{Budget, Usage};
pub use connection::{Answering, Connection};
pub use grant::Grant;
pub use held::Held;
pub use listener::Listener;
pub use shed_log::ShedCounts;
pub use socket::{
    CALLER_BACKLOG, CLIENT_RECEIVE_BYTES, LINK_BACKLOG, LINK_RECEIVE_BYTES, PAGE_BACKLOG,
    STORE_RECEIVE_BYTES, UPSTREAM_RECEIVE_BYTES, connect, listen, receive_buffer_option,
};
