//! Guards against wrong exit codes, above all an unsettled change that is reported as not made.

#![allow(clippy::expect_used, reason = "test helpers")]

use std::sync::{Arc, Mutex};

use hinge_ctl::{Exit, run};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CONFIG: &str = r#"{"revision":5,"document":{"defaults":{"max_attempts":2},"exceptions":[{"author":"ann",
    "reason":"slow\u001b[2J racks","scope":{"kind":"data_centre","name":"dc1"},"setting":"task_timeout_ms",
    "value":9000}],"format_version":1,"operations":[],"team_quotas_per_s":{"maps":70}}}"#;
const REVISIONS: &str = r#"{"latest_revision":9,"members":[{"config_revision":9,"counter":1,"data_centre":"dc1",
    "free_slots":3,"incarnation":255,"instance":"e1","peer_address":"10.0.0.1:8081","queued_tasks":4,"state":"ready"},
    {"config_revision":7,"counter":1,"data_centre":"dc1","free_slots":0,"incarnation":256,"instance":"e2",
    "peer_address":"10.0.0.2:8081","queued_tasks":0,"state":"draining"}]}"#;

/// Status line and body.
type Answer<'a> = (&'a str, &'a str);

struct Outcome {
    err: String,
    exit: Exit,
    out: String,
    /// Requests as received.
    requests: Vec<String>,
}

fn error(code: u16, name: &str, outcome: &str) -> String {
    format!(r#"{{"code":{code},"name":"{name}","message":"m","outcome":"{outcome}"}}"#)
}

/// Reads one request with its body: closing a connection with unread bytes could reset it before the answer is read.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut request = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&request).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.split("content-length: ").nth(1).and_then(|rest| rest.lines().next());
            if body.len() >= length.map_or(0, |length| length.trim().parse().expect("length")) {
                return String::from_utf8_lossy(&request).into_owned();
            }
        }
        if stream.read_buf(&mut request).await.expect("request") == 0 {
            return String::new();
        }
    }
}

/// Runs a command against an entry that gives these answers, one per connection; an empty status closes it unanswered.
async fn call(args: &str, answers: &[Answer<'_>]) -> Outcome {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let entry = listener.local_addr().expect("address").to_string();
    let answers: Vec<_> =
        answers.iter().map(|(status, body)| ((*status).to_owned(), (*body).to_owned())).collect();
    let requests = Arc::new(Mutex::new(Vec::new()));
    let log = Arc::clone(&requests);
    let server = tokio::spawn(async move {
        for (status, body) in answers {
            let Ok((mut stream, _)) = listener.accept().await else { return };
            let request = read_request(&mut stream).await;
            log.lock().expect("log").push(request);
            if !status.is_empty() {
                let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", body.len());
                let _ = stream.write_all((head + &body).as_bytes()).await;
            }
        }
    });
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let args: Vec<&str> = args.split_whitespace().collect();
    let env = move |name: &str| match name {
        "CELERYHINGE_ENTRY" => Some(entry.clone()),
        "USER" => Some("ann".to_owned()),
        _ => None,
    };
    let exit = run(&args, env, &mut out, &mut err).await;
    server.abort();
    let requests = requests.lock().expect("log").clone();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    Outcome { err: text(err), exit, out: text(out), requests }
}

#[tokio::test]
async fn exit_codes_tell_what_happened_to_a_change() {
    let conflict = r#"{"code":180,"name":"CONFIG_CONFLICT","revision":6,
        "last_operation":{"author":"bob","operation_id":"x1","summary":"set default a=1"}}"#;
    let far = conflict.replace(":6,", ":70,");
    let invalid = error(181, "CONFIG_INVALID", "failed_not_run");
    let down = error(182, "STORE_UNAVAILABLE", "failed_not_run");
    let open = error(183, "WRITE_UNSETTLED", "failed_may_have_run");
    let ok = ("200 OK", r#"{"already_applied":false,"revision":6}"#);
    let config = ("200 OK", CONFIG);
    let lost = ("", "");
    let cases: &[(&str, &[Answer<'_>], Exit)] = &[
        ("accepted", &[config, ok], Exit::Ok),
        ("invalid", &[config, ("422 Unprocessable", &invalid)], Exit::Rejected),
        ("conflict", &[config, ("409 Conflict", conflict)], Exit::Conflict),
        ("store down", &[config, ("503 Unavailable", &down)], Exit::Unreachable),
        ("no entry", &[], Exit::Unreachable),
        ("revision not read", &[("200 OK", "{")], Exit::Unreachable),
        ("settled later", &[config, lost, ("504 Timeout", &open), ok], Exit::Ok),
        ("never settled", &[config, lost, lost, lost], Exit::Unsettled),
        ("unusable answer", &[config, ("200 OK", "?"), ("200 OK", "?"), ("200 OK", "?")], Exit::Unsettled),
        ("unusable error", &[config, ("500 Error", "?"), ("502 Bad", ""), lost], Exit::Unsettled),
        ("lost, then store down", &[config, lost, ("503 Unavailable", &down)], Exit::Unsettled),
        ("lost, then rejected", &[config, lost, ("422 Unprocessable", &invalid)], Exit::Unsettled),
        ("lost, then conflict", &[config, lost, ("409 Conflict", conflict)], Exit::Conflict),
        ("lost, then far conflict", &[config, lost, ("409 Conflict", &far)], Exit::Unsettled),
    ];
    for (name, answers, exit) in cases {
        let outcome = call("config set-quota maps 80", answers).await;
        assert_eq!(outcome.exit, *exit, "{name}: {}", outcome.err);
        let id =
            |request: &String| request.split("operation_id\":\"").nth(1).map(|rest| rest[..32].to_owned());
        let mut ids: Vec<_> = outcome.requests.iter().filter_map(id).collect();
        ids.dedup();
        assert!(ids.len() <= 1, "{name}: all attempts carry one operation id: {ids:?}");
        let repeat = ids.first().is_some_and(|id| outcome.err.contains(&format!("{id} --expect-revision 5")));
        assert_eq!(repeat, *exit == Exit::Unsettled, "{name}: {}", outcome.err);
        assert_eq!(outcome.err.contains("set default a=1 by bob"), name.contains("conflict"), "{name}");
    }
}

#[tokio::test]
async fn wrong_command_lines_are_rejected_before_any_call() {
    for args in [
        "",
        "nonsense",
        "--entry localhost:1 instances",
        "--timeout-ms 0 instances",
        "config set-default max_attempts -1",
        "config set-default max_attempts",
        "config set-exception max_attempts 2 --scope data_centre:dc1",
        "config set-exception max_attempts 2 --scope rack:r1 --reason r",
        "config set-exception max_attempts 2 --scope dc1 --reason r",
        "config set-quota a.b 5",
        "config --operation-id x set-quota maps 5",
        "config --operation-id a/b --expect-revision 1 set-quota maps 5",
        "revisions --behind x",
        "drain",
    ] {
        let outcome = call(args, &[("200 OK", "{}")]).await;
        assert_eq!(outcome.exit, Exit::Usage, "{args}: {}", outcome.err);
        assert!(outcome.requests.is_empty() && !outcome.err.is_empty(), "{args}");
    }
    assert_eq!(call("--help", &[]).await.exit, Exit::Ok);
}

#[tokio::test]
async fn tables_and_json_show_the_reply() {
    let shown = call("config show", &[("200 OK", CONFIG)]).await;
    assert_eq!(shown.exit, Exit::Ok, "{}", shown.err);
    assert!(
        shown.out.contains("max_attempts  2\n") && shown.out.contains("maps           70\n"),
        "{}",
        shown.out
    );
    assert!(shown.out.contains("slow?[2J racks"), "control characters must not reach the terminal");
    let behind = call("revisions --behind 9", &[("200 OK", REVISIONS)]).await.out;
    assert!(behind.contains("e2        dc1          7         2\n") && !behind.contains("e1"), "{behind}");
    let instances = call("instances", &[("200 OK", REVISIONS)]).await.out;
    assert!(instances.contains("draining  10.0.0.2:8081"), "{instances}");
    let json = call("--json revisions", &[("200 OK", REVISIONS)]).await.out;
    assert_eq!(json.replace(char::is_whitespace, ""), REVISIONS.replace(char::is_whitespace, ""));
    let failed =
        call("--json drain e2", &[("400 Bad", &error(102, "INVALID_FIELD", "failed_not_run"))]).await;
    assert_eq!((failed.exit, failed.err.as_str()), (Exit::Rejected, ""));
    assert_eq!(failed.out, "{\"exit\":\"rejected\",\"message\":\"INVALID_FIELD (102): m\"}\n");
    assert_eq!(call("drain e2", &[("200 OK", "")]).await.out, "e2 is draining\n");
}
