//! A client: sends a job, and sends it again 1.3 s after a broken connection, a 502, a 504 or no response.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::http::{Outcome, call};
use crate::json::{Json, int, map, text};
use crate::platform::HOST;
use crate::record::Record;

const RESEND: Duration = Duration::from_millis(1_300);

/// A best-effort job of one step.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub prefix: &'static str,
    pub count: u64,
    pub cpu: u64,
    pub work_ms: u64,
    /// How long the client waits for a response.
    pub deadline_ms: u64,
}

impl Job {
    fn body(&self) -> String {
        let step = map([
            ("count", int(self.count)),
            ("cpu", int(self.cpu)),
            ("mem-mb", int(64)),
            ("estimate-ms", int(self.work_ms)),
        ]);
        let job = map([
            ("spec", text(&format!("{} {}", self.work_ms, self.cpu))),
            ("best-effort", Json::Bool(true)),
            ("steps", Json::List(vec![step])),
        ]);
        job.encode()
    }

    /// Sends the job to the entries in turn until it has a final answer; at most as often as there are entries.
    pub fn submit(&self, record: &Record, entries: &[(String, SocketAddr)]) -> Option<(u16, String)> {
        for (index, (name, front)) in entries.iter().enumerate() {
            if index > 0 {
                thread::sleep(RESEND);
            }
            record.line(&format!("client: POST {}{} to {name}", self.prefix, self.id));
            let deadline = self.deadline_ms.to_string();
            let headers = [("Host", HOST), ("X-Request-Deadline", deadline.as_str())];
            let path = format!("{}{}", self.prefix, self.id);
            let limit = Duration::from_millis(self.deadline_ms);
            let outcome = call(*front, "POST", &path, &headers, &self.body(), limit);
            record.line(&format!("client: {} gets {outcome}", self.id));
            match outcome {
                Outcome::Answered(502 | 504, _) | Outcome::Broken(_) | Outcome::NoAnswer => {}
                Outcome::Answered(status, body) => return Some((status, body)),
            }
        }
        None
    }
}
