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

/// How the transport treats one request; `{key}` in the body of a reply is replaced by the key of the request.
#[derive(Clone, Debug)]
enum Step {
    Hang,
    Lost,
    NotSent,
    Reply(u16, String),
}

/// A request as the transport received it.
#[derive(Clone, Debug, PartialEq)]
struct SentRequest {
    body: Bytes,
    entry: SocketAddr,
    key: String,
    method: Method,
}

/// Transport that issues keys, and treats other requests as the steps say, in their order.
#[derive(Clone, Default)]
struct Script {
    issued_keys: Arc<Mutex<u64>>,
    requests: Arc<Mutex<Vec<SentRequest>>>,
    steps: Arc<Mutex<VecDeque<Step>>>,
}

impl Transport for Script {
    async fn send(&self, entry: SocketAddr, request: Request<Bytes>) -> Result<Response<Bytes>, SendError> {
        let path = request.uri().path().to_owned();
        if path == "/v1/keys" {
            let mut issued = self.issued_keys.lock().unwrap();
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
        self.requests.lock().unwrap().push(SentRequest { body, entry, key: key.clone(), method });
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

/// A failure as an entry reports it: an answer if the HTTP status of the code is 200, else an error reply.
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

/// Submits through a scripted transport and returns the result and the requests that it received.
async fn run(
    steps: &[Step],
    submission: Submission,
    options: SubmitOptions,
) -> (Result<Answer, ClientError>, Vec<SentRequest>) {
    let script = Script { steps: Arc::new(Mutex::new(steps.iter().cloned().collect())), ..Script::default() };
    let client = builder().build_with(script.clone()).unwrap();
    let answer = client.submit_with(submission, &options, |_| {}).await;
    let requests = script.requests.lock().unwrap().clone();
    (answer, requests)
}

/// Number of keys used by the requests; a key that returns after another one counts again.
fn key_count(requests: &[SentRequest]) -> usize {
    let mut keys: Vec<_> = requests.iter().map(|request| &request.key).collect();
    keys.dedup();
    keys.len()
}

/// Guards against running a task twice: after each kind of unknown outcome, the client must send the same key and body
/// again, through another entry.
#[tokio::test(start_paused = true)]
async fn unknown_outcomes_resubmit_the_same_key() {
    let crossed = r#"{"key": "dc1.other.00000000000000ff.1", "outcome": "complete", "code": 0, "message": "",
        "results": ["wrong"], "queued_ms": 0, "total_ms": 1}"#;
    let partial = r#"{"key": "{key}", "outcome": "complete", "code": 0, "message": "", "results": [],
        "queued_ms": 0, "total_ms": 1}"#;
    let unknown_outcomes = [
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
    for step in unknown_outcomes {
        let (answer, requests) =
            run(&[step.clone(), complete()], submission(), SubmitOptions::default()).await;
        assert_eq!(answer.unwrap().results, ["ok"], "{step:?}");
        assert_eq!(key_count(&requests), 1, "{step:?}");
        assert_eq!((&requests[0].body, requests.len()), (&requests[1].body, 2), "{step:?}");
        assert_ne!(requests[0].entry, requests[1].entry, "{step:?}");
    }
}

/// Guards against a false "not run": the rejection by an entry that did not ask the owner says nothing about an earlier
/// copy, which the owner may hold.
#[tokio::test(start_paused = true)]
async fn entry_rejection_is_not_final_after_a_lost_connection() {
    for code in [ResultCode::Draining, ResultCode::NotReady, ResultCode::Malformed] {
        let (answer, requests) =
            run(&[Step::Lost, error(code), complete()], submission(), SubmitOptions::default()).await;
        assert_eq!(answer.unwrap().outcome, Outcome::Complete, "{code:?}");
        assert_eq!((key_count(&requests), requests.len()), (1, 3));
        let (answer, _) = run(&[error(code), complete()], submission(), SubmitOptions::default()).await;
        let expected = if code == ResultCode::NotReady { Outcome::Complete } else { Outcome::FailedNotRun };
        assert_eq!(answer.unwrap().outcome, expected, "first attempt: {code:?}");
    }
    let (answer, _) =
        run(&[Step::Lost, error(ResultCode::Overloaded)], submission(), SubmitOptions::default()).await;
    assert_eq!(answer.unwrap().outcome, Outcome::FailedNotRun, "the owner's rejection is final");
}

/// Guards against a false "not run" for a key that the caller supplied, and with which it may have submitted before it
/// restarted.
#[tokio::test(start_paused = true)]
async fn caller_supplied_key_may_have_been_used_before() {
    let key = "dc1.e7001.00000000000000ff.9".to_owned();
    let with_key = Submission { key: Some(key.clone()), ..submission() };
    let options =
        SubmitOptions { repeat_may_have_run: true, repeat_not_run: true, ..SubmitOptions::default() };
    let steps = [error(ResultCode::Draining), Step::NotSent, error(ResultCode::Overloaded)];
    let (answer, requests) = run(&steps, with_key.clone(), options).await;
    assert_eq!(answer.unwrap().code, ResultCode::Overloaded.number());
    assert!(requests.iter().all(|request| request.key == key), "the client uses no other key");
    let (answer, _) = run(&[error(ResultCode::InvalidField)], with_key, options).await;
    assert_eq!(answer.unwrap().outcome, Outcome::FailedNotRun);
}

/// Guards against a failed submission when the entry that issued the key is down: nothing was sent, so a key of another
/// entry can be used.
#[tokio::test(start_paused = true)]
async fn unsent_submission_uses_a_key_of_another_entry() {
    let (answer, requests) = run(&[Step::NotSent, complete()], submission(), SubmitOptions::default()).await;
    assert_eq!(answer.unwrap().outcome, Outcome::Complete);
    assert_eq!(key_count(&requests), 2);
    let owner = format!("dc1.e{}.", requests[1].entry.port());
    assert!(requests[1].key.starts_with(&owner), "submitted to the owner of its key");
}

/// Guards against repeating a submission with a new key when the caller did not allow it, or when a task could run
/// twice.
#[tokio::test(start_paused = true)]
async fn new_keys_are_used_only_as_the_options_allow() {
    use ResultCode as Code;
    let cases = [
        // (code, idempotent, repeat_not_run, repeat_may_have_run, expected_requests)
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
    for (code, idempotent, repeat_not_run, repeat_may_have_run, expected_requests) in cases {
        let options = SubmitOptions { repeat_may_have_run, repeat_not_run, ..SubmitOptions::default() };
        let request = Submission { idempotent, ..submission() };
        let (answer, requests) = run(&[error(code), complete()], request, options).await;
        assert_eq!(
            (requests.len(), key_count(&requests)),
            (expected_requests, expected_requests),
            "{code:?}"
        );
        let expected = if expected_requests == 2 { Outcome::Complete } else { code.outcome() };
        assert_eq!(answer.unwrap().outcome, expected, "{code:?}");
    }
}

/// Guards against a repetition that starts tasks after the deadline of the submission, which counts from the first
/// attempt.
#[tokio::test(start_paused = true)]
async fn repetitions_keep_the_start_deadline() {
    let options = SubmitOptions { repeat_not_run: true, ..SubmitOptions::default() };
    let request = Submission { deadline_ms: Some(5000), ..submission() };
    let steps = [Step::Hang, error(ResultCode::Overloaded), complete()];
    let (_, requests) = run(&steps, request, options).await;
    let limit = |request: &SentRequest| from_json::<Submission>(&request.body).unwrap().deadline_ms.unwrap();
    assert_eq!((limit(&requests[0]), limit(&requests[1])), (5000, 5000));
    assert!(limit(&requests[2]) <= 2000, "3 s passed while the client waited for the missing response");
}

/// Guards against submitting a long job again instead of polling it, and against polling without a pause.
#[tokio::test(start_paused = true)]
async fn submissions_in_progress_are_polled() {
    let steps = [running(), running(), running(), error(ResultCode::OwnerUnreachable), complete()];
    let script = Script { steps: Arc::new(Mutex::new(steps.into())), ..Script::default() };
    let client = builder().build_with(script.clone()).unwrap();
    let start = Instant::now();
    let mut reports = 0;
    let answer = client.submit_with(submission(), &SubmitOptions::default(), |_| reports += 1).await.unwrap();
    assert_eq!((answer.outcome, reports), (Outcome::Complete, 3));
    let requests = script.requests.lock().unwrap().clone();
    let methods: Vec<_> = requests.iter().map(|request| request.method.as_str()).collect();
    assert_eq!(methods, ["POST", "GET", "GET", "GET", "GET"]);
    assert!(start.elapsed() >= Duration::from_millis(150));
}

/// Guards against polling until the deadline for a submission that was accepted but did not reach its owner.
#[tokio::test(start_paused = true)]
async fn unused_key_is_resubmitted() {
    let steps = [running(), error(ResultCode::KeyUnused), complete()];
    let (answer, requests) = run(&steps, submission(), SubmitOptions::default()).await;
    assert_eq!(answer.unwrap().outcome, Outcome::Complete);
    assert_eq!((key_count(&requests), &requests[2].method), (1, &Method::POST));
}

/// Guards against calls that continue after the deadline, or that report wrongly whether tasks may have run.
#[tokio::test(start_paused = true)]
async fn deadline_and_attempt_limit_end_a_call() {
    let options = SubmitOptions { deadline: Duration::from_secs(1), ..SubmitOptions::default() };
    let start = Instant::now();
    let (answer, _) = run(&[Step::Hang], submission(), options).await;
    assert_eq!(answer.unwrap_err().outcome(), Outcome::FailedMayHaveRun);
    assert_eq!(start.elapsed(), Duration::from_secs(1));

    let script = Script { steps: Arc::new(Mutex::new(vec![Step::NotSent; 3].into())), ..Script::default() };
    let client = builder().max_attempts(3).build_with(script.clone()).unwrap();
    let error = client.submit(submission()).await.unwrap_err();
    assert_eq!(error.outcome(), Outcome::FailedNotRun);
    assert_eq!(script.requests.lock().unwrap().len(), 3);
}

/// Guards against the report "has not run" for a submission whose tasks may be running: the answer to a cancellation or
/// a status call was lost, or came from an entry that had not asked the owner of the key.
#[tokio::test(start_paused = true)]
async fn a_failed_cancellation_or_status_call_proves_nothing_about_the_tasks() {
    let key = "dc1.e7001.00000000000000ff.1";
    let failures =
        [Step::Lost, Step::NotSent, Step::Reply(200, "{}".to_owned()), error(ResultCode::Draining)];
    for step in failures {
        for cancels in [true, false] {
            let steps = vec![step.clone(); 3].into();
            let script = Script { steps: Arc::new(Mutex::new(steps)), ..Script::default() };
            let client = builder().max_attempts(3).build_with(script).unwrap();
            let error = if cancels {
                client.cancel(key).await.map(drop).unwrap_err()
            } else {
                client.status(key).await.map(drop).unwrap_err()
            };
            assert_eq!(error.outcome(), Outcome::FailedMayHaveRun, "{step:?}, cancels: {cancels}");
        }
    }
}

/// Guards against doubt about a submission that the owner of its key does not hold.
#[tokio::test(start_paused = true)]
async fn a_rejection_by_the_owner_tells_whether_the_tasks_have_run() {
    let steps = vec![error(ResultCode::KeyUnused)].into();
    let script = Script { steps: Arc::new(Mutex::new(steps)), ..Script::default() };
    let client = builder().build_with(script).unwrap();
    let failure = client.status("dc1.e7001.00000000000000ff.1").await.map(drop).unwrap_err();
    assert_eq!(failure.outcome(), Outcome::FailedNotRun);
}

/// Guards against one request for keys per submission, and against using a key late in its validity.
#[tokio::test(start_paused = true)]
async fn keys_are_fetched_in_bulk_and_used_early() {
    let script = Script { steps: Arc::new(Mutex::new(vec![complete(); 4].into())), ..Script::default() };
    let client = builder().build_with(script.clone()).unwrap();
    client.prefetch_keys().await.unwrap();
    for _ in 0..3 {
        client.submit(submission()).await.unwrap();
    }
    assert_eq!(*script.issued_keys.lock().unwrap(), 4);
    tokio::time::advance(Duration::from_secs(301)).await;
    client.submit(submission()).await.unwrap();
    assert_eq!(*script.issued_keys.lock().unwrap(), 8);
    let requests = script.requests.lock().unwrap().clone();
    assert_eq!(key_count(&requests), 4, "no key is used twice");
}

/// Guards against a failed submission for each prefetched key of an owner that is gone, draining or unreachable.
#[tokio::test(start_paused = true)]
async fn keys_of_an_unavailable_owner_are_dropped() {
    for code in [ResultCode::OwnerGone, ResultCode::Draining, ResultCode::OwnerUnreachable] {
        let steps = vec![error(code), complete(), complete()];
        let script = Script { steps: Arc::new(Mutex::new(steps.into())), ..Script::default() };
        let client = builder().build_with(script.clone()).unwrap();
        client.submit(submission()).await.unwrap();
        assert_eq!(*script.issued_keys.lock().unwrap(), 4);
        client.submit(submission()).await.unwrap();
        assert_eq!(*script.issued_keys.lock().unwrap(), 8, "{code:?}");
    }
}

/// Guards against building a client without an entry or with an invalid batch size.
#[test]
fn builder_rejects_invalid_settings() {
    assert_eq!(Client::builder().build_with(Script::default()).err(), Some(BuildError::NoEntry));
    assert_eq!(builder().key_batch(0).build_with(Script::default()).err(), Some(BuildError::InvalidKeyBatch));
}

/// Guards against a client that takes all its keys from one entry, which then owns all its submissions. This happened
/// when the batch size was a multiple of the number of entries.
#[tokio::test(start_paused = true)]
async fn entries_issue_keys_in_turn() {
    let steps = (0..16).map(|_| complete()).collect();
    let script = Script { steps: Arc::new(Mutex::new(steps)), ..Script::default() };
    let builder = builder().entry(([127, 0, 0, 1], 7004).into());
    let client = builder.build_with(script.clone()).unwrap();
    for _ in 0..16 {
        assert_eq!(client.submit(submission()).await.unwrap().outcome, Outcome::Complete);
    }
    let requests = script.requests.lock().unwrap();
    let mut owners: Vec<_> = requests.iter().map(|request| request.key.split('.').nth(1).unwrap()).collect();
    owners.sort_unstable();
    owners.dedup();
    assert_eq!(owners.len(), 4);
}
