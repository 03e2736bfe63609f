//! The commands.

use std::time::Duration;

use hinge_wire::{
    ChangeReply, ChangeRequest, ConfigReply, ConflictReply, DrainRequest, ErrorReply, RevisionsReply,
    UpstreamsReply, from_json, to_json,
};
use http::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::sleep;

use crate::args::{Command, ConfigArgs};
use crate::call::{CallError, Caller, Reply};
use crate::exit::{Exit, Failure, Repeat};
use crate::table;

/// Attempts of one change, all with the same operation id.
const CHANGE_ATTEMPTS: usize = 3;
/// Pause between attempts, for an entry that is being replaced behind its address.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(200);
/// Applied operations that the document remembers. A conflict further on does not prove that the change is not in
/// force.
const REMEMBERED_OPERATIONS: u64 = 64;

/// Result of a command in both forms.
pub(crate) struct Shown {
    pub(crate) json: Vec<u8>,
    pub(crate) text: String,
}

impl Shown {
    fn new(reply: &impl Serialize, text: String) -> Result<Self, Failure> {
        let json = to_json(reply).map_err(|error| Failure::new(Exit::Rejected, error.to_string()))?;
        Ok(Self { json, text })
    }
}

/// Runs one command; `author` is the default author of changes.
pub(crate) async fn execute(
    caller: Caller,
    command: &Command,
    author: Option<String>,
) -> Result<Shown, Failure> {
    match command {
        Command::Config(config) => match change_request(config, author)? {
            None => {
                let reply: ConfigReply = read(&caller, "/admin/v1/config").await?;
                Shown::new(&reply, table::config(&reply))
            }
            Some(request) => change(&caller, config, request).await,
        },
        Command::Drain(drain) => {
            let request = DrainRequest { instance: drain.instance.clone() };
            write(&caller, "/admin/v1/drain", &request).await?;
            Shown::new(&request, format!("{} is draining\n", drain.instance))
        }
        Command::Instances(_) => {
            let reply: RevisionsReply = read(&caller, "/admin/v1/revisions").await?;
            Shown::new(&reply, table::instances(&reply))
        }
        Command::Revisions(args) => {
            let mut reply: RevisionsReply = read(&caller, "/admin/v1/revisions").await?;
            reply.members.retain(|member| args.behind.is_none_or(|behind| member.config_revision < behind));
            Shown::new(&reply, table::revisions(&reply))
        }
        Command::Upstreams(_) => {
            let reply: UpstreamsReply = read(&caller, "/admin/v1/upstreams").await?;
            Shown::new(&reply, table::upstreams(&reply))
        }
    }
}

/// The request of a change, without the revision that the change is based on.
fn change_request(config: &ConfigArgs, author: Option<String>) -> Result<Option<ChangeRequest>, Failure> {
    let Some(change) = config.command.change() else { return Ok(None) };
    if config.operation_id.is_some() && config.expect_revision.is_none() {
        // With the current revision, an operation that 64 others have followed would be applied again.
        return Err(Failure::usage("--operation-id needs the --expect-revision of the first attempt"));
    }
    let author = config.author.clone().or(author).filter(|author| !author.trim().is_empty());
    let author = author.ok_or_else(|| Failure::usage("the author is not known; give --author"))?;
    let operation_id =
        config.operation_id.clone().unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let expect_revision = config.expect_revision.unwrap_or_default();
    Ok(Some(ChangeRequest { author, change, expect_revision, operation_id }))
}

async fn change(caller: &Caller, config: &ConfigArgs, mut request: ChangeRequest) -> Result<Shown, Failure> {
    if config.expect_revision.is_none() {
        request.expect_revision = read::<ConfigReply>(caller, "/admin/v1/config").await?.revision;
    }
    // An operation id that was given belongs to a change that may be in force already.
    let mut unsettled = config.operation_id.is_some();
    let mut attempt = 1;
    loop {
        let failure = match change_once(caller, &request).await {
            Ok(reply) => {
                let already = if reply.already_applied { " (applied by an earlier attempt)" } else { "" };
                return Shown::new(&reply, format!("revision {}{already}\n", reply.revision));
            }
            Err(failure) => failure,
        };
        if failure.exit == Exit::Unsettled && attempt < CHANGE_ATTEMPTS {
            unsettled = true;
            attempt += 1;
            sleep(ATTEMPT_PAUSE).await;
            continue;
        }
        return Err(settled_failure(failure, unsettled, request));
    }
}

/// "Nothing was changed" of one attempt says nothing about an earlier one whose answer was lost. A conflict does: the
/// entry looks for the operation id before it compares revisions.
fn settled_failure(mut failure: Failure, unsettled: bool, request: ChangeRequest) -> Failure {
    let proves_absence = match &failure.conflict {
        Some(conflict) => conflict.revision.saturating_sub(request.expect_revision) <= REMEMBERED_OPERATIONS,
        None => failure.exit == Exit::Usage,
    };
    if unsettled && !proves_absence {
        failure.exit = Exit::Unsettled;
    }
    if failure.exit == Exit::Unsettled {
        let ChangeRequest { expect_revision, operation_id, .. } = request;
        let options = format!("--operation-id {operation_id} --expect-revision {expect_revision}");
        failure.message = format!(
            "{}; the change may be in force: repeat it with `hingectl config {options} ...`",
            failure.message
        );
        failure.repeat = Some(Repeat { expect_revision, operation_id });
    }
    failure
}

async fn change_once(caller: &Caller, request: &ChangeRequest) -> Result<ChangeReply, Failure> {
    let reply = write(caller, "/admin/v1/changes", request).await?;
    decode(caller, &reply).map_err(|error| Failure::write(&error))
}

async fn read<T: DeserializeOwned>(caller: &Caller, path: &str) -> Result<T, Failure> {
    let reply = caller.call(Method::GET, path, Vec::new()).await.map_err(|error| Failure::read(&error))?;
    if !reply.status.is_success() {
        return Err(reported(caller, &reply).unwrap_or_else(|error| Failure::read(&error)));
    }
    decode(caller, &reply).map_err(|error| Failure::read(&error))
}

async fn write(caller: &Caller, path: &str, request: &impl Serialize) -> Result<Reply, Failure> {
    let body = to_json(request).map_err(|error| Failure::usage(error.to_string()))?;
    let reply = caller.call(Method::POST, path, body).await.map_err(|error| Failure::write(&error))?;
    if reply.status.is_success() {
        return Ok(reply);
    }
    Err(reported(caller, &reply).unwrap_or_else(|error| Failure::write(&error)))
}

fn decode<T: DeserializeOwned>(caller: &Caller, reply: &Reply) -> Result<T, CallError> {
    from_json(&reply.body).map_err(|error| caller.lost(format!("status {}, {error}", reply.status)))
}

fn reported(caller: &Caller, reply: &Reply) -> Result<Failure, CallError> {
    if reply.status == StatusCode::CONFLICT
        && let Ok(conflict) = from_json::<ConflictReply>(&reply.body)
    {
        return Ok(Failure::conflict(conflict));
    }
    decode::<ErrorReply>(caller, reply).map(|error| Failure::reported(&error))
}
