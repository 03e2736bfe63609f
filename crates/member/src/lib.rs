//! Heartbeats, failure detection and membership of the entry instances of a data centre.
//!
//! Each entry instance has one [`Members`], which combines heartbeats and the platform's list of instances. It performs
//! no I/O; the caller passes `now`, sends the returned heartbeats and passes in received messages.
//!
//! - [`Members::heartbeats`], [`Members::on_heartbeat`] and [`Members::on_reply`] exchange counters and load.
//! - [`Members::set_list`] applies the platform's list, which adds peers and marks the leaving ones.
//! - [`Members::tick`] marks members without recent reports as suspect and then dead, and returns [`Notice`]s for the
//!   log.
//! - [`Members::leaders`], [`Members::peers`] and [`Members::owner`] return the current view.
//!
//! Incarnations are random and have no order. A message directly from another incarnation of a known id replaces the
//! known incarnation when that one has been silent for the suspect timeout; otherwise the message is ignored. A report
//! relayed in the digest of another member neither replaces an incarnation nor revives a dead one.
//!
//! ```
//! use hinge_conf::Policy;
//! use hinge_member::{Members, Owner};
//! use hinge_wire::{InstanceState, MemberInfo, SubmissionKey};
//! use tokio::time::Instant;
//!
//! fn info(instance: &str, incarnation: u64, port: u16) -> MemberInfo {
//!     MemberInfo {
//!         config_revision: 1, counter: 0, data_centre: "dc1".into(), free_slots: 8, incarnation,
//!         instance: instance.into(), peer_address: format!("127.0.0.1:{port}"), queued_tasks: 0,
//!         state: InstanceState::Ready,
//!     }
//! }
//!
//! let now = Instant::now();
//! let policy = Policy::default();
//! let second_address = "127.0.0.1:7002".parse().map_err(|_| "address")?;
//! let mut first = Members::new(info("entry-1", 11, 7001), vec![second_address], &policy, 1);
//! let mut second = Members::new(info("entry-2", 22, 7002), vec![], &policy, 2);
//!
//! for outgoing in first.heartbeats(now, &[]) {
//!     let reply = second.on_heartbeat(now, &outgoing.heartbeat).map_err(|code| code.name())?;
//!     first.on_reply(now, &reply);
//! }
//! assert_eq!(first.leaders().len(), 2);
//! let key: SubmissionKey = "dc1.entry-2.0000000000000016.5".parse().map_err(|_| "key")?;
//! assert_eq!(first.owner(&key), Owner::Peer { address: second_address, incarnation: 22 });
//! # Ok::<(), &'static str>(())
//! ```

mod digest;
mod evidence;
mod exchange;
mod liveness;
mod member;
mod members;
mod notice;
mod rotation;

pub use digest::MAX_HEARTBEAT_BYTES;
pub use exchange::OutgoingHeartbeat;
pub use members::{Members, Owner};
pub use notice::Notice;
