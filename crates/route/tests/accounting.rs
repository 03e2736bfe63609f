//! Comparison of a router's slot counts with a naive model, over random operations.

#![allow(clippy::expect_used, reason = "a failed expectation fails the test")]

mod common;

use std::time::Duration;

use common::{EXPECTED, SLOTS, entries, fleet, id, ms, pick_with, rack, request, router, service};
use hinge_conf::Policy;
use hinge_route::{EndKind, HealthState, Router, Slot};
use hinge_wire::{ListEntry, ListState, LoanReply, LoanReturn, LoanSlots};
use proptest::collection::vec;
use proptest::prelude::{Strategy, any, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::{Config, RngSeed, TestCaseError};
use tokio::time::Instant;

const COUNT: usize = 6;

/// Longest backoff after a busy refusal: 20 ms, doubled three times.
const MAX_BUSY_BACKOFF: Duration = Duration::from_millis(160);

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Borrow {
        duration: u64,
        slots: u32,
        upstream: usize,
    },
    /// Ends a task after `run` ms; `twice` repeats the call.
    End {
        kind: usize,
        run: u64,
        task: usize,
        twice: bool,
    },
    /// Whether the two peers and this entry are live.
    Entries([bool; 2], bool),
    Idle,
    Lend(u32),
    /// State of each upstream: 4 is leaving, 5 not listed, all others live.
    List([u8; COUNT]),
    Pick {
        avoid: usize,
        idempotent: bool,
    },
    Return {
        loan: usize,
        slots: u32,
        upstream: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    proptest::prop_oneof![
        4 => (0u64..700).prop_map(Step::Advance),
        1 => (0u64..20_000).prop_map(Step::Advance),
        2 => (1u64..2_000, 0u32..7, 0..COUNT)
            .prop_map(|(duration, slots, upstream)| Step::Borrow { duration, slots, upstream }),
        12 => (0usize..24, 0u64..150, any::<usize>(), any::<bool>())
            .prop_map(|(kind, run, task, twice)| Step::End { kind, run, task, twice }),
        1 => any::<([bool; 2], bool)>().prop_map(|(peers, own)| Step::Entries(peers, own)),
        1 => proptest::strategy::Just(Step::Idle),
        2 => (0u32..9).prop_map(Step::Lend),
        1 => proptest::array::uniform(0u8..6).prop_map(Step::List),
        16 => (0..COUNT, any::<bool>()).prop_map(|(avoid, idempotent)| Step::Pick { avoid, idempotent }),
        2 => (any::<usize>(), 0u32..4, 0..COUNT)
            .prop_map(|(loan, slots, upstream)| Step::Return { loan, slots, upstream }),
    ]
}

/// Default of `loan_hold_ms`, the time that a lender waits after the end of a loan for slots to be returned.
const LOAN_HOLD: Duration = Duration::from_millis(2_000);

/// Maps a random number below 24 to a result; mostly successes, so that not all upstreams are ejected.
fn kind(number: usize) -> EndKind {
    match number {
        0..=3 => EndKind::Failed,
        4 => EndKind::NotSent,
        5 => EndKind::Lost,
        6 => EndKind::TimedOut,
        7 => EndKind::Stopped,
        8 | 9 => EndKind::Busy,
        10 => EndKind::Leaving,
        _ => EndKind::Done,
    }
}

/// The model of one upstream.
#[derive(Default)]
struct Counts {
    busy_until: Option<Instant>,
    held: Vec<Instant>,
    /// Loan id, number of slots and expiry, hold time included.
    lent: Vec<(u64, u32, Instant)>,
    /// Expiry and number of slots of each loan from a peer.
    borrowed: Vec<(Instant, u32)>,
    led: bool,
    running: u32,
}

/// A router and its model.
struct CheckedRouter {
    borrowed: u64,
    counts: [Counts; COUNT],
    loans: Vec<u64>,
    now: Instant,
    router: Router,
    tasks: Vec<Slot>,
}

fn number(upstream: &str) -> usize {
    (0..COUNT).find(|number| *id(*number) == *upstream).expect("a known upstream")
}

impl CheckedRouter {
    fn new() -> Self {
        let now = Instant::now();
        let router = router(now, "a", &["a", "b"], COUNT, &Policy::default());
        let mut checked = Self {
            borrowed: 0,
            counts: Default::default(),
            loans: Vec::new(),
            now,
            router,
            tasks: Vec::new(),
        };
        checked.update_leaders();
        checked
    }

    fn update_leaders(&mut self) {
        for info in self.router.describe() {
            self.counts[number(&info.id)].led = info.leader == "a";
        }
    }

    /// Removes expired holds, loans and backoffs from the model.
    fn expire(&mut self) {
        let now = self.now;
        for counts in &mut self.counts {
            counts.held.retain(|until| *until > now);
            counts.lent.retain(|(.., expires_at)| *expires_at > now);
            counts.borrowed.retain(|(expires_at, _)| *expires_at > now);
            counts.busy_until = counts.busy_until.filter(|until| *until > now);
        }
    }

    fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Advance(time) => self.now += ms(time),
            Step::Borrow { duration, slots, upstream } => self.borrow(duration, slots, upstream),
            Step::End { kind: which, run, task, twice } => self.end(kind(which), run, task, twice),
            Step::Entries(peers, own) => {
                let live = [("a", own), ("b", peers[0]), ("c", peers[1])];
                let live: Vec<_> = live.iter().filter(|(_, live)| *live).map(|(name, _)| *name).collect();
                self.router.set_entries(&entries(&live));
                self.update_leaders();
            }
            Step::Idle => drop(self.router.return_idle_slots(self.now)),
            Step::Lend(slots) => self.lend(slots)?,
            Step::List(states) => {
                let listed = fleet(COUNT).into_iter().zip(states).filter(|(_, state)| *state != 5);
                let state = |state| if state == 4 { ListState::Leaving } else { ListState::Live };
                let list: Vec<_> =
                    listed.map(|(entry, code)| ListEntry { state: state(code), ..entry }).collect();
                self.router.set_upstreams(self.now, &list);
                self.update_leaders();
            }
            Step::Pick { avoid, idempotent } => self.pick(avoid, idempotent)?,
            Step::Return { loan, slots, upstream } => self.return_slots(loan, slots, upstream),
        }
        self.expire();
        self.router.tick(self.now, &mut Vec::new());
        self.check()
    }

    fn borrow(&mut self, duration: u64, slots: u32, upstream: usize) {
        self.borrowed += 1;
        let part = LoanSlots { slots, upstream: id(upstream).to_string() };
        let reply = LoanReply { duration_ms: duration, loan: self.borrowed, slots: vec![part] };
        let known = self.router.upstream(&id(upstream)).is_some();
        self.router.add_loan(self.now, &"b".into(), 1, &reply);
        if known {
            self.counts[upstream].borrowed.push((self.now + ms(duration), slots));
        }
    }

    fn end(&mut self, kind: EndKind, run: u64, task: usize, twice: bool) {
        if self.tasks.is_empty() {
            return;
        }
        let task = task % self.tasks.len();
        let slot = self.tasks.swap_remove(task);
        for _ in 0..=u8::from(twice) {
            self.router.finish_task(self.now, &slot, kind, ms(run), EXPECTED);
        }
        let counts = &mut self.counts[number(&slot.upstream)];
        counts.running -= 1;
        match kind {
            EndKind::Failed | EndKind::Lost | EndKind::NotSent | EndKind::TimedOut => {
                counts.held.push(self.now + EXPECTED.saturating_sub(ms(run)));
            }
            EndKind::Busy => counts.busy_until = Some(self.now + MAX_BUSY_BACKOFF),
            EndKind::Done | EndKind::Leaving | EndKind::Stopped => {}
        }
    }

    fn lend(&mut self, slots: u32) -> Result<(), TestCaseError> {
        let reply = self.router.lend(self.now, &request("b", slots));
        self.loans.push(reply.loan);
        let expires_at = self.now + ms(reply.duration_ms) + LOAN_HOLD;
        for part in reply.slots {
            let number = number(&part.upstream);
            prop_assert_eq!(self.router.health(&id(number)), Some(HealthState::Healthy));
            prop_assert!(self.counts[number].led);
            self.counts[number].lent.push((reply.loan, part.slots, expires_at));
        }
        Ok(())
    }

    fn return_slots(&mut self, loan: usize, slots: u32, upstream: usize) {
        let Some(loan) = self.loans.get(loan % self.loans.len().max(1)).copied() else { return };
        let part = LoanSlots { slots, upstream: id(upstream).to_string() };
        let message = LoanReturn { borrower: "b".into(), loan, slots: vec![part], target_incarnation: 1 };
        self.router.accept_return(self.now, &message);
        for (other, lent, _) in &mut self.counts[upstream].lent {
            if *other == loan {
                *lent = lent.saturating_sub(slots);
            }
        }
    }

    fn pick(&mut self, avoid: usize, idempotent: bool) -> Result<(), TestCaseError> {
        let free = self.router.free_slots(self.now, &service());
        let Some(slot) = pick_with(&mut self.router, self.now, idempotent, &[rack(avoid / 4)], &[id(avoid)])
        else {
            prop_assert_eq!(free, 0);
            return Ok(());
        };
        prop_assert!(free > 0);
        let counts = &mut self.counts[number(&slot.upstream)];
        let used = counts.running + counts.held.len() as u32;
        match self.router.health(&slot.upstream) {
            Some(HealthState::Healthy) => {}
            Some(HealthState::Probation) => prop_assert_eq!(used, 0),
            other => prop_assert!(false, "picked {:?}", other),
        }
        prop_assert!(slot.is_borrowed() || counts.led);
        prop_assert!(
            !slot.is_borrowed() || counts.borrowed.iter().any(|(expires_at, _)| *expires_at > self.now)
        );
        counts.running += 1;
        self.tasks.push(slot);
        Ok(())
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let (mut least, mut most) = (0, 0);
        for info in self.router.describe() {
            let number = number(&info.id);
            let counts = &self.counts[number];
            let lent: u32 = counts.lent.iter().map(|(_, slots, _)| slots).sum();
            let own = counts.running + counts.held.len() as u32;
            prop_assert_eq!(info.in_use, own + lent, "{}", info.id);
            let borrowed: u32 = counts.borrowed.iter().map(|(_, slots)| slots).sum();
            let led = if counts.led { SLOTS.saturating_sub(own + lent) } else { 0 };
            let exact = counts.busy_until.is_none() && borrowed == 0;
            match self.router.health(&id(number)) {
                Some(HealthState::Healthy) => {
                    least += if exact { led } else { 0 };
                    most += led + borrowed;
                }
                Some(HealthState::Probation) if own == 0 => {
                    least += if exact { led.min(1) } else { 0 };
                    most += (led + borrowed).min(1);
                }
                _ => {}
            }
            prop_assert!(own + lent <= SLOTS, "{own} in use and {lent} lent");
        }
        let free = self.router.free_slots(self.now, &service());
        prop_assert!((least..=most).contains(&free), "{free} free, expected {least} to {most}");
        Ok(())
    }

    /// Ends all tasks and loans and checks that all slots are free again.
    fn drain(mut self) -> Result<(), TestCaseError> {
        for slot in std::mem::take(&mut self.tasks) {
            self.router.finish_task(self.now, &slot, EndKind::Stopped, ms(1), EXPECTED);
        }
        self.now += ms(120_000);
        self.router.set_entries(&entries(&["a"]));
        self.router.set_upstreams(self.now, &[]);
        prop_assert!(self.router.describe().is_empty(), "nothing is kept of upstreams that are gone");
        self.router.set_upstreams(self.now, &fleet(COUNT));
        let all = SLOTS * COUNT as u32;
        prop_assert_eq!(self.router.free_slots(self.now, &service()), all);
        prop_assert_eq!(self.router.capacity(self.now, &service()), all);
        Ok(())
    }
}

proptest! {
    #![proptest_config(Config { cases: 512, failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..Config::default() })]

    /// Guards against slot counts that drift from the slots in use, slots that are taken twice or lost, and
    /// picks on expired loans or on ejected, leaving or unlisted upstreams.
    #[test]
    fn slot_counts_match_naive_model(steps in vec(step(), 1..200)) {
        let mut checked = CheckedRouter::new();
        for step in steps {
            checked.apply(step)?;
        }
        checked.drain()?;
    }
}
