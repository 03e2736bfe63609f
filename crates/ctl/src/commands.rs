//! Execution of the commands.

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
use crate::call::{CallError, EntryClient, Reply};
use crate::exit::{Exit, Failure, Repeat};
use crate::{check, table};

/// Number of attempts to make a change, all with the same operation id.
const MAX_CHANGE_ATTEMPTS: usize = 3;
/// Pause between attempts; gives an entry that is being replaced at the same address time to come back.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Number of applied operations that the configuration document records. If more revisions have followed, a conflict
/// does not prove that the change was not applied.
const RECORDED_OPERATIONS: u64 = 64;

/// Output of a command, as JSON and as text, and how it ended.
pub(crate) struct Output {
    pub(crate) exit: Exit,
    pub(crate) json: Vec<u8>,
    pub(crate) text: String,
}

impl Output {
    pub(crate) fn new(reply: &impl Serialize, text: String) -> Result<Self, Failure> {
        let json = to_json(reply).map_err(|error| Failure::new(Exit::Rejected, error.to_string()))?;
        Ok(Self { exit: Exit::Ok, json, text })
    }
}

/// Executes one command; `author` is the author of changes unless the command names one.
pub(crate) async fn execute(
    client: EntryClient,
    command: &Command,
    author: Option<String>,
) -> Result<Output, Failure> {
    match command {
        Command::CheckConfig(args) => check::execute(&client, args).await,
        Command::Config(config) => match change_request(config, author)? {
            None => {
                let reply = read_config(&client).await?;
                Output::new(&reply, table::config(&reply))
            }
            Some(request) => change(&client, config, request).await,
        },
        Command::Drain(drain) => {
            let request = DrainRequest { instance: drain.instance.clone() };
            write(&client, "/admin/v1/drain", &request).await?;
            Output::new(&request, format!("{} is draining\n", drain.instance))
        }
        Command::Instances(_) => {
            let reply: RevisionsReply = read(&client, "/admin/v1/revisions").await?;
            Output::new(&reply, table::instances(&reply))
        }
        Command::Revisions(args) => {
            let mut reply: RevisionsReply = read(&client, "/admin/v1/revisions").await?;
            reply.members.retain(|member| args.behind.is_none_or(|behind| member.config_revision < behind));
            Output::new(&reply, table::revisions(&reply))
        }
        Command::Upstreams(_) => {
            let reply: UpstreamsReply = read(&client, "/admin/v1/upstreams").await?;
            Output::new(&reply, table::upstreams(&reply))
        }
    }
}

/// Builds the request for a change; `None` for a command that only shows. Without `--expect-revision` the expected
/// revision is 0 and must be filled in.
fn change_request(config: &ConfigArgs, author: Option<String>) -> Result<Option<ChangeRequest>, Failure> {
    let Some(change) = config.command.change() else { return Ok(None) };
    if config.operation_id.is_some() && config.expect_revision.is_none() {
        // With the current revision, an operation that is no longer recorded because 64 others have followed it would
        // be applied again.
        return Err(Failure::usage("--operation-id needs the --expect-revision of the first attempt"));
    }
    let author = config.author.clone().or(author).filter(|author| !author.trim().is_empty());
    let author = author.ok_or_else(|| Failure::usage("the author is not known; give --author"))?;
    let operation_id =
        config.operation_id.clone().unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let expect_revision = config.expect_revision.unwrap_or_default();
    Ok(Some(ChangeRequest { author, change, expect_revision, operation_id }))
}

/// Makes a change and repeats it while its outcome is unknown.
async fn change(
    client: &EntryClient,
    config: &ConfigArgs,
    mut request: ChangeRequest,
) -> Result<Output, Failure> {
    if config.expect_revision.is_none() {
        request.expect_revision = read_config(client).await?.revision;
    }
    // A given operation id belongs to an earlier attempt, which may have been applied.
    let mut may_be_applied = config.operation_id.is_some();
    let mut attempt = 1;
    loop {
        let failure = match try_change(client, &request).await {
            Ok(reply) => {
                let note = if reply.already_applied { " (applied by an earlier attempt)" } else { "" };
                return Output::new(&reply, format!("revision {}{note}\n", reply.revision));
            }
            Err(failure) => failure,
        };
        if failure.exit == Exit::Unsettled && attempt < MAX_CHANGE_ATTEMPTS {
            may_be_applied = true;
            attempt += 1;
            sleep(RETRY_DELAY).await;
            continue;
        }
        return Err(final_failure(failure, may_be_applied, request));
    }
}

/// Completes the failure of the last attempt.
///
/// That this attempt changed nothing says nothing about an earlier one whose reply was lost. A conflict does prove that
/// the change was not applied, because the entry looks up the operation id before it compares revisions.
fn final_failure(mut failure: Failure, may_be_applied: bool, request: ChangeRequest) -> Failure {
    let is_not_applied = match &failure.conflict {
        Some(conflict) => conflict.revision.saturating_sub(request.expect_revision) <= RECORDED_OPERATIONS,
        None => failure.exit == Exit::Usage,
    };
    if may_be_applied && !is_not_applied {
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

async fn try_change(client: &EntryClient, request: &ChangeRequest) -> Result<ChangeReply, Failure> {
    let reply = write(client, "/admin/v1/changes", request).await?;
    decode(client, &reply).map_err(|error| Failure::from_write_error(&error))
}

/// Reads the configuration in force at the entry.
pub(crate) async fn read_config(client: &EntryClient) -> Result<ConfigReply, Failure> {
    read(client, "/admin/v1/config").await
}

async fn read<T: DeserializeOwned>(client: &EntryClient, path: &str) -> Result<T, Failure> {
    let reply =
        client.call(Method::GET, path, Vec::new()).await.map_err(|error| Failure::from_read_error(&error))?;
    if !reply.status.is_success() {
        return Err(decode_failure(client, &reply).unwrap_or_else(|error| Failure::from_read_error(&error)));
    }
    decode(client, &reply).map_err(|error| Failure::from_read_error(&error))
}

async fn write(client: &EntryClient, path: &str, request: &impl Serialize) -> Result<Reply, Failure> {
    let body = to_json(request).map_err(|error| Failure::usage(error.to_string()))?;
    let reply =
        client.call(Method::POST, path, body).await.map_err(|error| Failure::from_write_error(&error))?;
    if reply.status.is_success() {
        return Ok(reply);
    }
    Err(decode_failure(client, &reply).unwrap_or_else(|error| Failure::from_write_error(&error)))
}

fn decode<T: DeserializeOwned>(client: &EntryClient, reply: &Reply) -> Result<T, CallError> {
    from_json(&reply.body).map_err(|error| client.no_reply(format!("status {}, {error}", reply.status)))
}

/// Decodes an error reply; fails if the reply is not one.
fn decode_failure(client: &EntryClient, reply: &Reply) -> Result<Failure, CallError> {
    if reply.status == StatusCode::CONFLICT
        && let Ok(conflict) = from_json::<ConflictReply>(&reply.body)
    {
        return Ok(Failure::from_conflict(conflict));
    }
    decode::<ErrorReply>(client, reply).map(|error| Failure::from_error_reply(&error))
}
