//! Options shared by all commands: server addresses, token and output format.

use std::net::SocketAddr;

use snafu::{OptionExt, ResultExt};

use crate::error::{CtlError, FileSnafu, FlagSnafu};
use crate::flags::HibiscusrailCtl;
use crate::output::Format;

/// Values of the flags that all commands share.
#[derive(Clone)]
pub struct Context {
    /// Output format of the report.
    pub format: Format,
    router: Option<SocketAddr>,
    platform: Option<SocketAddr>,
    token: Option<String>,
}

impl std::fmt::Debug for Context {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The token is a secret.
        f.debug_struct("Context")
            .field("format", &self.format)
            .field("router", &self.router)
            .field("platform", &self.platform)
            .finish_non_exhaustive()
    }
}

impl Context {
    /// Creates the context from the common flags, reading the token file.
    ///
    /// # Errors
    ///
    /// Fails when the token file can't be read.
    pub fn new(flags: &HibiscusrailCtl) -> Result<Self, CtlError> {
        let token = match &flags.token_file {
            None => None,
            Some(path) => {
                let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
                Some(text.trim().to_owned())
            }
        };
        Ok(Self {
            format: Format::new(flags.json),
            router: flags.router,
            platform: flags.platform,
            token,
        })
    }

    /// Returns the admin address of the router.
    ///
    /// # Errors
    ///
    /// Fails when `--router` is missing.
    pub fn router(&self) -> Result<SocketAddr, CtlError> {
        self.router.context(FlagSnafu {
            flag: "router",
            requirement: "this command needs the admin address of a router",
        })
    }

    /// Returns the address of the platform's table.
    ///
    /// # Errors
    ///
    /// Fails when `--platform` is missing.
    pub fn platform(&self) -> Result<SocketAddr, CtlError> {
        self.platform.context(FlagSnafu {
            flag: "platform",
            requirement: "this command needs the address of the platform",
        })
    }

    /// Returns the operators' token for the router's admin port.
    ///
    /// # Errors
    ///
    /// Fails when `--token-file` is missing.
    pub fn token(&self) -> Result<&str, CtlError> {
        self.token.as_deref().context(FlagSnafu {
            flag: "token-file",
            requirement: "this command needs the file with the operators' token",
        })
    }
}
