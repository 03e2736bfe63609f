//! Fencing tokens of entries that take over the same upstream without knowing of each other.

#![allow(clippy::unwrap_used, reason = "tests")]

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use hinge_mesh::{MeshEvent, Message, OwnedUpstream};
use hinge_node::{ClaimedHolder, Engine, Input, Output};
use hinge_runs::{Fence, Hold, HoldReply, Holder, Listing, Rejection, StartOrder, StartReply, whole_ms};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use support::{claimed, hello, request, upstream};
use tokio::time::Instant;

/// Incarnation of the owner that all entries know and that dies.
const OWNER: u64 = 9;
/// Unix time at the start of the entries, in milliseconds.
const UNIX_MS: u64 = 1_790_000_000_000;
/// Time since the owner has named its token; below the margin that the entries keep from it.
const SINCE_CLAIM: Duration = Duration::from_millis(700);
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;
/// Days after the last renewal from which on a holder does not use its number, and others may claim it.
const LAPSE_DAYS: u64 = 6;
const FREE_DAYS: u64 = 8;

/// A token of an entry of an earlier version: Unix milliseconds with ten random bits.
fn earlier_token(random_bits: u64) -> Fence {
    Fence::from((UNIX_MS << 10) | random_bits)
}

/// An engine without peers that has read its upstream, and has claimed no number.
fn unclaimed(now: Instant, incarnation: u64, started_unix_ms: u64) -> Engine {
    let mut engine = Engine::new(now, hello(incarnation), started_unix_ms, incarnation);
    engine.handle(now, Input::Entries(Vec::new()));
    engine.handle(now, Input::Upstreams(vec![upstream()]));
    engine
}

/// Lets the owner name its token over a link.
fn link_owner(engine: &mut Engine, now: Instant, fence: Fence) {
    engine.handle(now, Input::Mesh(MeshEvent::Up(hello(OWNER))));
    let message = Message::Owned(vec![OwnedUpstream { fence, upstream: upstream().id }]);
    engine.handle(now, Input::Mesh(MeshEvent::Received { message, peer: OWNER, sent_after: now }));
    engine.flush(now);
}

fn owner_dies(engine: &mut Engine, now: Instant) {
    let down =
        MeshEvent::Down { error: "closed".into(), peer: OWNER, sent_after: now, silent: false, since: now };
    engine.handle(now, Input::Mesh(down));
}

/// Tokens of the holds that are sent within a time.
fn tokens_within(engine: &mut Engine, now: &mut Instant, time: Duration) -> Vec<Fence> {
    let until = *now + time;
    while *now < until {
        *now += Duration::from_millis(100);
        engine.handle(*now, Input::Tick);
        engine.flush(*now);
    }
    let holds = engine.drain_outputs().filter_map(|output| match output {
        Output::Hold(hold) => Some(hold.fence),
        _ => None,
    });
    holds.collect()
}

/// The token with which an entry takes over the upstream of the dead owner. The entry is linked with the owner only.
fn token_of_takeover(incarnation: u64) -> Fence {
    let mut now = Instant::now();
    let mut engine = unclaimed(now, incarnation, UNIX_MS);
    engine.handle(now, claimed(now, incarnation));
    link_owner(&mut engine, now, earlier_token(OWNER));
    now += SINCE_CLAIM;
    owner_dies(&mut engine, now);
    let tokens = tokens_within(&mut engine, &mut now, Duration::from_secs(2));
    tokens.first().copied().unwrap_or_default()
}

/// Guards against two owners of one upstream at the same time, which obeys both: entries that know the same token of a dead owner,
/// and not each other, take its upstream over with the same next one.
#[test]
fn entries_that_know_the_same_token_issue_different_ones() {
    let tokens = [1, 2].map(token_of_takeover);
    assert!(tokens.iter().all(|token| *token > earlier_token(OWNER)), "{tokens:?}");
    assert_ne!(tokens[0], tokens[1]);
}

/// Guards against orders without a number of this process, and against a takeover that waits although the number has arrived.
#[test]
fn nothing_is_taken_over_before_the_number_is_claimed() {
    let mut now = Instant::now();
    let mut engine = unclaimed(now, 1, UNIX_MS);
    assert_eq!(tokens_within(&mut engine, &mut now, Duration::from_secs(10)), []);
    now += Duration::from_millis(1);
    engine.handle(now, claimed(now, 1));
    engine.flush(now);
    assert_eq!(engine.owned().count(), 1);
}

/// Guards against orders under a number that another process may have: it was lost, or was not renewed in time and the process,
/// which stood still, has not been told yet.
#[test]
fn upstreams_are_released_when_the_number_lapses() {
    for is_told in [true, false] {
        let mut now = Instant::now();
        let mut engine = unclaimed(now, 1, UNIX_MS);
        let until = now + Duration::from_secs(60);
        let claim = ClaimedHolder { holder: Holder::new(1).unwrap(), until };
        engine.handle(now, Input::Holder(Some(claim)));
        engine.flush(now);
        assert_eq!(engine.owned().count(), 1);
        if is_told {
            engine.handle(now, Input::Holder(None));
        } else {
            now = until;
        }
        tokens_within(&mut engine, &mut now, Duration::from_secs(1));
        assert_eq!(engine.owned().count(), 0, "told: {is_told}");
    }
}

/// What happens to one process.
#[derive(Clone, Debug)]
enum Step {
    /// All holds in flight are answered.
    Answered(HoldReply),
    /// No call in flight is answered.
    Lost,
    /// An owner that has named one of the last tokens that any process has issued dies.
    OwnerDies(Index),
    Renewed,
    /// A new process starts, whose clock is ahead of the true time or behind it.
    Restarted {
        ahead_ms: i64,
    },
    Submitted,
}

fn step() -> impl Strategy<Value = Step> {
    let listed = HoldReply::Listed(Listing { clock_ms: 1_000, ..Listing::default() });
    let days = (-20..20_i64).prop_map(|days| days * DAY_MS.cast_signed());
    let ahead_ms = prop_oneof![3 => -1..=1_i64, 3 => -3_600_000..3_600_000_i64, 2 => days];
    prop_oneof![
        3 => Just(Step::Answered(listed)),
        2 => Just(Step::Answered(HoldReply::Rejected(Rejection::Fenced))),
        3 => Just(Step::Lost),
        3 => any::<Index>().prop_map(Step::OwnerDies),
        1 => Just(Step::Renewed),
        2 => ahead_ms.prop_map(|ahead_ms| Step::Restarted { ahead_ms }),
        1 => Just(Step::Submitted),
    ]
}

/// Times between two events, in milliseconds.
fn time_ms() -> impl Strategy<Value = u64> {
    prop_oneof![8 => 0..50_u64, 4 => 500..4_000_u64, 1 => 0..9 * DAY_MS]
}

/// A process with the calls that it waits for.
struct Process {
    engine: Engine,
    holds: Vec<Hold>,
    id: u64,
    /// Number that the process has claimed; none if all were taken.
    number: Option<u16>,
    starts: Vec<StartOrder>,
    started_at: Instant,
    started_unix_ms: u64,
}

impl Process {
    fn today(&self, now: Instant) -> u64 {
        (self.started_unix_ms + whole_ms(now.duration_since(self.started_at))) / DAY_MS
    }

    fn claim(&mut self, now: Instant) {
        let until_ms = (self.today(now) + LAPSE_DAYS) * DAY_MS - self.started_unix_ms;
        let until = self.started_at + Duration::from_millis(until_ms);
        let holder = self.number.and_then(Holder::new);
        self.engine.handle(now, Input::Holder(holder.map(|holder| ClaimedHolder { holder, until })));
    }
}

/// Processes that do not see each other, and the few numbers that they claim by the rules of `hinge-store`.
struct World {
    base: Instant,
    /// Process that has issued each token.
    issued: BTreeMap<Fence, u64>,
    next_id: u64,
    now: Instant,
    /// Issued tokens in the order of their first use.
    order: Vec<Fence>,
    processes: Vec<Process>,
    /// By number, the day of its last renewal and its holder.
    records: BTreeMap<u16, (u64, u64)>,
}

impl World {
    fn new() -> Self {
        let base = Instant::now();
        let (issued, records, order) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        let mut world = Self { base, issued, next_id: 100, now: base, order, processes: Vec::new(), records };
        world.processes = (0..3).map(|_| world.start(0)).collect();
        world
    }

    /// Starts a process, which claims the first number that is free by its clock.
    fn start(&mut self, ahead_ms: i64) -> Process {
        let (id, now) = (self.next_id, self.now);
        self.next_id += 1;
        let true_ms = UNIX_MS + whole_ms(now.duration_since(self.base));
        let started_unix_ms = true_ms.checked_add_signed(ahead_ms).unwrap();
        let today = started_unix_ms / DAY_MS;
        let is_free = |number: &u16| self.records.get(number).is_none_or(|(day, _)| today >= day + FREE_DAYS);
        let number = (1..=4).find(is_free);
        self.records.extend(number.map(|number| (number, (today, id))));
        let engine = unclaimed(now, id, started_unix_ms);
        let (holds, starts) = (Vec::new(), Vec::new());
        let mut process = Process { engine, holds, id, number, starts, started_at: now, started_unix_ms };
        process.claim(now);
        process
    }

    fn apply(&mut self, index: usize, step: Step) {
        let now = self.now;
        let process = &mut self.processes[index];
        let engine = &mut process.engine;
        match step {
            Step::Answered(reply) => {
                for hold in std::mem::take(&mut process.holds) {
                    engine.handle(now, Input::HoldEnded { hold, reply: reply.clone() });
                }
            }
            Step::Lost => {
                for start in std::mem::take(&mut process.starts) {
                    engine.handle(now, Input::StartEnded { reply: StartReply::Lost, start });
                }
                for hold in std::mem::take(&mut process.holds) {
                    engine.handle(now, Input::HoldEnded { hold, reply: HoldReply::Lost });
                }
            }
            Step::OwnerDies(token) => {
                let recent: Vec<_> = self.order.iter().rev().take(3).collect();
                if !recent.is_empty() {
                    link_owner(engine, now, **token.get(&recent));
                    owner_dies(engine, now);
                }
            }
            Step::Renewed => {
                let today = process.today(now);
                let record = process.number.and_then(|number| self.records.get_mut(&number));
                if let Some((day, id)) = record
                    && *id == process.id
                    && today < *day + LAPSE_DAYS
                {
                    *day = today;
                    process.claim(now);
                }
            }
            Step::Restarted { ahead_ms } => self.processes[index] = self.start(ahead_ms),
            Step::Submitted => {
                let (request, submission) = (Box::new(request(SINCE_CLAIM, 1)), self.next_id);
                self.next_id += 1;
                engine.handle(now, Input::Submit { request, submission });
            }
        }
    }

    /// Lets all processes act, and fails if two of them have issued the same token.
    fn collect_tokens(&mut self) -> Result<(), TestCaseError> {
        for process in &mut self.processes {
            process.engine.handle(self.now, Input::Tick);
            process.engine.flush(self.now);
            for output in process.engine.drain_outputs() {
                let fence = match output {
                    Output::Hold(hold) => {
                        let fence = hold.fence;
                        process.holds.push(hold);
                        fence
                    }
                    Output::Start(start) => {
                        let fence = start.fence;
                        process.starts.push(start);
                        fence
                    }
                    Output::Stop(stop) => stop.fence,
                    _ => continue,
                };
                let issuer = *self.issued.entry(fence).or_insert_with(|| {
                    self.order.push(fence);
                    process.id
                });
                prop_assert_eq!(issuer, process.id, "{} was issued twice", fence);
            }
        }
        Ok(())
    }
}

proptest! {
    /// Guards against a token that two processes issue, whatever they know of each other: after takeovers, raised tokens, restarts
    /// within a millisecond, steps of the clock, and numbers that were used before.
    #[test]
    fn no_token_is_issued_by_two_processes(
        events in vec((any::<Index>(), step(), time_ms()), 1..150),
    ) {
        let mut world = World::new();
        for (process, step, time_ms) in events {
            world.apply(process.index(world.processes.len()), step);
            world.collect_tokens()?;
            world.now += Duration::from_millis(time_ms);
            world.collect_tokens()?;
        }
    }
}
