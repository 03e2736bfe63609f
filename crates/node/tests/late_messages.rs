//! Two running nodes on a path whose packets arrive late: a home without upstreams, and an owner in another data centre.

#![allow(clippy::panic, clippy::unwrap_used, reason = "tests")]

#[path = "support/path.rs"]
mod path;
mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use hinge_mesh::Hello;
use hinge_node::{EntryRecord, Input, Node, NodeHandle, NodeMetrics, NodeSettings, Submitted, UpstreamPort};
use hinge_runs::{
    EndKind, Ended, Hold, HoldReply, LIVENESS_TIMEOUT, Listing, RunId, RunProgress, StartOrder, StartReply,
    StopOrder, whole_ms,
};
use path::Path;
use support::{Clock, claimed, entry, hello, request, upstream};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

const HOME: u64 = 1;
const OWNER: u64 = 2;
/// Time after a broken connection after which a caller sends its job again.
const RESUBMIT_AFTER: Duration = Duration::from_millis(1_300);
/// Longer than the time after which an unused link is idle.
const UNUSED: Duration = Duration::from_secs(4);

/// An upstream whose tasks run until they are stopped.
#[derive(Clone)]
struct Runs {
    ended: Arc<Mutex<Vec<Ended>>>,
    running: Arc<Mutex<Vec<RunId>>>,
    /// When runs were started.
    started: Arc<Mutex<Vec<Instant>>>,
    started_at: Instant,
    /// When runs were stopped.
    stopped: Arc<Mutex<Vec<Instant>>>,
}

impl Runs {
    fn new() -> Self {
        Self {
            ended: Arc::default(),
            running: Arc::default(),
            started: Arc::default(),
            started_at: Instant::now(),
            stopped: Arc::default(),
        }
    }

    fn clock_ms(&self) -> u64 {
        whole_ms(self.started_at.elapsed())
    }

    fn starts(&self) -> usize {
        self.started.lock().unwrap().len()
    }
}

impl UpstreamPort for Runs {
    async fn hold(&self, hold: &Hold) -> HoldReply {
        sleep(hold.wait).await;
        let running = self.running.lock().unwrap().clone();
        HoldReply::Listed(Listing {
            clock_ms: self.clock_ms(),
            ended: self
                .ended
                .lock()
                .unwrap()
                .iter()
                .filter(|end| end.number > hold.last_end)
                .cloned()
                .collect(),
            incarnation: None,
            running: running.into_iter().map(|run| RunProgress { done_percent: 50, run }).collect(),
        })
    }

    async fn start(&self, start: &StartOrder) -> StartReply {
        self.started.lock().unwrap().push(Instant::now());
        self.running.lock().unwrap().push(start.run.clone());
        StartReply::Started { clock_ms: self.clock_ms() }
    }

    async fn stop(&self, stop: &StopOrder) {
        let mut running = self.running.lock().unwrap();
        let Some(position) = running.iter().position(|run| *run == stop.run) else { return };
        let run = running.remove(position);
        let mut ended = self.ended.lock().unwrap();
        let number = ended.last().map_or(1, |end| end.number + 1);
        ended.push(Ended { how: EndKind::Interrupted, number, run });
        self.stopped.lock().unwrap().push(Instant::now());
    }
}

async fn start_node(local: Hello, runs: &Runs, clock: Clock) -> (NodeHandle, std::net::SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let seed = local.incarnation;
    let settings = NodeSettings { local, seed, started_unix_ms: 1_767_000_000_000 };
    let (node, handle) = Node::new(settings, listener, runs.clone(), clock, NodeMetrics::new().unwrap());
    tokio::spawn(node.run());
    handle.send_input(claimed(Instant::now(), seed)).await;
    (handle, address)
}

struct Pair {
    home: NodeHandle,
    _owner: NodeHandle,
    owner_clock: Clock,
    path: Path,
    runs: Runs,
}

impl Pair {
    /// Links a home to an owner over a path without delay.
    async fn new() -> Self {
        let runs = Runs::new();
        let far = Hello { data_centre: "dc2".into(), ..hello(HOME) };
        let owner_clock = Clock::new();
        let (home, _) = start_node(far.clone(), &runs, Clock::new()).await;
        let (owner, address) = start_node(hello(OWNER), &runs, owner_clock.clone()).await;
        let path = Path::new(address).await;
        let records = vec![
            EntryRecord { data_centre: far.data_centre, ..entry(HOME) },
            EntryRecord { address: path.address, ..entry(OWNER) },
        ];
        for node in [&home, &owner] {
            node.send_input(Input::Entries(records.clone())).await;
            node.send_input(Input::Upstreams(vec![upstream()])).await;
        }
        sleep(Duration::from_secs(1)).await;
        Self { home, _owner: owner, owner_clock, path, runs }
    }

    /// Sends a job of one long task to the home.
    fn submit(&self) -> Submitted {
        self.home.submit(request(Duration::from_secs(3), 1)).unwrap()
    }

    /// Lets the packets of the path take longer and longer, without a gap that counts as silence.
    async fn slow_down(&self, delay: Duration) {
        let step = Duration::from_millis(10);
        let mut reached = Duration::ZERO;
        while reached < delay {
            reached += step;
            self.path.set_delay(reached);
            sleep(step * 2).await;
        }
    }
}

/// Guards against a simulation in which nothing is ever started, and against a first assignment on an unused link that is
/// taken for a late one.
#[tokio::test(start_paused = true)]
async fn an_assignment_on_an_idle_link_starts_at_once() {
    let pair = Pair::new().await;
    sleep(UNUSED).await;
    let _job = pair.submit();
    sleep(Duration::from_millis(100)).await;
    assert_eq!(pair.runs.starts(), 1);
}

/// Guards against a task that runs beside its resubmission: its assignment was sent on an idle link into a cut, its home
/// has died since, and the cut ends.
#[tokio::test(start_paused = true)]
async fn an_assignment_that_a_cut_held_back_on_an_idle_link_is_not_started() {
    let pair = Pair::new().await;
    sleep(UNUSED).await;
    pair.path.hold_until(Instant::now() + Duration::from_millis(1_500));
    let _job = pair.submit();
    sleep(Duration::from_millis(80)).await;
    pair.path.kill_sender();
    sleep(Duration::from_secs(5)).await;
    assert_eq!(pair.runs.starts(), 0);
}

/// Guards against the same on a link that is never silent: its messages arrive later and later, those of a dead home too.
#[tokio::test(start_paused = true)]
async fn an_assignment_that_arrives_late_on_a_busy_link_is_not_started() {
    let pair = Pair::new().await;
    pair.slow_down(Duration::from_millis(1_400)).await;
    let _job = pair.submit();
    sleep(Duration::from_millis(50)).await;
    pair.path.kill_sender();
    sleep(Duration::from_secs(5)).await;
    assert_eq!(pair.runs.starts(), 0);
}

/// Guards against a run that goes on after the death of its home, because what the home has sent before still arrives.
#[tokio::test(start_paused = true)]
async fn a_run_is_stopped_in_time_after_the_death_of_a_home_whose_messages_arrive_late() {
    let pair = Pair::new().await;
    let _job = pair.submit();
    sleep(Duration::from_millis(200)).await;
    assert_eq!(pair.runs.starts(), 1);
    pair.slow_down(Duration::from_millis(250)).await;
    assert_eq!(pair.runs.stopped.lock().unwrap().len(), 0, "the link is up");
    let died_at = Instant::now();
    pair.path.kill_sender();
    sleep(Duration::from_secs(5)).await;
    let stopped_at = pair.runs.stopped.lock().unwrap()[0];
    let late = stopped_at.duration_since(died_at);
    assert!(late <= LIVENESS_TIMEOUT + Duration::from_millis(20), "{late:?}");
}

/// Guards against a run that goes on after its caller has left, because the cancellation arrives late.
#[tokio::test(start_paused = true)]
async fn a_cancelled_run_is_stopped_before_its_caller_is_back() {
    let pair = Pair::new().await;
    let job = pair.submit();
    sleep(Duration::from_millis(200)).await;
    assert_eq!(pair.runs.starts(), 1);
    pair.slow_down(Duration::from_millis(1_400)).await;
    drop(job);
    let left_at = Instant::now();
    sleep(Duration::from_secs(5)).await;
    let stopped_at = pair.runs.stopped.lock().unwrap()[0];
    assert!(stopped_at < left_at + RESUBMIT_AFTER, "{:?}", stopped_at.duration_since(left_at));
}

/// Guards against a run that goes on for too long after the death of its home: its owner is suspended for less time than
/// leases last, which its steady clock does not count, and finds the time stamps of its peers newer than they are.
#[tokio::test(start_paused = true)]
async fn a_suspension_counts_towards_the_time_since_a_home_was_alive() {
    let pair = Pair::new().await;
    let _job = pair.submit();
    sleep(Duration::from_millis(200)).await;
    assert_eq!(pair.runs.starts(), 1);
    let suspended = Duration::from_millis(500);
    pair.path.kill_sender();
    pair.owner_clock.suspend(suspended);
    let resumed_at = Instant::now();
    sleep(Duration::from_secs(5)).await;
    let since_death = pair.runs.stopped.lock().unwrap()[0].duration_since(resumed_at) + suspended;
    assert!(since_death <= LIVENESS_TIMEOUT + Duration::from_millis(20), "{since_death:?}");
}
