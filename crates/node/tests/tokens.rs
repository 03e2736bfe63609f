//! Fencing tokens of entries that take over the same upstream without knowing of each other.

mod support;

use std::time::Duration;

use hinge_mesh::{MeshEvent, Message, OwnedUpstream};
use hinge_node::{Engine, Input, Output};
use hinge_runs::Fence;
use support::{hello, upstream};
use tokio::time::Instant;

/// Incarnation of the owner that both entries know and that dies.
const OWNER: u64 = 9;
/// Unix time at the start of the entries, in milliseconds.
const UNIX_MS: u64 = 1_790_000_000_000;
/// Time since the owner has named its token; below the margin that the entries keep from it.
const SINCE_CLAIM: Duration = Duration::from_millis(700);

/// A token of an entry of an earlier version: Unix milliseconds with ten random bits.
fn earlier_token(random_bits: u64) -> Fence {
    Fence::from((UNIX_MS << 10) | random_bits)
}

/// The token with which an entry takes over the upstream of the dead owner. The entry is linked with the owner only.
fn token_of_takeover(incarnation: u64) -> Fence {
    let mut now = Instant::now();
    let mut engine = Engine::new(now, hello(incarnation), UNIX_MS, incarnation);
    engine.handle(now, Input::Entries(Vec::new()));
    engine.handle(now, Input::Mesh(MeshEvent::Up(hello(OWNER))));
    let claim = OwnedUpstream { fence: earlier_token(OWNER), upstream: upstream().id };
    let message = Message::Owned(vec![claim]);
    engine.handle(now, Input::Mesh(MeshEvent::Received { message, peer: OWNER, sent_after: now }));
    engine.handle(now, Input::Upstreams(vec![upstream()]));
    engine.flush(now);
    now += SINCE_CLAIM;
    let error = "closed".into();
    let down = MeshEvent::Down { error, peer: OWNER, sent_after: now, silent: false, since: now };
    engine.handle(now, Input::Mesh(down));
    let mut tokens = Vec::new();
    for _ in 0..20 {
        now += Duration::from_millis(100);
        engine.handle(now, Input::Tick);
        engine.flush(now);
        tokens.extend(engine.drain_outputs().filter_map(|output| match output {
            Output::Hold(hold) => Some(hold.fence),
            _ => None,
        }));
    }
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
