//! A home and an owner in a data centre so large that the link between them becomes dormant.

#![allow(clippy::unwrap_used, reason = "tests")]

#[path = "support/path.rs"]
mod path;
#[path = "support/runs.rs"]
mod runs;
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use hinge_mesh::{FULL_MESH_PEERS, Mesh, MeshEvent, Message, PeerAddress, Status};
use hinge_node::{EntryRecord, Input, NodeHandle, NodeMetrics, Submitted};
use hinge_route::assign_upstreams;
use hinge_runs::{LIVENESS_TIMEOUT, UpstreamRecord};
use path::Path;
use runs::{Runs, start_node, start_node_with};
use support::{Clock, entry, hello, request, upstream};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

const HOME: u64 = 1;
/// Far from the home in the ring of incarnations, so that neither watches the other.
const OWNER: u64 = 20;
/// Entries that drain, and so own nothing.
const OTHERS: [u64; 20] = [10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30];
/// Longer than the time between two heartbeats on a dormant link.
const UNUSED: Duration = Duration::from_secs(15);

/// An entry that only keeps its links up.
struct Other {
    events: mpsc::Receiver<MeshEvent>,
    mesh: Mesh,
}

struct Site {
    home: NodeHandle,
    /// From the home to the owner.
    path: Path,
    runs: Runs,
    _others: Vec<Other>,
    _owner: NodeHandle,
}

/// An upstream that the owner gets when it is divided between the home and the owner.
fn upstream_of_owner() -> UpstreamRecord {
    let entries = [(hello(HOME).instance, 1), (hello(OWNER).instance, 1)];
    let records = (0..100).map(|number| UpstreamRecord { id: format!("up-{number}").into(), ..upstream() });
    records.into_iter().find(|record| assign_upstreams(&entries, &[(record.id.clone(), 16)]) == [1]).unwrap()
}

async fn start_other(number: u64, owner: SocketAddr) -> (Other, EntryRecord) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let record = EntryRecord { address: listener.local_addr().unwrap(), ..entry(number) };
    let (sender, events) = mpsc::channel(1_024);
    let mut mesh = Mesh::start(listener, hello(number), sender);
    mesh.set_peers(&[PeerAddress { address: owner, instance: hello(OWNER).instance }]);
    (Other { events, mesh }, record)
}

impl Site {
    async fn new() -> Self {
        let runs = Runs::new();
        let metrics = NodeMetrics::new().unwrap();
        let (home, _) = start_node_with(hello(HOME), &runs, Clock::new(), metrics.clone()).await;
        let (owner, address) = start_node(hello(OWNER), &runs, Clock::new()).await;
        let path = Path::new(address).await;
        let mut records = vec![entry(HOME), EntryRecord { address: path.address, ..entry(OWNER) }];
        let mut others = Vec::new();
        for number in OTHERS {
            let (other, record) = start_other(number, address).await;
            others.push(other);
            records.push(record);
        }
        for node in [&home, &owner] {
            node.send_input(Input::Entries(records.clone())).await;
        }
        sleep(Duration::from_millis(500)).await;
        for other in &mut others {
            assert!(other.mesh.stats().links >= 2);
            for peer in [HOME, OWNER] {
                let status = Status { draining: true, ..Status::default() };
                assert!(other.mesh.send(peer, Message::Status(status)));
            }
            while other.events.try_recv().is_ok() {}
        }
        sleep(Duration::from_millis(500)).await;
        for node in [&home, &owner] {
            node.send_input(Input::Upstreams(vec![upstream_of_owner()])).await;
        }
        sleep(UNUSED).await;
        // All but the eight watched ones, so that to the owner too.
        let resting = format!("celeryhinge_links{{state=\"resting\"}} {}\n", OTHERS.len() + 1 - 8);
        assert!(metrics.render().contains(&resting), "{}", metrics.render());
        Self { home, path, runs, _others: others, _owner: owner }
    }

    /// Sends a job of one long task to the home, and waits for its start.
    async fn start_task(&self) -> Submitted {
        let job = self.home.submit(request(Duration::from_secs(3), 1)).unwrap();
        sleep(Duration::from_millis(100)).await;
        assert_eq!(self.runs.starts(), 1);
        job
    }
}

/// Guards against a first task on a dormant link that is taken for a late one, or that waits for a heartbeat.
#[tokio::test(start_paused = true)]
async fn an_assignment_on_a_dormant_link_starts_at_once() {
    assert!(OTHERS.len() > FULL_MESH_PEERS);
    let site = Site::new().await;
    let _job = site.start_task().await;
}

/// Guards against a run that goes on after the death of its home, because the link has become dormant beside it.
#[tokio::test(start_paused = true)]
async fn a_run_is_stopped_in_time_after_the_death_of_a_home_that_was_not_watched() {
    let site = Site::new().await;
    let _job = site.start_task().await;
    sleep(Duration::from_secs(5)).await;
    assert_eq!(site.runs.stopped.lock().unwrap().len(), 0, "the task runs");
    let died_at = Instant::now();
    site.path.kill_sender();
    sleep(Duration::from_secs(2)).await;
    let stopped = site.runs.stopped.lock().unwrap().clone();
    let after = stopped.first().map(|at| at.duration_since(died_at));
    assert!(after.is_some_and(|after| after <= LIVENESS_TIMEOUT + Duration::from_millis(50)), "{after:?}");
}
