//! Which instances a command talks to, and with which key.

use crate::cli_error::CliError;

/// Base addresses with a key.
#[derive(Clone, Debug)]
pub struct Target {
    /// Base addresses such as `http://127.0.0.1:8080`, tried in turn.
    pub servers: Vec<String>,
    /// Bearer key.
    pub key: String,
}

impl Target {
    /// From flags, or else from the environment.
    ///
    /// # Errors
    ///
    /// [`CliError::Usage`] that names the flag and the variable.
    pub fn from(
        servers: Option<String>,
        key: Option<String>,
        servers_variable: &str,
        key_variable: &str,
    ) -> Result<Self, CliError> {
        let of = |flag: Option<String>, variable: &str, name: &str| {
            let found = flag.or_else(|| std::env::var(variable).ok());
            found.ok_or_else(|| CliError::Usage(format!("give {name} or set {variable}")))
        };
        let servers = of(servers, servers_variable, "--server URL[,URL…]")?;
        let key = of(key, key_variable, "--key KEY")?;
        let servers = servers.split(',').map(|server| {
            let server = server.trim().trim_end_matches('/');
            if server.contains("://") {
                server.to_owned()
            } else {
                format!("http://{server}")
            }
        });
        Ok(Target {
            servers: servers.collect(),
            key,
        })
    }
}
