//! Resubmission rules against a scripted transport under the paused clock.

#![expect(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "clippy.toml allows them in tests, not in their helpers"
)]

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hinge_client::{BuildError, Client, ClientBuilder, ClientError, SendError, SubmitOptions, Transport};
use hinge_wire::{Answer, Outcome, ResultCode, Submission, from_json};
use http::{Method, Request, Response};
use serde_json::json;
use tokio::time::Instant;

/// What the script does with one request; `{key}` in a body becomes the request's key.
#[derive(Clone, Debug)]
enum Step {
    Hang,
    Lost,
    NotSent,
    Reply(u16, String),
}

#[derive(Clone, Debug, PartialEq)]
struct Seen {
    body: Bytes,
    entry: SocketAddr,
    key: String,
    method: Method,
}

#[derive(Clone, Default)]
struct Script {
    issued: Arc<Mutex<u64>>,
    seen: Arc<Mutex<Vec<Seen>>>,
    steps: Arc<Mutex<VecDeque<Step>>>,
}

impl Transport for Script {
    async fn send(&self, entry: SocketAddr, request: Request<Bytes>) -> Result<Response<Bytes>, SendError> {
        let path = request.uri().path().to_owned();
        if path == "/v1/keys" {
            let mut issued = self.issued.lock().unwrap();
            let keys: Vec<_> =
                (0..4).map(|n| format!("dc1.e{}.00000000000000ff.{}", entry.port(), *issued + n)).collect();
            *issued += 4;
            let body = json!({"keys": keys, "valid_for_ms": 600_000}).to_string();
            return Ok(Response::new(body.into()));
        }
        let (method, body) = (request.method().clone(), request.into_body());
        let key = match from_json::<Submission>(&body) {
            Ok(submission) => submission.key.unwrap(),
            Err(_) => path.rsplit('/').next().unwrap().to_owned(),
        };
        self.seen.lock().unwrap().push(Seen { body, entry, key: key.clone(), method });
        let step = self.steps.lock().unwrap().pop_front();
        match step.expect("more requests than the script has steps") {
            Step::Hang => std::future::pending().await,
            Step::Lost => Err(SendError::NoResponse("reset".to_owned())),
            Step::NotSent => Err(SendError::NotSent("refused".to_owned())),
            Step::Reply(status, body) => {
                Ok(Response::builder().status(status).body(body.replace("{key}", &key).into()).unwrap())
            }
        }
    }
}

fn complete() -> Step {
    let body = r#"{"key": "{key}", "outcome": "complete", "code": 0, "message": "", "results": ["ok"],
        "queued_ms": 0, "total_ms": 1}"#;
    Step::Reply(200, body.to_owned())
}

/// A failure as an entry reports it: an answer where the code's status is 200, else an error.
fn error(code: ResultCode) -> Step {
    let (number, name, outcome) = (code.number(), code.name(), code.outcome());
    let body = if code.http_status() == 200 {
        json!({"key": "{key}", "outcome": outcome, "code": number, "message": "m", "results": [],
            "queued_ms": 0, "total_ms": 1})
    } else {
        json!({"code": number, "name": name, "outcome": outcome, "message": "m"})
    };
    Step::Reply(code.http_status(), body.to_string())
}

fn running() -> Step {
    let body = r#"{"key": "{key}", "state": "running", "tasks_total": 1, "tasks_done": 0}"#;
    Step::Reply(202, body.to_owned())
}

fn submission() -> Submission {
    from_json(br#"{"service": "s", "team": "t", "class": "urgent", "tasks": [{"payload": "p"}]}"#).unwrap()
}

fn builder() -> ClientBuilder {
    let builder = Client::builder().seed(7).key_batch(4);
    [7001, 7002, 7003].into_iter().fold(builder, |builder, port| builder.entry(([127, 0, 0, 1], port).into()))
}

/// Submits against the script and returns the result with the requests seen.
async fn run(
    steps: &[Step],
    submission: Submission,
    options: SubmitOptions,
) -> (Result<Answer, ClientError>, Vec<Seen>) {
    let script = Script { steps: Arc::new(Mutex::new(steps.iter().cloned().collect())), ..Script::default() };
    let client = builder().build_with(script.clone()).unwrap();
    let answer = client.submit_with(submission, &options, |_| {}).await;
    let seen = script.seen.lock().unwrap().clone();
    (answer, seen)
}

fn keys(seen: &[Seen]) -> usize {
    let mut keys: Vec<_> = seen.iter().map(|seen| &seen.key).collect();
    keys.dedup();
    keys.len()
}

/// Guards against a second run: after each kind of open outcome the same key and body must be sent again, through
/// another entry.
#[tokio::test(start_paused = true)]
async fn open_outcomes_resubmit_the_same_key_elsewhere() {
    let crossed = r#"{"key": "dc1.other.00000000000000ff.1", "outcome": "complete", "code": 0, "message": "",
        "results": ["wrong"], "queued_ms": 0, "total_ms": 1}"#;
    let partial = r#"{"key": "{key}", "outcome": "complete", "code": 0, "message": "", "results": [],
        "queued_ms": 0, "total_ms": 1}"#;
    let open = [
        Step::Lost,
        Step::Hang,
        Step::Reply(502, "bad gateway".to_owned()),
        Step::Reply(200, crossed.to_owned()),
        Step::Reply(200, partial.to_owned()),
        Step::Reply(200, "{".to_owned()),
        error(ResultCode::OwnerUnreachable),
        error(ResultCode::Internal),
        error(ResultCode::NotReady),
    ];
    for step in open {
        let (answer, seen) = run(&[step.clone(), complete()], submission(), SubmitOptions::default()).await;
        assert_eq!(answer.unwrap().results, ["ok"], "{step:?}");
        assert_eq!(keys(&seen), 1, "{step:?}");
        assert_eq!((&seen[0].body, seen.len()), (&seen[1].body, 2), "{step:?}");
        assert_ne!(seen[0].entry, seen[1].entry, "{step:?}");
    }
}

/// Guards against a false "not run": a rejection by an entry that did not ask the owner must not hide an earlier copy.
#[tokio::test(start_paused = true)]
async fn a_local_rejection_is_not_final_after_a_lost_connection() {
    for code in [ResultCode::Draining, ResultCode::NotReady, ResultCode::Malformed] {
        let (answer, seen) =
            run(&[Step::Lost, error(code), complete()], submission(), SubmitOptions::default()).await;
        assert_eq!(answer.unwrap().outcome, Outcome::Complete, "{code:?}");
        assert_eq!((keys(&seen), seen.len()), (1, 3));
        let (answer, _) = run(&[error(code), complete()], submission(), SubmitOptions::default()).await;
        let expected = if code == ResultCode::NotReady { Outcome::Complete } else { Outcome::FailedNotRun };
        assert_eq!(answer.unwrap().outcome, expected, "first attempt: {code:?}");
    }
    let (answer, _) =
        run(&[Step::Lost, error(ResultCode::Overloaded)], submission(), SubmitOptions::default()).await;
    assert_eq!(answer.unwrap().outcome, Outcome::FailedNotRun, "the owner's rejection is final");
}

/// Guards against the same gap for keys that the caller brought along, perhaps after its own restart.
#[tokio::test(start_paused = true)]
async fn a_key_of_the_caller_may_have_been_submitted_before() {
    let key = "dc1.e7001.00000000000000ff.9".to_owned();
    let given = Submission { key: Some(key.clone()), ..submission() };
    let options =
        SubmitOptions { repeat_may_have_run: true, repeat_not_run: true, ..SubmitOptions::default() };
    let steps = [error(ResultCode::Draining), Step::NotSent, error(ResultCode::Overloaded)];
    let (answer, seen) = run(&steps, given.clone(), options).await;
    assert_eq!(answer.unwrap().code, ResultCode::Overloaded.number());
    assert!(seen.iter().all(|seen| seen.key == key), "never another key");
    let (answer, _) = run(&[error(ResultCode::InvalidField)], given, options).await;
    assert_eq!(answer.unwrap().outcome, Outcome::FailedNotRun);
}

/// Guards against a lost submission when the issuing entry is dead: nothing was sent, so a key of a living entry is used.
#[tokio::test(start_paused = true)]
async fn an_unsent_submission_takes_a_key_of_another_entry() {
    let (answer, seen) = run(&[Step::NotSent, complete()], submission(), SubmitOptions::default()).await;
    assert_eq!(answer.unwrap().outcome, Outcome::Complete);
    assert_eq!(keys(&seen), 2);
    let owner = format!("dc1.e{}.", seen[1].entry.port());
    assert!(seen[1].key.starts_with(&owner), "submitted to the owner of its key");
}

/// Guards against repetitions with a new key that the caller did not allow, or that could run a task twice.
#[tokio::test(start_paused = true)]
async fn new_keys_only_as_the_options_allow() {
    use ResultCode as Code;
    let cases = [
        // code, idempotent, repeat not run, repeat may have run, requests
        (Code::Overloaded, false, false, false, 1),
        (Code::Overloaded, false, true, false, 2),
        (Code::NeverFits, false, true, true, 1),
        (Code::CancelledNotRun, false, true, true, 1),
        (Code::OwnerGone, true, true, false, 1),
        (Code::OwnerGone, false, true, true, 1),
        (Code::OwnerGone, true, false, true, 2),
        (Code::OwnerGoneNotRun, false, true, false, 2),
        (Code::AnswerEvicted, true, true, true, 1),
    ];
    for (code, idempotent, repeat_not_run, repeat_may_have_run, requests) in cases {
        let options = SubmitOptions { repeat_may_have_run, repeat_not_run, ..SubmitOptions::default() };
        let request = Submission { idempotent, ..submission() };
        let (answer, seen) = run(&[error(code), complete()], request, options).await;
        assert_eq!((seen.len(), keys(&seen)), (requests, requests), "{code:?}");
        let expected = if requests == 2 { Outcome::Complete } else { code.outcome() };
        assert_eq!(answer.unwrap().outcome, expected, "{code:?}");
    }
}

/// Guards against repetitions that start after the caller's limit, which counts from the first submission.
#[tokio::test(start_paused = true)]
async fn repetitions_keep_the_limit_on_starts() {
    let options = SubmitOptions { repeat_not_run: true, ..SubmitOptions::default() };
    let request = Submission { deadline_ms: Some(5000), ..submission() };
    let steps = [Step::Hang, error(ResultCode::Overloaded), complete()];
    let (_, seen) = run(&steps, request, options).await;
    let limit = |seen: &Seen| from_json::<Submission>(&seen.body).unwrap().deadline_ms.unwrap();
    assert_eq!((limit(&seen[0]), limit(&seen[1])), (5000, 5000));
    assert!(limit(&seen[2]) <= 2000, "3 s were spent on the response that never came");
}

/// Guards against long jobs that are submitted again instead of polled, and against polls without a pause.
#[tokio::test(start_paused = true)]
async fn submissions_in_progress_are_polled() {
    let steps = [running(), running(), running(), error(ResultCode::OwnerUnreachable), complete()];
    let script = Script { steps: Arc::new(Mutex::new(steps.into())), ..Script::default() };
    let client = builder().build_with(script.clone()).unwrap();
    let start = Instant::now();
    let mut reports = 0;
    let answer = client.submit_with(submission(), &SubmitOptions::default(), |_| reports += 1).await.unwrap();
    assert_eq!((answer.outcome, reports), (Outcome::Complete, 3));
    let seen = script.seen.lock().unwrap().clone();
    let methods: Vec<_> = seen.iter().map(|seen| seen.method.as_str()).collect();
    assert_eq!(methods, ["POST", "GET", "GET", "GET", "GET"]);
    assert!(start.elapsed() >= Duration::from_millis(150));
}

/// Guards against a key that stays in progress forever when the accepted submission never reached its owner.
#[tokio::test(start_paused = true)]
async fn an_unused_key_is_submitted_again() {
    let steps = [running(), error(ResultCode::KeyUnused), complete()];
    let (answer, seen) = run(&steps, submission(), SubmitOptions::default()).await;
    assert_eq!(answer.unwrap().outcome, Outcome::Complete);
    assert_eq!((keys(&seen), &seen[2].method), (1, &Method::POST));
}

/// Guards against calls that outlive the deadline or end with a wrong conclusion about the execution.
#[tokio::test(start_paused = true)]
async fn deadlines_and_attempts_end_a_call() {
    let options = SubmitOptions { deadline: Duration::from_secs(1), ..SubmitOptions::default() };
    let start = Instant::now();
    let (answer, _) = run(&[Step::Hang], submission(), options).await;
    assert_eq!(answer.unwrap_err().outcome(), Outcome::FailedMayHaveRun);
    assert_eq!(start.elapsed(), Duration::from_secs(1));

    let script = Script { steps: Arc::new(Mutex::new(vec![Step::NotSent; 3].into())), ..Script::default() };
    let client = builder().max_attempts(3).build_with(script.clone()).unwrap();
    let error = client.submit(submission()).await.unwrap_err();
    assert_eq!(error.outcome(), Outcome::FailedNotRun);
    assert_eq!(script.seen.lock().unwrap().len(), 3);
}

/// Guards against one key request per submission, and against keys used at the end of their validity.
#[tokio::test(start_paused = true)]
async fn keys_are_fetched_in_bulk_and_used_while_fresh() {
    let script = Script { steps: Arc::new(Mutex::new(vec![complete(); 4].into())), ..Script::default() };
    let client = builder().build_with(script.clone()).unwrap();
    client.prefetch_keys().await.unwrap();
    for _ in 0..3 {
        client.submit(submission()).await.unwrap();
    }
    assert_eq!(*script.issued.lock().unwrap(), 4);
    tokio::time::advance(Duration::from_secs(301)).await;
    client.submit(submission()).await.unwrap();
    assert_eq!(*script.issued.lock().unwrap(), 8);
    let distinct = script.seen.lock().unwrap().clone();
    assert_eq!(keys(&distinct), 4, "no key is used twice");
}

/// Guards against a row of failed submissions after the death of one owner, whose other keys are as useless.
#[tokio::test(start_paused = true)]
async fn keys_of_a_lost_owner_are_dropped() {
    for code in [ResultCode::OwnerGone, ResultCode::Draining, ResultCode::OwnerUnreachable] {
        let steps = vec![error(code), complete(), complete()];
        let script = Script { steps: Arc::new(Mutex::new(steps.into())), ..Script::default() };
        let client = builder().build_with(script.clone()).unwrap();
        client.submit(submission()).await.unwrap();
        assert_eq!(*script.issued.lock().unwrap(), 4);
        client.submit(submission()).await.unwrap();
        assert_eq!(*script.issued.lock().unwrap(), 8, "{code:?}");
    }
}

/// Guards against clients that cannot work.
#[test]
fn builder_rejects_unusable_settings() {
    assert_eq!(Client::builder().build_with(Script::default()).err(), Some(BuildError::NoEntry));
    assert_eq!(builder().key_batch(0).build_with(Script::default()).err(), Some(BuildError::InvalidKeyBatch));
}

/// Guards against a client that takes all its keys from one entry, which then owns all its submissions: a batch as large
/// as a multiple of the number of entries made every request for keys ask the same one.
#[tokio::test(start_paused = true)]
async fn keys_come_from_all_entries_in_turn() {
    let steps = (0..16).map(|_| complete()).collect();
    let script = Script { steps: Arc::new(Mutex::new(steps)), ..Script::default() };
    let builder = builder().entry(([127, 0, 0, 1], 7004).into());
    let client = builder.build_with(script.clone()).unwrap();
    for _ in 0..16 {
        assert_eq!(client.submit(submission()).await.unwrap().outcome, Outcome::Complete);
    }
    let seen = script.seen.lock().unwrap();
    let mut owners: Vec<_> = seen.iter().map(|seen| seen.key.split('.').nth(1).unwrap()).collect();
    owners.sort_unstable();
    owners.dedup();
    assert_eq!(owners.len(), 4);
}
