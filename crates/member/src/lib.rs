//! Instance membership within a data centre.
//!
//! One [`Members`] per entry instance merges what heartbeats and the platform's list say about its peers. It performs no
//! I/O; the caller passes `now`, sends the returned heartbeats and feeds in what it receives.
//!
//! - [`Members::heartbeats`], [`Members::on_heartbeat`] and [`Members::on_reply`] exchange counters and load.
//! - [`Members::set_list`] applies the platform's list, which adds instances and marks leaving ones.
//! - [`Members::tick`] advances silent members to suspect and dead and returns [`Notice`]s for the log.
//! - [`Members::leaders`], [`Members::peers`] and [`Members::owner`] answer the dispatcher.
//!
//! Incarnations are random and have no order. When a process is heard directly while the known incarnation of its id has
//! been silent for the suspect time, it is the newer one and the known one has ended. What was learned second-hand, from
//! a digest, neither replaces an incarnation nor revives a dead one.
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
mod life;
mod member;
mod members;
mod notice;
mod rotation;

pub use digest::MAX_HEARTBEAT_BYTES;
pub use exchange::OutgoingHeartbeat;
pub use members::{Members, Owner};
pub use notice::Notice;
