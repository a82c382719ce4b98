//! Addresses and key of the instances that a command calls.

use crate::cli_error::CliError;

/// Base addresses of instances, with a key.
#[derive(Clone, Debug)]
pub struct Target {
    /// Base addresses such as `http://127.0.0.1:8080`, tried in order.
    pub servers: Vec<String>,
    /// Bearer key.
    pub key: String,
}

impl Target {
    /// Creates a target from flags or, where they are absent, from environment variables.
    ///
    /// # Errors
    ///
    /// [`CliError::Usage`] with the names of the flag and the variable if neither is set.
    pub fn from(
        servers: Option<String>,
        key: Option<String>,
        servers_variable: &str,
        key_variable: &str,
    ) -> Result<Self, CliError> {
        let flag_or_variable = |flag: Option<String>, variable: &str, name: &str| {
            let value = flag.or_else(|| std::env::var(variable).ok());
            value.ok_or_else(|| CliError::Usage(format!("give {name} or set {variable}")))
        };
        let servers = flag_or_variable(servers, servers_variable, "--server URL[,URL…]")?;
        let key = flag_or_variable(key, key_variable, "--key KEY")?;
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
