//! Time stamps that both sides of a link exchange, and when the peer counts as alive.

#![allow(clippy::unwrap_used, reason = "tests")]

use std::time::Duration;

use hinge_mesh::{Liveness, Message, Timestamps};
use hinge_runs::LIVENESS_TIMEOUT;
use tokio::time::Instant;

const fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// Time stamps of the peer that return `echo_ms`.
const fn echo(echo_ms: u64) -> Timestamps {
    Timestamps { echo_ms, idle: false, reply: false, value_ms: 7 }
}

struct Side {
    epoch: Instant,
    liveness: Liveness,
}

impl Side {
    fn new(has_timestamps: bool) -> Self {
        let epoch = Instant::now();
        Self { epoch, liveness: Liveness::new(epoch, epoch, has_timestamps) }
    }

    /// Whether the sending side must know of the time stamps.
    fn receive(&mut self, at_ms: u64, timestamps: Timestamps) -> bool {
        let message = Message::Timestamps(timestamps);
        self.liveness.record_arrival(self.epoch + ms(at_ms), &message).unwrap()
    }

    fn alive_until_ms(&self) -> u128 {
        self.liveness.alive_until().duration_since(self.epoch).as_millis()
    }
}

/// Guards against a late message that counts as sent when it arrives.
#[test]
fn a_message_counts_as_sent_when_its_sender_had_the_returned_time_stamp() {
    let mut side = Side::new(true);
    let sent = side.liveness.timestamps(side.epoch + ms(100), 0);
    side.liveness.record_arrival(side.epoch + ms(500), &Message::ConfigRequest).unwrap();
    assert_eq!(side.liveness.sent_after(), side.epoch);
    side.receive(550, echo(sent.value_ms));
    assert_eq!(side.liveness.sent_after(), side.epoch + ms(100));
    assert_eq!(side.liveness.peer_ms(), 7);
}

/// Guards against a link that is kept up by what a dead peer has sent before.
#[test]
fn arrivals_without_newer_time_stamps_do_not_prolong_a_link() {
    let mut side = Side::new(true);
    side.receive(200, echo(100));
    for at_ms in [300, 400, 500, 600] {
        side.receive(at_ms, echo(100));
        side.liveness.record_arrival(side.epoch + ms(at_ms), &Message::Cancel(vec![1])).unwrap();
    }
    assert_eq!(side.alive_until_ms(), 100 + LIVENESS_TIMEOUT.as_millis());
}

/// Guards against time stamps that go back when messages of two connections cross.
#[test]
fn an_older_time_stamp_changes_nothing() {
    let mut side = Side::new(true);
    for echo_ms in [300, 200] {
        side.receive(400, echo(echo_ms));
    }
    assert_eq!(side.liveness.sent_after(), side.epoch + ms(300));
}

/// Guards against a peer that seems alive for ever because it returns a time stamp from the future.
#[test]
fn a_time_stamp_that_was_not_sent_yet_is_rejected() {
    let mut side = Side::new(true);
    for echo_ms in [1_001, u64::MAX] {
        let message = Message::Timestamps(echo(echo_ms));
        assert!(side.liveness.record_arrival(side.epoch + ms(1_000), &message).is_err());
    }
    assert_eq!(side.liveness.sent_after(), side.epoch);
}

/// Guards against links to processes of older versions, which send no time stamps, that count as dead.
#[test]
fn without_time_stamps_a_message_counts_as_sent_when_it_arrives() {
    let mut side = Side::new(false);
    side.liveness.record_arrival(side.epoch + ms(400), &Message::Heartbeat).unwrap();
    assert_eq!(side.liveness.sent_after(), side.epoch + ms(400));
    assert_eq!(side.alive_until_ms(), 900);
    side.liveness.record_arrival(side.epoch + ms(800), &Message::Idle).unwrap();
    assert!(side.alive_until_ms() > 2_800);
}

/// Guards against an idle link that is lost, or that is kept for as long as an idle one once it is used again.
#[test]
fn an_idle_link_has_a_longer_timeout_until_it_is_used() {
    let mut side = Side::new(true);
    side.receive(2_100, Timestamps { idle: true, ..echo(2_000) });
    assert!(side.alive_until_ms() > 4_000);
    assert!(side.liveness.record_sending(side.epoch + ms(4_000)), "time stamps must be exchanged first");
    assert_eq!(side.alive_until_ms(), 4_000 + LIVENESS_TIMEOUT.as_millis());
    // A heartbeat that was on its way when the peer was asked.
    assert!(!side.receive(4_001, Timestamps { idle: true, ..echo(3_000) }));
    assert!(side.liveness.is_waking());
    assert!(side.receive(4_010, echo(4_000)));
    assert!(!side.liveness.record_sending(side.epoch + ms(4_020)));
}

/// Guards against a link that one side gives up because it is itself idle and sends time stamps rarely.
#[test]
fn a_side_that_is_idle_itself_accepts_older_time_stamps() {
    let mut side = Side::new(true);
    side.receive(1_900, echo(1_800));
    assert!(side.liveness.heartbeat(side.epoch + ms(2_000), true).idle);
    assert!(side.alive_until_ms() > 4_000);
    assert!(side.receive(2_700, Timestamps { reply: true, ..echo(2_000) }));
    assert_eq!(side.alive_until_ms(), 2_700 + LIVENESS_TIMEOUT.as_millis());
    assert!(!side.liveness.heartbeat(side.epoch + ms(2_710), true).idle);
}

/// Guards against a link that is lost because a side that is idle goes on to send time stamps rarely: a message has arrived
/// that the peer sent before it knew.
#[test]
fn a_message_on_a_link_that_is_idle_for_this_side_calls_for_time_stamps() {
    let mut side = Side::new(true);
    side.receive(1_900, echo(1_800));
    assert!(side.liveness.heartbeat(side.epoch + ms(2_000), true).idle);
    let arrived_at = side.epoch + ms(2_001);
    assert!(side.liveness.record_arrival(arrived_at, &Message::Cancel(vec![1])).unwrap());
    assert!(!side.liveness.record_arrival(arrived_at, &Message::Cancel(vec![2])).unwrap());
}
