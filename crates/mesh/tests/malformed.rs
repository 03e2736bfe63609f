//! Frames that other programs send, or that were damaged on their way. `PROPTEST_CASES` sets the number of cases.

#![allow(clippy::unwrap_used, reason = "tests")]

use hinge_mesh::{Evacuation, Hello, Message, OwnedUpstream, Resume, Status, Timestamps};
use hinge_runs::{Fence, LostRun, Outcome, RunId, TaskReport};
use hinge_wire::{from_msgpack, to_msgpack};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;

fn valid_frames() -> Vec<Vec<u8>> {
    let hello = Hello {
        data_centre: "dc1".into(),
        incarnation: 1,
        instance: "entry-1".into(),
        resumable: true,
        timestamps: true,
        cpu_millis: 90,
        dormancy: true,
    };
    let lost =
        LostRun { alone: true, run: RunId { task: "job.0.0.1".into(), run: 5 }, upstream: "up-1".into() };
    let evacuation = Evacuation { data_centre: "dc1".into(), evacuated: true, revision: 9 };
    let messages = [
        Message::Hello(hello),
        Message::Resume(Resume { link: Some(1), nonce: 2, received: 3 }),
        Message::Status(Status::default()),
        Message::Status(Status { lost_runs: vec![lost], ..Status::default() }),
        Message::Status(Status { evacuations: Some(vec![evacuation]), ..Status::default() }),
        Message::Report(vec![TaskReport::new(1, Outcome::Done, 2)]),
        Message::Cancel(vec![1, 2, 3]),
        Message::Timestamps(Timestamps { dormant: false, echo_ms: 1, idle: false, reply: true, value_ms: 2 }),
        Message::Timestamps(Timestamps {
            dormant: true,
            echo_ms: 0,
            idle: true,
            reply: false,
            value_ms: u64::MAX,
        }),
        Message::Suspect(vec![1, u64::MAX]),
        Message::Config { body: "{}".into(), version: 4 },
    ];
    messages.iter().map(|message| to_msgpack(message).unwrap()).collect()
}

/// Guards against a stack overflow, which no process survives.
#[test]
fn deeply_nested_frames_are_rejected() {
    for opening in [0x91_u8, 0x81] {
        let frame = vec![opening; 1_000_000];
        assert!(from_msgpack::<Message>(&frame).is_err());
    }
}

/// Guards against an allocation of the size that a frame claims to have.
#[test]
fn lengths_beyond_the_frame_are_rejected() {
    for claim in [[0xdd_u8, 0xff, 0xff, 0xff, 0xff], [0xdf, 0xff, 0xff, 0xff, 0xff]] {
        for name in ["Cancel", "Report", "Owned", "Assign"] {
            let mut frame = vec![0x81, 0xa0 | u8::try_from(name.len()).unwrap()];
            frame.extend_from_slice(name.as_bytes());
            frame.extend_from_slice(&claim);
            assert!(from_msgpack::<Message>(&frame).is_err(), "{name}");
        }
    }
}

/// Guards against a link that ends because a process of an older version says less about itself.
#[test]
fn hello_of_an_older_version_is_neither_resumable_nor_timed() {
    let frame = to_msgpack(&serde_json::json!({
        "Hello": { "data_centre": "dc1", "incarnation": 7, "instance": "entry-7" }
    }))
    .unwrap();
    let Message::Hello(hello) = from_msgpack(&frame).unwrap() else { unreachable!() };
    assert!(!hello.resumable && !hello.timestamps && !hello.dormancy);
}

/// Guards against links that end, again and again, because the peer has an older version, which knows nothing of lost runs,
/// or a newer one, which says more.
#[test]
fn messages_of_other_versions_are_decoded() {
    let status = serde_json::json!({
        "Status": { "config_version": 1, "draining": false, "last_assignment": 0, "loads": [], "added_later": 1 }
    });
    let expected = Message::Status(Status { config_version: 1, ..Status::default() });
    assert_eq!(from_msgpack::<Message>(&to_msgpack(&status).unwrap()).unwrap(), expected);
}

/// Guards against links that end because the fencing tokens of owned upstreams are not the integers that other versions send and
/// expect.
#[test]
fn fencing_tokens_are_integers_between_versions() {
    const FENCE: u64 = 1_832_960_000_000_007;
    let message = Message::Owned(vec![OwnedUpstream { fence: Fence::from(FENCE), upstream: "up-1".into() }]);
    let earlier = serde_json::json!({ "Owned": [{ "fence": FENCE, "upstream": "up-1" }] });
    assert_eq!(from_msgpack::<Message>(&to_msgpack(&earlier).unwrap()).unwrap(), message);
    assert_eq!(to_msgpack(&message).unwrap(), to_msgpack(&earlier).unwrap());
}

proptest! {
    /// Guards against frames that end the process.
    #[test]
    fn arbitrary_frames_are_decoded_or_rejected(frame in vec(any::<u8>(), 0..300)) {
        let _ = from_msgpack::<Message>(&frame);
    }

    /// Guards against frames that are valid but for a few bytes.
    #[test]
    fn damaged_frames_are_decoded_or_rejected(
        frame in proptest::sample::select(valid_frames()),
        changes in vec((any::<Index>(), any::<u8>()), 1..6),
        end in any::<Index>(),
    ) {
        let mut frame = frame;
        for (position, byte) in changes {
            let position = position.index(frame.len());
            frame[position] = byte;
        }
        let _ = from_msgpack::<Message>(&frame);
        frame.truncate(end.index(frame.len()));
        let _ = from_msgpack::<Message>(&frame);
    }
}
