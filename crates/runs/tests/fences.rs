//! Order, wire form and limit of fencing tokens.

#![allow(clippy::unwrap_used, reason = "tests")]

mod support;

use std::time::Duration;

use hinge_runs::{Action, Event, Fence, HoldReply, Holder, Rejection};
use hinge_wire::{from_json, from_msgpack, to_json, to_msgpack};
use proptest::prelude::*;
use support::{Owner, first_hold, first_start, own, token};

/// Unix time of the tests, in milliseconds.
const UNIX_MS: u64 = 1_790_000_000_000;
/// Last Unix time whose tokens are below 2^53: the year 2109.
const LAST_UNIX_MS: u64 = (1 << 37) * 32 - 1;

/// The token of an earlier version: Unix milliseconds with ten random bits.
fn earlier(unix_ms: u64, random_bits: u64) -> Fence {
    Fence::from((unix_ms << 10) | random_bits)
}

fn holder(number: u16) -> Holder {
    Holder::new(number).unwrap()
}

proptest! {
    /// Guards against tokens of two holders that are equal, however often each is raised.
    #[test]
    fn tokens_of_different_holders_differ(
        numbers in prop::array::uniform2(1..=Holder::MAX),
        times_ms in prop::array::uniform2(0..LAST_UNIX_MS),
        steps in prop::array::uniform2(any::<u64>()),
    ) {
        prop_assume!(numbers[0] != numbers[1]);
        let [first, second] = [0, 1].map(|index| Fence::at(times_ms[index], holder(numbers[index])));
        prop_assert_ne!(first.raised(steps[0]), second.raised(steps[1]));
        prop_assert_ne!(first.raised_above(second, steps[0]), second.raised_above(first, steps[1]));
    }

    /// Guards against an upstream that compares tokens in another way than the entries, since it compares integers.
    #[test]
    fn tokens_are_ordered_as_their_integers(first in any::<u64>(), second in any::<u64>()) {
        prop_assert_eq!(Fence::from(first).cmp(&Fence::from(second)), first.cmp(&second));
        prop_assert_eq!(u64::from(Fence::from(first)), first);
    }

    /// Guards against a token that JSON parsers round.
    #[test]
    fn tokens_are_below_2_to_the_53(unix_ms in 0..=LAST_UNIX_MS, number in 1..=Holder::MAX) {
        prop_assert!(u64::from(Fence::at(unix_ms, holder(number))) < 1 << 53);
    }

    /// Guards against a takeover from an entry of an earlier version with a token that its upstream rejects.
    #[test]
    fn raised_tokens_exceed_those_of_earlier_versions(
        number in 1..=Holder::MAX,
        random_bits in 0..1_u64 << 10,
        ahead_ms in 0..1_000_000_u64,
    ) {
        let known = earlier(UNIX_MS + ahead_ms, random_bits);
        prop_assert!(Fence::at(UNIX_MS, holder(number)).raised_above(known, 1) > known);
        prop_assert!(Fence::at(UNIX_MS + ahead_ms + 32, holder(number)) > known);
    }
}

/// Guards against a link or an order that breaks because a token is not the plain integer of earlier versions.
#[test]
fn a_token_is_a_plain_integer_on_the_wire() {
    let fence = Fence::at(UNIX_MS, holder(7));
    let packed = u64::from(fence);
    assert_eq!(to_json(&fence).unwrap(), packed.to_string().as_bytes());
    assert_eq!(to_msgpack(&fence).unwrap(), to_msgpack(&packed).unwrap());
    assert_eq!(from_json::<Fence>(packed.to_string().as_bytes()).unwrap(), fence);
    assert_eq!(from_msgpack::<Fence>(&to_msgpack(&packed).unwrap()).unwrap(), fence);
}

/// Guards against a number outside the bits of the holder, which would change the counter.
#[test]
fn only_numbers_within_their_bits_are_holders() {
    assert_eq!([0, Holder::MAX + 1, u16::MAX].map(Holder::new), [None; 3]);
    assert_eq!(holder(Holder::MAX).number(), Holder::MAX);
}

/// Guards against a time that is rounded down, so that a token is raised by less.
#[test]
fn steps_are_rounded_up() {
    assert_eq!([0, 1, 32, 33].map(|ms| Fence::steps(Duration::from_millis(ms))), [0, 1, 1, 2]);
}

/// Guards against a counter that runs so far ahead of the clock that the next holder of the number repeats its tokens: an
/// upstream that has seen a higher token than this entry may issue is not taken over.
#[test]
fn no_order_carries_a_token_above_the_limit() {
    let mut owner = Owner::new();
    owner.handle(Event::Release("up-1".into()));
    let limit = token(10).raised(100);
    owner.upstream.fence = limit.raised(1);
    for _ in 0..50 {
        owner.handle(Event::Own { fence: token(10), limit, upstream: "up-1".into() });
        for action in owner.actions() {
            if let Action::Hold(hold) = action {
                assert!(hold.fence <= limit, "{hold:?}");
                owner.handle(Event::HoldEnded { hold, reply: HoldReply::Rejected(Rejection::Fenced) });
            }
        }
    }
    assert_eq!(owner.runner.owned().count(), 0);
    let later = limit.raised(1_000_000);
    owner.handle(Event::Own { fence: token(10), limit: later, upstream: "up-1".into() });
    owner.answer_all();
    assert_eq!(owner.runner.owned().count(), 1, "the clock has caught up");
}

/// Guards against orders under a number that this process has given up: what it still owns under that number is taken over
/// anew under the next one.
#[test]
fn a_new_holder_number_takes_owned_upstreams_over_anew() {
    let (mut owner, _) = Owner::with_run();
    owner.handle(own(token(10), "up-1"));
    owner.handle(Event::Release("up-1".into()));
    owner.handle(own(token(11), "up-1"));
    owner.answer_all();
    let probe = Event::Cancelled { assignment: 1, home: support::HOME };
    owner.handle(probe);
    let stops: Vec<_> = owner
        .actions()
        .into_iter()
        .filter_map(|action| match action {
            Action::Stop(stop) => Some(stop.fence),
            _ => None,
        })
        .collect();
    assert!(stops.iter().all(|fence| fence.has_same_holder(token(11))), "{stops:?}");
    assert!(!stops.is_empty());
}

/// Guards against a task that runs twice because a change of the number, without any fault of the upstream, ends or repeats its
/// run.
#[test]
fn a_new_holder_number_keeps_the_runs() {
    let (mut owner, actions) = Owner::with_run();
    let waiting = first_hold(&actions);
    owner.actions();
    owner.handle(own(token(11), "up-1"));
    let actions = owner.actions();
    assert!(
        !actions.iter().any(|action| matches!(action, Action::Start(_) | Action::Stop(_))),
        "{actions:?}"
    );
    owner.handle(Event::HoldEnded { hold: waiting, reply: HoldReply::Rejected(Rejection::Fenced) });
    for action in actions {
        owner.answer(action);
    }
    owner.answer_all();
    assert_eq!(owner.outcomes(1), []);
    assert_eq!(owner.upstream.running.len(), 1);
    owner.assign(2, "job.1");
    assert!(first_start(&owner.actions()).fence.has_same_holder(token(11)));
}
