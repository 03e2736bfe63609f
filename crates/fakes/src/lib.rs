//! Stand-ins for the platform's store, instance list and upstreams.
//!
//! - [`FakeStore`], [`FakeList`] and [`FakeUpstream`] hold the state; their methods take the current time.
//! - [`Shared`] adds the calls that wait (watches, long polls, running tasks). They use tokio's clock, so tests can
//!   pause it.
//! - [`serve`] serves any of them, or a [`Platform`] of store and list, over HTTP/1.1. The binary `hinge-fakes` does
//!   so in a process of its own.
//!
//! [`Crowd`] is a crowd of clients with unfinished requests; [`Usage`] shows what a process uses meanwhile, and
//! [`MemoryWatch`] its memory with the bytes that it has not read yet.
//!
//! Faults are set by `POST /control` with [`StoreControl`], [`ListControl`] or [`UpstreamFaults`], or by
//! [`FakeStore::control`], [`FakeList::control`] and [`FakeUpstream::set_faults`]. `GET /counts` of the store returns
//! [`StoreCounts`], `GET /starts` of an upstream [`StartsReply`].
//!
//! ```
//! use hinge_fakes::{FakeStore, Shared, StoreCaps, serve};
//! use hinge_wire::StorePut;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let store = Shared::new(FakeStore::new(StoreCaps::default()));
//! let put = StorePut { expect_revision: 0, lease: 0, value: "one".to_owned() };
//! assert_eq!(store.put("config/current", &put).await?.revision, 1);
//!
//! let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
//! let server = serve(listener, store)?;
//! println!("GET http://{}/kv/config/current", server.address());
//! server.shutdown().await;
//! # Ok(())
//! # }
//! ```

mod crowd;
mod http;
mod list;
mod memory;
mod platform;
mod shared;
mod store;
mod store_server;
mod upstream;
mod upstream_server;
mod usage;

pub use crate::crowd::{Crowd, CrowdRequest, Shape, status_of, status_of_page};
pub use crate::http::{ConnectionClosed, Handler, ResponseBody, ServerHandle, serve};
pub use list::{FakeList, ListControl};
pub use memory::{MemoryPeak, MemoryWatch};
pub use platform::Platform;
pub use shared::Shared;
pub use store::{FakeStore, FakeStoreError, MAX_VALUE_BYTES, StoreCaps, StoreControl, StoreCounts};
pub use upstream::{
    FakeUpstream, StartRecord, StartedTask, StartsReply, TaskCall, TaskEnd, TaskPayload, UpstreamFaults,
    UpstreamOptions,
};
pub use usage::Usage;
