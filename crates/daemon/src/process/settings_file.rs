//! Reads the settings file of a program.

use std::path::Path;

use crate::process::settings_reader::SettingsFault;

/// Reads a settings file and parses it with `parse`, which receives the file's name and text.
///
/// # Errors
///
/// Every fault, each as a message for the operator.
pub fn read_settings<Settings>(
    file: &Path,
    parse: impl FnOnce(&str, &str) -> Result<Settings, Vec<SettingsFault>>,
) -> Result<Settings, Vec<String>> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| {
        vec![format!(
            "{name}: failed to read the settings file: {error}; pass its path with --settings FILE"
        )]
    })?;
    parse(&name, &text).map_err(|faults| faults.iter().map(ToString::to_string).collect())
}
