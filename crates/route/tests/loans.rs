//! Loans of slots between two entries.

#![allow(clippy::expect_used, reason = "a failed expectation fails the test")]

mod common;

use common::{EXPECTED, SLOTS, end, id, ms, pick, request, router, service, sole_leader};
use hinge_conf::Policy;
use hinge_route::{EndKind, Router, Slot};
use hinge_wire::{FastMap, LoanReply, LoanReturn, LoanSlots};
use proptest::collection::vec;
use proptest::prelude::{Strategy, any, prop_assert, proptest};
use proptest::test_runner::{Config, RngSeed, TestCaseError};
use tokio::time::Instant;

fn loan_return(loan: u64, slots: u32) -> LoanReturn {
    let slots = vec![LoanSlots { slots, upstream: id(0).to_string() }];
    LoanReturn { borrower: "b".into(), loan, slots, target_incarnation: 1 }
}

/// Router of an entry that leads no upstreams.
fn borrower(now: Instant, count: usize) -> Router {
    router(now, "b", &["a"], count, &Policy::default())
}

/// Guards against a slot that two entries use at once, and against one that is lost when a loan ends: the
/// lender frees it on its return, or at the latest after the hold time.
#[test]
fn lent_slots_are_freed_once_by_return_or_expiry() {
    let now = Instant::now();
    let mut lender = sole_leader(now, 1);
    let free = |lender: &Router, now| lender.free_slots(now, &service());
    let reply = lender.lend(now, &request("b", 2));
    assert_eq!((free(&lender, now), lender.capacity(now, &service())), (SLOTS - 2, SLOTS - 2));
    lender.accept_return(now, &loan_return(reply.loan + 1, 1));
    lender.accept_return(now, &LoanReturn { borrower: "c".into(), ..loan_return(reply.loan, 1) });
    assert_eq!(free(&lender, now), SLOTS - 2, "unknown loan, other borrower");
    lender.accept_return(now, &loan_return(reply.loan, 1));
    assert_eq!(free(&lender, now), SLOTS - 1);
    let held = now + ms(2_499);
    assert_eq!(free(&lender, held), SLOTS - 1, "held for a task that may still run");
    let expired = now + ms(2_500);
    lender.accept_return(expired, &loan_return(reply.loan, 1));
    assert_eq!(free(&lender, expired), SLOTS, "expired, and the late return is ignored");
    let reply = lender.lend(expired, &request("b", 1));
    lender.accept_return(expired, &loan_return(reply.loan, 7));
    assert_eq!(free(&lender, expired), SLOTS, "more returned than lent");
}

/// Guards against a lender that lends all its slots, so that its own urgent tasks wait.
#[test]
fn lending_keeps_reserve_and_limits() {
    let now = Instant::now();
    let policy = Policy { max_loan_slots: 10, reserve_percent: 25, ..Policy::default() };
    let mut lender = router(now, "a", &["a"], 4, &policy);
    let lent = |reply: LoanReply| reply.slots.iter().map(|slots| slots.slots).sum::<u32>();
    assert_eq!(lent(lender.lend(now, &request("b", 100))), 10);
    assert_eq!(lent(lender.lend(now, &request("b", 100))), 2);
    assert_eq!(lent(lender.lend(now, &request("b", 100))), 0);
    assert_eq!(lender.free_slots(now, &service()), 4);
    lender.set_policy(&Policy { loans_enabled: false, ..Policy::default() });
    assert_eq!(lent(lender.lend(now, &request("b", 1))), 0);
}

/// Guards against starts on slots whose loan expired while the borrower was paused, either before it read the
/// reply or while it held the loan.
#[test]
fn paused_borrower_does_not_use_expired_loans() {
    let now = Instant::now();
    let (mut lender, mut paused) = (sole_leader(now, 1), borrower(now, 1));
    let expired = now + ms(500);
    let reply = lender.lend(now, &request("b", 2));
    paused.add_loan_since(expired, now, &"a".into(), 1, &reply);
    assert!(pick(&mut paused, expired).is_none(), "the reply was read late");

    let mut paused = borrower(now, 1);
    paused.add_loan(now, &"a".into(), 1, &reply);
    paused.add_loan(now, &"a".into(), 1, &reply);
    assert_eq!(paused.free_slots(now, &service()), 2, "a repeated reply adds nothing");
    let running = pick(&mut paused, now).unwrap();
    assert!(running.is_borrowed());
    assert_eq!((paused.free_slots(expired, &service()), paused.capacity(expired, &service())), (0, 1));
    assert!(pick(&mut paused, expired).is_none());
    assert_eq!(paused.describe()[0].in_use, 1, "the task still runs");
    paused.add_loan(expired, &"a".into(), 1, &LoanReply { loan: reply.loan + 1, ..reply });
    end(&mut paused, expired, &running, EndKind::Done);
    assert_eq!(paused.free_slots(expired, &service()), 2, "the old task frees no slot of the new loan");
    assert_eq!(paused.describe()[0].in_use, 0);
}

/// Guards against borrowers that keep idle slots from the lender, and against the return of slots in use.
#[test]
fn slots_idle_for_a_quarter_of_the_loan_are_returned() {
    let now = Instant::now();
    let (mut lender, mut borrower) = (sole_leader(now, 1), borrower(now, 1));
    let reply = lender.lend(now, &request("b", 3));
    borrower.add_loan(now, &"a".into(), 9, &reply);
    let running = pick(&mut borrower, now).unwrap();
    assert!(borrower.return_idle_slots(now + ms(124)).is_empty());
    let returns = borrower.return_idle_slots(now + ms(125));
    assert_eq!(returns.len(), 1);
    assert_eq!((&*returns[0].0, returns[0].1.target_incarnation, returns[0].1.slots[0].slots), ("a", 9, 2));
    lender.accept_return(now + ms(125), &returns[0].1);
    assert_eq!(lender.free_slots(now + ms(125), &service()), SLOTS - 1);
    end(&mut borrower, now + ms(300), &running, EndKind::Done);
    assert_eq!(
        borrower.return_free_slots(now + ms(300))[0].1.slots[0].slots,
        1,
        "a draining borrower returns all"
    );
    assert_eq!(borrower.free_slots(now + ms(300), &service()), 0);
}

/// Guards against busy refusals after the end of a loan: the lender must not get a slot back while the
/// borrower's last task still runs on it, and must get it back as soon as that task ends.
#[test]
fn closed_loan_slots_are_returned_as_tasks_end() {
    let now = Instant::now();
    let (mut lender, mut borrower) = (sole_leader(now, 1), borrower(now, 1));
    let reply = lender.lend(now, &request("b", 2));
    borrower.add_loan(now, &"a".into(), 9, &reply);
    let running = [pick(&mut borrower, now).unwrap(), pick(&mut borrower, now).unwrap()];
    let closed = now + ms(600);
    assert!(borrower.return_idle_slots(closed).is_empty(), "both tasks run");
    assert_eq!(lender.free_slots(closed, &service()), SLOTS - 2);
    end(&mut borrower, closed, &running[0], EndKind::Done);
    assert!(pick(&mut borrower, closed).is_none(), "nothing starts on a closed loan");
    let returns = borrower.return_idle_slots(closed);
    assert_eq!(returns[0].1.slots[0].slots, 1);
    lender.accept_return(closed, &returns[0].1);
    assert_eq!(lender.free_slots(closed, &service()), SLOTS - 1);
    let expired = now + ms(2_500);
    lender.tick(expired, &mut Vec::new());
    assert_eq!(lender.free_slots(expired, &service()), SLOTS, "the hold is over");
    end(&mut borrower, expired, &running[1], EndKind::Done);
    assert!(borrower.return_idle_slots(expired).is_empty(), "the loan has expired");
    assert_eq!(borrower.describe()[0].in_use, 0);
}

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    End(usize, usize),
    /// Requests a loan; the reply arrives after `delay` ms, or is lost without one.
    Loan {
        delay: Option<u64>,
        slots: u32,
        to: usize,
    },
    Pick(usize),
    /// Returns idle slots; the messages may be lost.
    Return {
        from: usize,
        lost: bool,
    },
}

fn step() -> impl Strategy<Value = Step> {
    proptest::prop_oneof![
        3 => (0u64..400).prop_map(Step::Advance),
        8 => (0usize..2).prop_map(Step::Pick),
        6 => (0usize..2, any::<usize>()).prop_map(|(side, task)| Step::End(side, task)),
        2 => (proptest::option::weighted(0.8, 0u64..1_500), 0u32..9, 0usize..2)
            .prop_map(|(delay, slots, to)| Step::Loan { delay, slots, to }),
        1 => (0usize..2, any::<bool>()).prop_map(|(from, lost)| Step::Return { from, lost }),
    ]
}

const NAMES: [&str; 2] = ["a", "b"];

/// Two entries that lead a part of the upstreams each, and the messages between them.
struct Pair {
    /// Borrower, upstream and expiry of each loan, by the lender's clock.
    loans: Vec<(usize, String, Instant)>,
    now: Instant,
    /// Arrival, time of the request and borrower of each reply in transit.
    replies: Vec<(Instant, Instant, usize, LoanReply)>,
    routers: [Router; 2],
    /// Running tasks by router; those on borrowed slots with the earliest expiry of a loan that may cover
    /// them.
    running: [Vec<(Slot, Option<Instant>)>; 2],
}

impl Pair {
    fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Advance(time) => self.now += ms(time),
            Step::End(side, task) if !self.running[side].is_empty() => {
                let task = task % self.running[side].len();
                let (slot, _) = self.running[side].swap_remove(task);
                end(&mut self.routers[side], self.now, &slot, EndKind::Done);
            }
            Step::End(..) => {}
            Step::Loan { delay, slots, to } => {
                let reply = self.routers[1 - to].lend(self.now, &request(NAMES[to], slots));
                let expires_at = self.now + ms(500);
                self.loans.extend(reply.slots.iter().map(|lent| (to, lent.upstream.clone(), expires_at)));
                self.replies.extend(delay.map(|delay| (self.now + ms(delay), self.now, to, reply)));
            }
            Step::Pick(side) => {
                if let Some(slot) = pick(&mut self.routers[side], self.now) {
                    let expires_at = slot.is_borrowed().then(|| self.first_expiry(side, &slot));
                    prop_assert!(expires_at != Some(None), "an expired loan was used");
                    self.running[side].push((slot, expires_at.flatten()));
                }
            }
            Step::Return { from, lost } => {
                for (_, message) in self.routers[from].return_idle_slots(self.now) {
                    if !lost {
                        self.routers[1 - from].accept_return(self.now, &message);
                    }
                }
            }
        }
        let (due, rest) = std::mem::take(&mut self.replies).into_iter().partition(|(at, ..)| *at <= self.now);
        self.replies = rest;
        for (_, requested_at, to, reply) in due {
            self.routers[to].add_loan_since(self.now, requested_at, &NAMES[1 - to].into(), 1, &reply);
        }
        self.check()
    }

    /// Earliest expiry of the loans that may cover a borrowed slot; `None` when all have expired.
    fn first_expiry(&self, side: usize, slot: &Slot) -> Option<Instant> {
        let loans = self.loans.iter().filter(|(to, upstream, _)| *to == side && **upstream == *slot.upstream);
        loans.map(|(.., expires_at)| *expires_at).filter(|expires_at| *expires_at > self.now).min()
    }

    /// Checks that no more tasks run at an upstream than it has slots, except for tasks that outlive their
    /// loan and its hold time of 2 s.
    fn check(&self) -> Result<(), TestCaseError> {
        let mut used: FastMap<&str, u32> = FastMap::default();
        for (slot, expires_at) in self.running.iter().flatten() {
            *used.entry(&slot.upstream).or_default() +=
                u32::from(expires_at.is_none_or(|expires_at| self.now < expires_at + ms(2_000)));
        }
        for (upstream, used) in used {
            prop_assert!(used <= SLOTS, "{used} tasks on {upstream}");
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(Config { cases: 256, failure_persistence: None, rng_seed: RngSeed::Fixed(2), ..Config::default() })]

    /// Guards against slots that both entries use within a loan, and against slots that are lost for good
    /// when replies or returns are delayed or lost.
    #[test]
    fn two_entries_never_share_a_slot(steps in vec(step(), 1..150)) {
        let now = Instant::now();
        let routers = NAMES.map(|name| router(now, name, &NAMES, 6, &Policy::default()));
        let mut pair = Pair { loans: Vec::new(), now, replies: Vec::new(), routers, running: Default::default() };
        for step in steps {
            pair.apply(step)?;
        }
        let later = pair.now + ms(10_000);
        for side in 0..2 {
            for (slot, _) in std::mem::take(&mut pair.running[side]) {
                pair.routers[side].finish_task(later, &slot, EndKind::Stopped, EXPECTED, EXPECTED);
            }
            pair.routers[side].tick(later, &mut Vec::new());
            prop_assert!(pair.routers[side].describe().iter().all(|info| info.in_use == 0));
        }
        let free: u32 = pair.routers.iter().map(|router| router.free_slots(later, &service())).sum();
        prop_assert!(free == 6 * SLOTS, "{free} free slots");
    }
}
