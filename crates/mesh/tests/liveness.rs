//! Time stamps that both sides of a link exchange.

#![allow(clippy::unwrap_used, reason = "tests")]

use std::time::Duration;

use hinge_mesh::{Liveness, Timestamps};
use tokio::time::Instant;

const fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// Guards against a late message that counts as sent when it arrives.
#[test]
fn a_message_counts_as_sent_when_its_sender_had_the_returned_time_stamp() {
    let epoch = Instant::now();
    let mut liveness = Liveness::new(epoch, true);
    let sent = liveness.timestamps(epoch + ms(100), 0);
    liveness.record_arrival(epoch + ms(900));
    assert_eq!(liveness.sent_after(), epoch);
    let returned = Timestamps { echo_ms: sent.value_ms, value_ms: 5 };
    liveness.record_timestamps(epoch + ms(1_700), returned).unwrap();
    assert_eq!(liveness.sent_after(), epoch + ms(100));
    assert_eq!(liveness.peer_ms(), 5);
}

/// Guards against time stamps that go back when messages of two connections cross.
#[test]
fn an_older_time_stamp_changes_nothing() {
    let epoch = Instant::now();
    let mut liveness = Liveness::new(epoch, true);
    for echo_ms in [300, 200] {
        let returned = Timestamps { echo_ms, value_ms: echo_ms };
        liveness.record_timestamps(epoch + ms(400), returned).unwrap();
    }
    assert_eq!(liveness.sent_after(), epoch + ms(300));
    assert_eq!(liveness.peer_ms(), 300);
}

/// Guards against a peer that seems alive for ever because it returns a time stamp from the future.
#[test]
fn a_time_stamp_that_was_not_sent_yet_is_rejected() {
    let epoch = Instant::now();
    let mut liveness = Liveness::new(epoch, true);
    for echo_ms in [1_001, u64::MAX] {
        let returned = Timestamps { echo_ms, value_ms: 0 };
        assert!(liveness.record_timestamps(epoch + ms(1_000), returned).is_err());
    }
    assert_eq!(liveness.sent_after(), epoch);
}

/// Guards against links to processes of older versions, which send no time stamps, that count as dead.
#[test]
fn without_time_stamps_a_message_counts_as_sent_when_it_arrives() {
    let epoch = Instant::now();
    let mut liveness = Liveness::new(epoch, false);
    liveness.record_arrival(epoch + ms(900));
    assert_eq!(liveness.sent_after(), epoch + ms(900));
}
