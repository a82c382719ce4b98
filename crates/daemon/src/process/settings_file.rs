//! Reads a settings file for a program's start.

use std::path::Path;

use crate::process::settings_reader::SettingsFault;

/// Reads and checks a settings file; `parse` gets its name and its text.
///
/// # Errors
///
/// Every fault as a sentence.
pub fn read_settings<Settings>(
    file: &Path,
    parse: impl FnOnce(&str, &str) -> Result<Settings, Vec<SettingsFault>>,
) -> Result<Settings, Vec<String>> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| {
        vec![format!(
            "{name}: can't be read: {error}; give --settings FILE"
        )]
    })?;
    parse(&name, &text).map_err(|faults| faults.iter().map(ToString::to_string).collect())
}
