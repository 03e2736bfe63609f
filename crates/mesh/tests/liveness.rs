//! Time stamps that both sides of a link exchange, and when the peer counts as alive.

#![allow(clippy::unwrap_used, reason = "tests")]

use std::time::Duration;

use hinge_mesh::{Liveness, Message, Rest, Timestamps};
use hinge_runs::LIVENESS_TIMEOUT;
use tokio::time::Instant;

const fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// Time stamps of the peer that return `echo_ms`.
const fn echo(echo_ms: u64) -> Timestamps {
    Timestamps { dormant: false, echo_ms, idle: false, reply: false, value_ms: 7 }
}

struct Side {
    epoch: Instant,
    liveness: Liveness,
}

impl Side {
    fn new(has_timestamps: bool) -> Self {
        let epoch = Instant::now();
        let mut liveness = Liveness::new(epoch, epoch, has_timestamps);
        liveness.set_deepest_rest(Rest::Idle);
        Self { epoch, liveness }
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
    assert!(
        side.liveness.record_sending(side.epoch + ms(4_000), false),
        "time stamps must be exchanged first"
    );
    assert_eq!(side.alive_until_ms(), 4_000 + LIVENESS_TIMEOUT.as_millis());
    // A heartbeat that was on its way when the peer was asked.
    assert!(!side.receive(4_001, Timestamps { idle: true, ..echo(3_000) }));
    assert!(side.liveness.is_waking());
    assert!(side.receive(4_010, echo(4_000)));
    assert!(!side.liveness.record_sending(side.epoch + ms(4_020), false));
}

/// Guards against a link that one side gives up because it is itself idle and sends time stamps rarely.
#[test]
fn a_side_that_is_idle_itself_accepts_older_time_stamps() {
    let mut side = Side::new(true);
    side.receive(1_900, echo(1_800));
    assert!(side.liveness.heartbeat(side.epoch + ms(2_000)).idle);
    assert!(side.alive_until_ms() > 4_000);
    assert!(side.receive(2_700, Timestamps { reply: true, ..echo(2_000) }));
    assert_eq!(side.alive_until_ms(), 2_700 + LIVENESS_TIMEOUT.as_millis());
    assert!(!side.liveness.heartbeat(side.epoch + ms(2_710)).idle);
}

/// Guards against a link that is lost because a side that is idle goes on to send time stamps rarely: a message has arrived
/// that the peer sent before it knew.
#[test]
fn a_message_on_a_link_that_is_idle_for_this_side_calls_for_time_stamps() {
    let mut side = Side::new(true);
    side.receive(1_900, echo(1_800));
    assert!(side.liveness.heartbeat(side.epoch + ms(2_000)).idle);
    let arrived_at = side.epoch + ms(2_001);
    assert!(side.liveness.record_arrival(arrived_at, &Message::Cancel(vec![1])).unwrap());
    assert!(!side.liveness.record_arrival(arrived_at, &Message::Cancel(vec![2])).unwrap());
}

/// Time stamps of a peer for which the link is dormant.
const fn dormant(echo_ms: u64) -> Timestamps {
    Timestamps { dormant: true, idle: true, ..echo(echo_ms) }
}

/// A side with a dormant link, whose peer was alive at 3 s.
fn dormant_side() -> Side {
    let mut side = Side::new(true);
    side.liveness.set_deepest_rest(Rest::Dormant);
    assert_eq!(side.liveness.heartbeat(side.epoch + ms(2_900)).rest(), Rest::Dormant);
    side.receive(3_000, dormant(3_000));
    assert_eq!(side.alive_until_ms(), 33_000);
    side
}

/// Guards against a suspected peer that counts as alive for as long as a dormant link allows, and against its heartbeats to
/// all that check it.
#[test]
fn a_check_of_a_dormant_link_must_be_answered_in_time_and_ends_no_rest() {
    let mut side = dormant_side();
    let check = side.liveness.check(side.epoch + ms(5_000)).unwrap();
    assert!(check.reply && check.rest() == Rest::Dormant);
    assert_eq!(side.alive_until_ms(), 5_000 + LIVENESS_TIMEOUT.as_millis());
    assert!(side.liveness.check(side.epoch + ms(5_100)).is_none(), "one check at a time");
    // A heartbeat that was on its way.
    side.receive(5_100, dormant(4_990));
    assert_eq!(side.alive_until_ms(), 5_000 + LIVENESS_TIMEOUT.as_millis());
    side.receive(5_200, dormant(5_000));
    assert_eq!(side.alive_until_ms(), 35_000);

    let mut peer = dormant_side();
    assert!(peer.receive(5_050, Timestamps { reply: true, ..dormant(3_000) }), "the answer is due");
    assert_eq!(peer.liveness.heartbeat(peer.epoch + ms(5_050)).rest(), Rest::Dormant);
}

/// Guards against links that stay awake for seconds after each message that goes to all peers, and against messages about
/// tasks that count as such.
#[test]
fn only_messages_about_tasks_keep_a_link_awake() {
    for (message, rest) in [(Message::Owned(vec![]), Rest::Dormant), (Message::Cancel(vec![1]), Rest::Awake)]
    {
        let mut side = dormant_side();
        assert!(side.liveness.record_arrival(side.epoch + ms(5_000), &message).unwrap());
        assert_eq!(side.liveness.heartbeat(side.epoch + ms(5_100)).rest(), Rest::Awake);
        assert_eq!(side.liveness.heartbeat(side.epoch + ms(5_500)).rest(), rest);
    }
}

/// Guards against a peer that asks for time stamps, and gets the answer that the link rests still.
#[test]
fn a_dormant_side_that_is_asked_for_time_stamps_answers_awake() {
    let mut side = dormant_side();
    assert!(side.receive(5_000, Timestamps { reply: true, ..echo(3_000) }));
    assert_eq!(side.liveness.heartbeat(side.epoch + ms(5_000)).rest(), Rest::Awake);
    assert!(side.alive_until_ms() <= 5_000 + LIVENESS_TIMEOUT.as_millis());
}

/// Guards against a watched peer whose loss is noticed as late as on a dormant link.
#[test]
fn a_link_that_may_no_longer_rest_is_awake_at_once() {
    let mut side = dormant_side();
    assert!(side.liveness.set_deepest_rest(Rest::Awake));
    assert_eq!(side.liveness.heartbeat(side.epoch + ms(5_000)).rest(), Rest::Awake);
    side.receive(5_010, echo(5_000));
    assert!(side.alive_until_ms() <= 5_010 + LIVENESS_TIMEOUT.as_millis());
}

/// Guards against an owner that gets new tasks although it has not answered for long, only because its link was at rest.
#[test]
fn a_peer_that_does_not_answer_is_silent_since_it_was_asked() {
    let mut side = dormant_side();
    assert_eq!(side.liveness.last_arrival(), None);
    assert_eq!(side.liveness.unanswered_since(), None);
    assert!(side.liveness.record_sending(side.epoch + ms(6_000), false));
    assert_eq!(side.liveness.unanswered_since(), Some(side.epoch + ms(6_000)));
}
