//! Parses a settings file and collects all of its faults, so that they are reported together,
//! before anything starts.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use iristhread_core::Keyring;
use toml::Table;
use toml::Value;

/// One fault of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsFault {
    /// Name of the settings file.
    pub file: String,
    /// The key, with its table, as `table.key`.
    pub key: String,
    /// The value that was found, or `nothing` if the key is absent.
    pub value: String,
    /// How to correct the value.
    pub fix: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SettingsFault {
            file,
            key,
            value,
            fix,
        } = self;
        write!(f, "{file}: {key} is {value}: {fix}")
    }
}

/// Reads the values of a settings file. Each read removes the key, so that the keys that are left
/// at the end are unknown ones.
pub struct SettingsReader {
    file: String,
    table: Table,
    faults: Vec<SettingsFault>,
}

impl SettingsReader {
    /// Parses the text of a file. Text that is not valid TOML is a fault, and the table is empty.
    pub fn new(file: &str, text: &str) -> Self {
        let mut reader = SettingsReader {
            file: file.to_owned(),
            table: Table::new(),
            faults: Vec::new(),
        };
        match text.parse::<Table>() {
            Ok(table) => reader.table = table,
            Err(error) => reader.fault("the file", "not valid TOML", &error.to_string()),
        }
        reader
    }

    /// Reads a required text, which must not be empty.
    pub fn text(&mut self, key: &str, fix: &str) -> String {
        match self.take(key) {
            Some(Value::String(text)) if !text.is_empty() => text,
            found => self.reject(key, found, fix, String::new()),
        }
    }

    /// Reads an optional text; returns `default` if the key is absent.
    pub fn text_or(&mut self, key: &str, default: &str, fix: &str) -> String {
        match self.take(key) {
            None => default.to_owned(),
            Some(Value::String(text)) => text,
            found => self.reject(key, found, fix, default.to_owned()),
        }
    }

    /// Reads a required list of texts.
    pub fn texts(&mut self, key: &str, fix: &str) -> Vec<String> {
        let found = self.take(key);
        let texts: Option<Vec<&str>> = match &found {
            Some(Value::Array(items)) => items.iter().map(Value::as_str).collect(),
            _ => None,
        };
        match texts {
            Some(texts) => texts
                .into_iter()
                .map(str::to_owned)
                .collect::<Vec<String>>(),
            None => self.reject(key, found, fix, Vec::new()),
        }
    }

    /// Reads an optional list of texts; returns an empty list if the key is absent.
    pub fn texts_or_none(&mut self, key: &str, fix: &str) -> Vec<String> {
        if self.peek(key).is_some() {
            return self.texts(key, fix);
        }
        Vec::new()
    }

    /// Reads a required address of the form `IP:PORT`.
    pub fn address(&mut self, key: &str) -> SocketAddr {
        let fix = "write an IP address and a port, such as \"127.0.0.1:8080\"";
        let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
        match self.take(key) {
            Some(Value::String(text)) => match text.parse() {
                Ok(address) => address,
                Err(_) => self.reject(key, Some(Value::String(text)), fix, placeholder),
            },
            found => self.reject(key, found, fix, placeholder),
        }
    }

    /// Reads an optional address of the form `IP:PORT`.
    pub fn address_or_none(&mut self, key: &str) -> Option<SocketAddr> {
        if self.peek(key).is_some() {
            return Some(self.address(key));
        }
        None
    }

    /// Reads an optional whole number in `range`; returns `default` if the key is absent.
    pub fn number(&mut self, key: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let fix = format!("give a number from {} to {}", range.start(), range.end());
        let found = self.take(key);
        let number = match &found {
            None => return default,
            Some(Value::Integer(number)) => u64::try_from(*number).ok(),
            Some(_) => None,
        };
        match number.filter(|number| range.contains(number)) {
            Some(number) => number,
            None => self.reject(key, found, &fix, default),
        }
    }

    /// Reads an optional switch; returns `default` if the key is absent.
    pub fn flag(&mut self, key: &str, default: bool) -> bool {
        match self.take(key) {
            None => default,
            Some(Value::Boolean(flag)) => flag,
            found => self.reject(key, found, "write true or false", default),
        }
    }

    /// Reads an optional fraction or factor in `range`; returns `default` if the key is absent.
    pub fn share(&mut self, key: &str, default: f64, range: RangeInclusive<f64>) -> f64 {
        let fix = format!("give a number from {} to {}", range.start(), range.end());
        let found = self.take(key);
        let number = match &found {
            None => return default,
            Some(Value::Integer(number)) => Some(*number as f64),
            Some(Value::Float(number)) => Some(*number),
            Some(_) => None,
        };
        match number.filter(|number| range.contains(number)) {
            Some(number) => number,
            None => self.reject(key, found, &fix, default),
        }
    }

    /// Reads an optional time in milliseconds in `range`; returns `default` milliseconds if the key
    /// is absent.
    pub fn time_ms(&mut self, key: &str, default: u64, range: RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.number(key, default, range))
    }

    /// Adds a fault of a value.
    pub fn fault(&mut self, key: &str, value: &str, fix: &str) {
        self.faults.push(SettingsFault {
            file: self.file.clone(),
            key: key.to_owned(),
            value: value.to_owned(),
            fix: fix.to_owned(),
        });
    }

    /// Returns all faults. Each key that was not read is a fault, too.
    pub fn finish(mut self) -> Vec<SettingsFault> {
        for (key, value) in std::mem::take(&mut self.table) {
            match value {
                Value::Table(section) => {
                    for (inner, value) in section {
                        self.unknown(&format!("{key}.{inner}"), &value);
                    }
                }
                value => self.unknown(&key, &value),
            }
        }
        self.faults
    }

    fn unknown(&mut self, key: &str, value: &Value) {
        let fix = "no such key; remove it, or see `iristhreadd --help` for the valid keys";
        self.fault(key, &format_value(Some(value)), fix);
    }

    /// Adds a fault of `key` and returns `placeholder`, so that reading goes on.
    fn reject<T>(&mut self, key: &str, found: Option<Value>, fix: &str, placeholder: T) -> T {
        self.fault(key, &format_value(found.as_ref()), fix);
        placeholder
    }

    fn peek(&self, key: &str) -> Option<&Value> {
        match key.split_once('.') {
            Some((section, inner)) => self.table.get(section)?.as_table()?.get(inner),
            None => self.table.get(key),
        }
    }

    fn take(&mut self, key: &str) -> Option<Value> {
        match key.split_once('.') {
            Some((section, inner)) => self.table.get_mut(section)?.as_table_mut()?.remove(inner),
            None => self.table.remove(key),
        }
    }
}

/// Formats a value for a fault.
fn format_value(value: Option<&Value>) -> String {
    value.map_or_else(|| "nothing".to_owned(), ToString::to_string)
}

/// Reads a required name that is safe in logs and paths.
pub fn read_name(reader: &mut SettingsReader, key: &str) -> String {
    let fix = "give a name without `~`, `/` or a space";
    let name = reader.text(key, fix);
    if name.contains(['~', '/', ' ']) {
        reader.fault(key, &format!("{name:?}"), fix);
    }
    name
}

/// Reads the keys that all instances share.
pub fn read_keyring(reader: &mut SettingsReader) -> Keyring {
    let fix = "list one or two keys of 64 hex digits; all instances share them";
    let keys = reader.texts("peer_keys", fix);
    match Keyring::from_hex(&keys) {
        Ok(keyring) => keyring,
        Err(error) => {
            // The value is secret, so the fault does not contain it.
            reader.fault("peer_keys", "unusable", &format!("{error}; {fix}"));
            placeholder_keyring()
        }
    }
}

/// Returns a keyring that stands in for an invalid one while faults are collected. It never signs
/// anything.
fn placeholder_keyring() -> Keyring {
    let zeros = "00".repeat(32);
    match Keyring::from_hex(&[zeros]) {
        Ok(keyring) => keyring,
        Err(_) => unreachable!("64 zeros are a valid key"),
    }
}

/// Reads the lowest level that is logged; `info` by default.
pub fn read_level(reader: &mut SettingsReader) -> slog::Level {
    let fix = "use one of critical, error, warning, info, debug, trace";
    let text = reader.text_or("log_level", "info", fix);
    text.parse().unwrap_or_else(|()| {
        reader.fault("log_level", &format!("{text:?}"), fix);
        slog::Level::Info
    })
}
