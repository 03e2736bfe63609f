//! Commands and options of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use hinge_wire::{Change, Scope, ScopeKind, SettingValue, is_valid_id};

/// Shows and changes the state of a celeryhinge fleet through one entry instance.
#[derive(Debug, FromArgs)]
pub(crate) struct Args {
    /// operator address of an entry; CELERYHINGE_ENTRY or 127.0.0.1:8081 when absent
    #[argh(option)]
    pub(crate) entry: Option<SocketAddr>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
    /// time limit for one call in milliseconds, 30000 when absent; an entry may take up to 10 s to confirm a change
    #[argh(option, default = "30_000", from_str_fn(timeout))]
    pub(crate) timeout_ms: u64,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    CheckConfig(CheckConfigArgs),
    Config(ConfigArgs),
    Drain(DrainArgs),
    Instances(InstancesArgs),
    Revisions(RevisionsArgs),
    Upstreams(UpstreamsArgs),
}

/// Checks a configuration document before it is sent and compares it with the one in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check-config")]
pub(crate) struct CheckConfigArgs {
    /// file with the document, as JSON
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// file with the document to compare with; that of the entry when absent
    #[argh(option)]
    pub(crate) against: Option<PathBuf>,
    /// id of a data centre, repeated for each one; with it, exceptions for others are found
    #[argh(option, from_str_fn(id))]
    pub(crate) data_centre: Vec<String>,
    /// memory of the smallest entry in MB; with it, limits beyond it are found
    #[argh(option)]
    pub(crate) memory_mb: Option<u64>,
}

/// Shows or changes the configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub(crate) struct ConfigArgs {
    /// author recorded with the change; CELERYHINGE_AUTHOR or USER when absent
    #[argh(option)]
    pub(crate) author: Option<String>,
    /// revision that the change is based on; the entry's current revision when absent
    #[argh(option)]
    pub(crate) expect_revision: Option<u64>,
    /// operation id of an unsettled change to repeat; requires --expect-revision
    #[argh(option, from_str_fn(id))]
    pub(crate) operation_id: Option<String>,
    #[argh(subcommand)]
    pub(crate) command: ConfigCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum ConfigCommand {
    ClearDefault(ClearDefaultArgs),
    ClearException(ClearExceptionArgs),
    ClearQuota(ClearQuotaArgs),
    SetDefault(SetDefaultArgs),
    SetException(SetExceptionArgs),
    SetQuota(SetQuotaArgs),
    Show(ShowArgs),
}

/// Shows the configuration that the entry uses.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct ShowArgs {}

/// Sets the fleet-wide default of a policy setting.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "set-default")]
pub(crate) struct SetDefaultArgs {
    /// name of the policy setting
    #[argh(positional)]
    setting: String,
    /// whole number, true or false
    #[argh(positional, from_str_fn(setting_value))]
    value: SettingValue,
}

/// Resets a policy setting to its built-in default.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "clear-default")]
pub(crate) struct ClearDefaultArgs {
    /// name of the policy setting
    #[argh(positional)]
    setting: String,
}

/// Sets a different value of a policy setting for a data centre or a team.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "set-exception")]
pub(crate) struct SetExceptionArgs {
    /// name of the policy setting
    #[argh(positional)]
    setting: String,
    /// whole number, true or false
    #[argh(positional, from_str_fn(setting_value))]
    value: SettingValue,
    /// scope of the exception: data_centre:NAME or team:NAME
    #[argh(option, from_str_fn(scope))]
    scope: Scope,
    /// why the exception is needed
    #[argh(option, from_str_fn(reason))]
    reason: String,
}

/// Removes an exception.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "clear-exception")]
pub(crate) struct ClearExceptionArgs {
    /// name of the policy setting
    #[argh(positional)]
    setting: String,
    /// scope of the exception: data_centre:NAME or team:NAME
    #[argh(option, from_str_fn(scope))]
    scope: Scope,
}

/// Sets the quota of a team.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "set-quota")]
pub(crate) struct SetQuotaArgs {
    /// name of the team
    #[argh(positional, from_str_fn(id))]
    team: String,
    /// task starts per second in each data centre
    #[argh(positional)]
    starts_per_s: u64,
}

/// Resets the quota of a team to the default quota.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "clear-quota")]
pub(crate) struct ClearQuotaArgs {
    /// name of the team
    #[argh(positional, from_str_fn(id))]
    team: String,
}

/// Shows the configuration revision of each instance.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "revisions")]
pub(crate) struct RevisionsArgs {
    /// show only instances with a lower revision than this
    #[argh(option)]
    pub(crate) behind: Option<u64>,
}

/// Shows all instances with their state and load.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "instances")]
pub(crate) struct InstancesArgs {}

/// Shows the upstreams as the entry sees them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "upstreams")]
pub(crate) struct UpstreamsArgs {}

/// Drains and then stops the entry that receives the command.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct DrainArgs {
    /// instance id of that entry, as a safeguard against a wrong address
    #[argh(positional, from_str_fn(id))]
    pub(crate) instance: String,
}

impl ConfigCommand {
    /// Returns the change that the command makes; `None` for a command that only shows.
    pub(crate) fn change(&self) -> Option<Change> {
        let change = match self {
            Self::Show(_) => return None,
            Self::SetDefault(SetDefaultArgs { setting, value }) => {
                Change::SetDefault { setting: setting.clone(), value: value.clone() }
            }
            Self::ClearDefault(ClearDefaultArgs { setting }) => {
                Change::ClearDefault { setting: setting.clone() }
            }
            Self::SetException(SetExceptionArgs { setting, value, scope, reason }) => Change::SetException {
                reason: reason.clone(),
                scope: scope.clone(),
                setting: setting.clone(),
                value: value.clone(),
            },
            Self::ClearException(ClearExceptionArgs { setting, scope }) => {
                Change::ClearException { scope: scope.clone(), setting: setting.clone() }
            }
            Self::SetQuota(SetQuotaArgs { team, starts_per_s }) => {
                Change::SetQuota { starts_per_s: *starts_per_s, team: team.clone() }
            }
            Self::ClearQuota(ClearQuotaArgs { team }) => Change::ClearQuota { team: team.clone() },
        };
        Some(change)
    }
}

fn id(text: &str) -> Result<String, String> {
    if is_valid_id(text) {
        return Ok(text.to_owned());
    }
    Err("expected letters, digits, `-` and `_`, 1 to 64 characters".to_owned())
}

fn reason(text: &str) -> Result<String, String> {
    if text.trim().is_empty() { Err("the reason must not be empty".to_owned()) } else { Ok(text.to_owned()) }
}

fn scope(text: &str) -> Result<Scope, String> {
    let expected = || "expected data_centre:NAME or team:NAME".to_owned();
    let (kind, name) = text.split_once(':').ok_or_else(expected)?;
    let kind: ScopeKind = kind.parse().map_err(|_| expected())?;
    Ok(Scope { kind, name: id(name)? })
}

fn setting_value(text: &str) -> Result<SettingValue, String> {
    text.parse().map_err(|_| "expected a whole number, true or false".to_owned())
}

fn timeout(text: &str) -> Result<u64, String> {
    let millis = text.parse().ok().filter(|millis| (1..=600_000).contains(millis));
    millis.ok_or_else(|| "expected a whole number from 1 to 600000".to_owned())
}
