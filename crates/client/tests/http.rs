//! The HTTP transport and `hinge-submit` against a scripted entry over loopback. No test depends on elapsed time.

#![expect(clippy::unwrap_used, reason = "clippy.toml allows them in tests, not in their helpers")]

use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::{Command, Output, Stdio};
use std::sync::{Arc, Mutex};

use hinge_client::Client;
use hinge_wire::{Outcome, Submission, from_json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

const KEY: &str = "dc1.e1.00000000000000ff.1";
const SUBMISSION: &str = r#"{"service": "s", "team": "t", "class": "urgent", "tasks": [{"payload": "p"}]}"#;

/// Received requests other than those for keys, as method and path.
type RequestLog = Arc<Mutex<Vec<String>>>;

/// Starts an entry that issues a key on request and treats each other request with the next step: a status line and a
/// body, or a closed connection.
async fn start_entry(steps: Vec<Option<(&'static str, String)>>) -> io::Result<(SocketAddr, RequestLog)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let log = RequestLog::default();
    let steps = Arc::new(Mutex::new(steps.into_iter()));
    let requests = Arc::clone(&log);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (steps, requests) = (Arc::clone(&steps), Arc::clone(&requests));
            tokio::spawn(async move {
                let mut stream = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut stream).await {
                    let reply = if request == "POST /v1/keys" {
                        Some(("200 OK", format!(r#"{{"keys": ["{KEY}"], "valid_for_ms": 600000}}"#)))
                    } else {
                        requests.lock().unwrap().push(request);
                        steps.lock().unwrap().next().flatten()
                    };
                    let Some((status, body)) = reply else { break };
                    let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", body.len());
                    stream.write_all((head + &body).as_bytes()).await.unwrap();
                }
            });
        }
    });
    Ok((address, log))
}

/// Reads the next request and returns its method and path; `None` at the end of the connection.
async fn read_request(stream: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let (mut first, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
        let line = line.trim_end().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.parse().unwrap_or_default();
        }
        if line.is_empty() {
            break;
        }
        if first.is_empty() {
            first = line;
        }
    }
    stream.read_exact(&mut vec![0; length]).await?;
    let mut words = first.split([' ', '?']);
    let method = words.next().unwrap_or_default().to_ascii_uppercase();
    Ok(Some(format!("{method} {}", words.next().unwrap_or_default())))
}

fn answer(outcome: &str, code: u16, results: &str) -> String {
    format!(
        r#"{{"key": "{KEY}", "outcome": "{outcome}", "code": {code}, "message": "m", "results": [{results}],
            "queued_ms": 0, "total_ms": 1}}"#
    )
}

fn status(state: &str, answer: &str) -> String {
    format!(r#"{{"key": "{KEY}", "state": "{state}", "tasks_total": 1, "tasks_done": 0{answer}}}"#)
}

/// Guards against a retry inside the HTTP client, which would hide a lost connection, and against endpoints and
/// statuses that differ from those of an entry.
#[tokio::test]
async fn lost_connection_is_retried_and_progress_polled() {
    let done = format!(r#", "answer": {}"#, answer("complete", 0, r#""ok""#));
    let steps =
        vec![None, Some(("202 Accepted", status("queued", ""))), Some(("200 OK", status("done", &done)))];
    let (address, log) = start_entry(steps).await.unwrap();
    let client = Client::builder().entry(address).build().unwrap();
    let submission: Submission = from_json(SUBMISSION.as_bytes()).unwrap();
    let submitted = tokio::spawn({
        let client = client.clone();
        async move { client.submit(submission).await }
    });
    assert_eq!(submitted.await.unwrap().unwrap().results, ["ok"]);
    let poll = format!("GET /v1/submissions/{}", KEY.to_ascii_lowercase());
    let expected = ["POST /v1/submissions", "POST /v1/submissions", poll.as_str()];
    assert_eq!(*log.lock().unwrap(), expected, "one request per attempt");
}

/// Guards against status and cancellation calls that use the wrong endpoint or accept the status of another submission.
#[tokio::test]
async fn status_and_cancel_calls() {
    let other = status("queued", "").replace(KEY, "dc1.e1.00000000000000ff.2");
    let reply = r#"{"cancelled": 1, "ignored": 0}"#.to_owned();
    let steps = vec![
        Some(("200 OK", other)),
        Some(("200 OK", status("running", ""))),
        Some(("200 OK", reply.clone())),
        Some(("200 OK", reply)),
    ];
    let (address, log) = start_entry(steps).await.unwrap();
    let client = Client::builder().entry(address).build().unwrap();
    assert_eq!(client.status(KEY).await.unwrap().key, KEY);
    assert_eq!(client.cancel(KEY).await.unwrap().cancelled, 1);
    assert_eq!(client.cancel_all(vec![KEY.to_owned()]).await.unwrap().cancelled, 1);
    assert_eq!(client.status("../admin").await.unwrap_err().outcome(), Outcome::FailedNotRun);
    let log = log.lock().unwrap();
    assert_eq!(log[2..], [format!("DELETE /v1/submissions/{KEY}"), "POST /v1/cancellations".to_owned()]);
}

async fn submit(entry: Option<SocketAddr>, input: &'static str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hinge-submit"));
    command.args(["--attempts", "2"]).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    if let Some(entry) = entry {
        command.args(["--entry", &entry.to_string()]);
    }
    let run = move || {
        let mut child = command.spawn()?;
        // The pipe may be closed already when the command line is rejected.
        let _ = child.stdin.take().map(|mut stdin| stdin.write_all(input.as_bytes()));
        child.wait_with_output()
    };
    let output: io::Result<Output> = tokio::task::spawn_blocking(run).await.unwrap();
    output.unwrap()
}

/// Guards against an exit code that reports the wrong outcome to a script.
#[tokio::test]
async fn submit_exit_codes() {
    let cases = [
        (Some(("200 OK", answer("complete", 0, r#""ok""#))), 0),
        (Some(("200 OK", answer("failed_not_run", 160, ""))), 1),
        (Some(("200 OK", answer("failed_ran", 170, ""))), 3),
        (Some(("200 OK", answer("failed_may_have_run", 171, ""))), 4),
        (None, 5),
    ];
    for (step, code) in cases {
        let (address, _) = start_entry(vec![step.clone()]).await.unwrap();
        let output = submit(Some(address), SUBMISSION).await;
        assert_eq!(output.status.code(), Some(code), "{step:?}");
        assert_eq!(output.stdout.is_empty(), code == 5, "an answer is printed");
    }
    assert_eq!(submit(None, SUBMISSION).await.status.code(), Some(2), "no entry");
    assert_eq!(submit(Some(([127, 0, 0, 1], 1).into()), "{").await.status.code(), Some(2), "malformed input");
}

/// Guards against skipped input lines, and against progress written to the standard output among the answers.
#[tokio::test]
async fn submit_reads_several_lines_and_reports_progress() {
    let complete = answer("complete", 0, r#""ok""#);
    let failed = answer("failed_ran", 170, "");
    let steps = vec![
        Some(("202 Accepted", status("running", ""))),
        Some(("200 OK", complete)),
        Some(("200 OK", failed)),
    ];
    let (address, _) = start_entry(steps).await.unwrap();
    let input = r#"{"service": "s", "team": "t", "class": "batch", "tasks": [{"payload": "p"}]}
{"service": "s", "team": "t", "class": "batch", "tasks": [{"payload": "p"}]}
"#;
    let output = submit(Some(address), input).await;
    assert_eq!(output.status.code(), Some(3), "the highest code");
    let printed = String::from_utf8(output.stdout).unwrap();
    assert_eq!(printed.lines().count(), 2);
    assert!(String::from_utf8(output.stderr).unwrap().contains("running, 0 of 1 tasks done"));
}
