//! The processes of a scene.

use std::io::Write;
use std::net::SocketAddr;

use iristhread_daemon::ListenAddresses;
use tempfile::NamedTempFile;

use crate::child::Child;
use crate::child::SceneError;

/// A running instance, with the addresses that it printed and its settings file.
pub(crate) struct Instance {
    pub child: Child,
    pub addresses: ListenAddresses,
    pub settings: NamedTempFile,
}

/// A running stand-in of an engine, a service runner or the platform.
pub(crate) struct Standin {
    pub child: Child,
    pub address: SocketAddr,
}

impl Instance {
    pub async fn start(settings: NamedTempFile) -> Result<Self, SceneError> {
        let path = settings.path().display().to_string();
        let child = Child::start("iristhreadd", &["--settings".to_owned(), path]).await?;
        let addresses = serde_json::from_str(&child.first_line);
        let addresses = addresses.map_err(|error| SceneError::Start {
            program: "iristhreadd".to_owned(),
            cause: error.to_string(),
        })?;
        Ok(Instance {
            child,
            addresses,
            settings,
        })
    }
}

impl Standin {
    pub async fn start(arguments: &[String]) -> Result<Self, SceneError> {
        let child = Child::start("iristhread-standin", arguments).await?;
        let address = child.first_line.strip_prefix("listening ");
        let address = address.and_then(|address| address.parse().ok());
        let address = address.ok_or_else(|| SceneError::Start {
            program: "iristhread-standin".to_owned(),
            cause: format!("it printed {:?}", child.first_line),
        })?;
        Ok(Standin { child, address })
    }
}

/// Writes the settings file of an instance. `lines` are appended as they are.
pub(crate) fn settings_file(
    name: &str,
    zone: &str,
    platform: SocketAddr,
    lines: &str,
) -> std::io::Result<NamedTempFile> {
    let mut file = NamedTempFile::new()?;
    let peer_key = "5a".repeat(32);
    write!(
        file,
        "instance = \"{name}\"\n\
         availability_zone = \"{zone}\"\n\
         caller_address = \"127.0.0.1:0\"\n\
         operator_address = \"127.0.0.1:0\"\n\
         peer_address = \"127.0.0.1:0\"\n\
         platform_address = \"{platform}\"\n\
         peer_keys = [\"{peer_key}\"]\n\
         stop_linger_ms = 100\n\
         {lines}\n"
    )?;
    Ok(file)
}
