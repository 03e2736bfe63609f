//! Error type of the demonstration.

use hinge_client::BuildError;
use hinge_conf::SettingError;
use hinge_entry::StartError;
use thiserror::Error;

/// Why the demonstration could not run.
#[derive(Debug, Error)]
pub enum DemoError {
    /// The client's settings are not valid.
    #[error(transparent)]
    Client(#[from] BuildError),
    /// An entry could not start.
    #[error(transparent)]
    Entry(#[from] StartError),
    /// A listener of a stand-in could not be opened.
    #[error("cannot start a stand-in: {0}")]
    Io(#[from] std::io::Error),
    /// The entries did not become ready within 10 seconds.
    #[error("the entries did not become ready")]
    NotReady,
    /// An option is out of range; the text names the option.
    #[error("{0}")]
    Option(&'static str),
    /// The settings of an entry are not valid.
    #[error(transparent)]
    Setting(#[from] SettingError),
}
