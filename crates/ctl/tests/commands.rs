//! Commands against a scripted entry: requests, exit codes and output.

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

/// Status line, without the version, and body.
type Response<'a> = (&'a str, &'a str);

struct CommandResult {
    err: String,
    exit: Exit,
    out: String,
    /// Requests that the entry received, with head and body.
    requests: Vec<String>,
}

fn error(code: u16, name: &str, outcome: &str) -> String {
    format!(r#"{{"code":{code},"name":"{name}","message":"m","outcome":"{outcome}"}}"#)
}

/// Reads one request with its body: if a connection is closed with unread bytes, it may be reset before the client has
/// read the response.
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

/// Runs a command against an entry that sends these responses, one per connection; an empty status closes the
/// connection without a response.
async fn run_command(args: &str, responses: &[Response<'_>]) -> CommandResult {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let entry = listener.local_addr().expect("address").to_string();
    let responses: Vec<_> =
        responses.iter().map(|(status, body)| ((*status).to_owned(), (*body).to_owned())).collect();
    let requests = Arc::new(Mutex::new(Vec::new()));
    let log = Arc::clone(&requests);
    let server = tokio::spawn(async move {
        for (status, body) in responses {
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
    CommandResult { err: text(err), exit, out: text(out), requests }
}

/// Guards against wrong exit codes, above all "not changed" for a change that may have been applied because the reply
/// to an attempt was lost.
#[tokio::test]
async fn exit_codes_report_the_outcome_of_a_change() {
    let conflict = r#"{"code":180,"name":"CONFIG_CONFLICT","revision":6,
        "last_operation":{"author":"bob","operation_id":"x1","summary":"set default a=1"}}"#;
    let distant_conflict = conflict.replace(":6,", ":70,");
    let invalid = error(181, "CONFIG_INVALID", "failed_not_run");
    let store_down = error(182, "STORE_UNAVAILABLE", "failed_not_run");
    let unsettled = error(183, "WRITE_UNSETTLED", "failed_may_have_run");
    let ok = ("200 OK", r#"{"already_applied":false,"revision":6}"#);
    let config = ("200 OK", CONFIG);
    let lost = ("", "");
    let cases: &[(&str, &[Response<'_>], Exit)] = &[
        ("accepted", &[config, ok], Exit::Ok),
        ("invalid", &[config, ("422 Unprocessable", &invalid)], Exit::Rejected),
        ("conflict", &[config, ("409 Conflict", conflict)], Exit::Conflict),
        ("store down", &[config, ("503 Unavailable", &store_down)], Exit::Unreachable),
        ("no entry", &[], Exit::Unreachable),
        ("revision not read", &[("200 OK", "{")], Exit::Unreachable),
        ("settled later", &[config, lost, ("504 Timeout", &unsettled), ok], Exit::Ok),
        ("never settled", &[config, lost, lost, lost], Exit::Unsettled),
        ("unusable answer", &[config, ("200 OK", "?"), ("200 OK", "?"), ("200 OK", "?")], Exit::Unsettled),
        ("unusable error", &[config, ("500 Error", "?"), ("502 Bad", ""), lost], Exit::Unsettled),
        ("lost, then store down", &[config, lost, ("503 Unavailable", &store_down)], Exit::Unsettled),
        ("lost, then rejected", &[config, lost, ("422 Unprocessable", &invalid)], Exit::Unsettled),
        ("lost, then conflict", &[config, lost, ("409 Conflict", conflict)], Exit::Conflict),
        ("lost, then far conflict", &[config, lost, ("409 Conflict", &distant_conflict)], Exit::Unsettled),
    ];
    for (name, responses, exit) in cases {
        let result = run_command("config set-quota maps 80", responses).await;
        assert_eq!(result.exit, *exit, "{name}: {}", result.err);
        let id =
            |request: &String| request.split("operation_id\":\"").nth(1).map(|rest| rest[..32].to_owned());
        let mut ids: Vec<_> = result.requests.iter().filter_map(id).collect();
        ids.dedup();
        assert!(ids.len() <= 1, "{name}: all attempts use one operation id: {ids:?}");
        let repeat = ids.first().is_some_and(|id| result.err.contains(&format!("{id} --expect-revision 5")));
        assert_eq!(repeat, *exit == Exit::Unsettled, "{name}: {}", result.err);
        assert_eq!(result.err.contains("set default a=1 by bob"), name.contains("conflict"), "{name}");
    }
}

/// Guards against calls to an entry for an invalid command line.
#[tokio::test]
async fn invalid_command_lines_are_rejected_before_any_call() {
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
        "check-config",
        "check-config no-such-file",
        "check-config no-such-file --data-centre a.b",
    ] {
        let result = run_command(args, &[("200 OK", "{}")]).await;
        assert_eq!(result.exit, Exit::Usage, "{args}: {}", result.err);
        assert!(result.requests.is_empty() && !result.err.is_empty(), "{args}");
    }
    assert_eq!(run_command("--help", &[]).await.exit, Exit::Ok);
}

/// Guards against output that differs from the reply, or that lets text in a reply control the terminal.
#[tokio::test]
async fn tables_and_json_show_the_reply() {
    let config = run_command("config show", &[("200 OK", CONFIG)]).await;
    assert_eq!(config.exit, Exit::Ok, "{}", config.err);
    assert!(
        config.out.contains("max_attempts  2\n") && config.out.contains("maps           70\n"),
        "{}",
        config.out
    );
    assert!(config.out.contains("slow?[2J racks"), "control characters must not reach the terminal");
    let behind = run_command("revisions --behind 9", &[("200 OK", REVISIONS)]).await.out;
    assert!(behind.contains("e2        dc1          7         2\n") && !behind.contains("e1"), "{behind}");
    let instances = run_command("instances", &[("200 OK", REVISIONS)]).await.out;
    assert!(instances.contains("draining  10.0.0.2:8081"), "{instances}");
    let json = run_command("--json revisions", &[("200 OK", REVISIONS)]).await.out;
    assert_eq!(json.replace(char::is_whitespace, ""), REVISIONS.replace(char::is_whitespace, ""));
    let failed =
        run_command("--json drain e2", &[("400 Bad", &error(102, "INVALID_FIELD", "failed_not_run"))]).await;
    assert_eq!((failed.exit, failed.err.as_str()), (Exit::Rejected, ""));
    assert_eq!(failed.out, "{\"exit\":\"rejected\",\"message\":\"INVALID_FIELD (102): m\"}\n");
    assert_eq!(run_command("drain e2", &[("200 OK", "")]).await.out, "e2 is draining\n");
}

/// The reply without the control character in a reason, for which its document would be rejected.
fn valid_config() -> String {
    CONFIG.replace("\\u001b[2J ", "")
}

/// Writes a document to a file of the test and returns its path.
fn document_file(name: &str, text: &str) -> String {
    let path = format!("{}/{name}", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, text).expect("file");
    path
}

/// Guards against wrong exit codes of a check, and against findings about the valid document in force.
#[tokio::test]
async fn checks_exit_by_their_most_severe_finding() {
    let valid = document_file("valid.json", &valid_config());
    let doubtful = document_file(
        "doubtful.json",
        &valid_config().replace("\"max_attempts\":2", "\"urgent_max_wait_ms\":6000"),
    );
    let invalid = document_file("invalid.json", &valid_config().replace("\"maps\":70", "\"maps\":7000000"));
    let broken = document_file("broken.json", "{");
    let cases = [
        (&valid, Exit::Ok, 0, "0 findings, 0 differences\n"),
        (&doubtful, Exit::Warnings, 1, "warning   defaults.urgent_max_wait_ms"),
        (&invalid, Exit::Errors, 2, "team_quotas_per_s.maps  70        7000000\n"),
        (&broken, Exit::Errors, 2, "1 finding, 0 differences\n"),
    ];
    for (file, exit, code, text) in cases {
        let result = run_command(&format!("check-config {file}"), &[("200 OK", &valid_config())]).await;
        assert_eq!((result.exit, result.exit.code()), (exit, code), "{file}: {}", result.err);
        assert!(result.out.contains(text), "{file}: {}", result.out);
    }
    assert_eq!(run_command(&format!("check-config {valid}"), &[]).await.exit, Exit::Unreachable);
}

/// Guards against a comparison with a file that calls an entry, and against output that programs cannot read.
#[tokio::test]
async fn checks_against_a_file_call_no_entry() {
    let old = document_file("old.json", &valid_config());
    let new = document_file("new.json", &valid_config().replace("\"max_attempts\":2", "\"max_attempts\":4"));
    let result = run_command(&format!("--json check-config {new} --against {old}"), &[]).await;
    let expected = r#"{"differences":[{"after":"4","before":"2","path":"defaults.max_attempts"}],"exit":"ok","findings":[]}"#;
    assert_eq!((result.out.trim_end(), result.exit), (expected, Exit::Ok), "{}", result.err);
    assert!(result.requests.is_empty(), "{:?}", result.requests);
    let broken = document_file("broken-old.json", "{");
    let result = run_command(&format!("check-config {new} --against {broken}"), &[]).await;
    assert_eq!(result.exit, Exit::Usage, "{}", result.err);
}
