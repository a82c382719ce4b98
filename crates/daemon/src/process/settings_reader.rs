//! Reads a settings file and collects every fault before anything starts.

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
    /// The file.
    pub file: String,
    /// The key, with its table.
    pub key: String,
    /// The value found, or `nothing`.
    pub value: String,
    /// What to write instead.
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

/// Takes values out of a table; what is left at the end is unknown.
pub struct SettingsReader {
    file: String,
    table: Table,
    faults: Vec<SettingsFault>,
}

impl SettingsReader {
    /// Parses a file's text.
    pub fn new(file: &str, text: &str) -> Self {
        let mut reader = SettingsReader {
            file: file.to_owned(),
            table: Table::new(),
            faults: Vec::new(),
        };
        match text.parse::<Table>() {
            Ok(table) => reader.table = table,
            Err(error) => reader.fault("the file", "no TOML", &error.to_string()),
        }
        reader
    }

    /// A text that must be there.
    pub fn text(&mut self, key: &str, fix: &str) -> String {
        match self.take(key) {
            Some(Value::String(text)) if !text.is_empty() => text,
            found => self.wrong(key, found, fix, String::new()),
        }
    }

    /// A text with a default.
    pub fn text_or(&mut self, key: &str, default: &str, fix: &str) -> String {
        match self.take(key) {
            None => default.to_owned(),
            Some(Value::String(text)) => text,
            found => self.wrong(key, found, fix, default.to_owned()),
        }
    }

    /// A list of texts that must be there.
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
            None => self.wrong(key, found, fix, Vec::new()),
        }
    }

    /// A list of texts that may be absent.
    pub fn texts_or_none(&mut self, key: &str, fix: &str) -> Vec<String> {
        if self.peek(key).is_some() {
            return self.texts(key, fix);
        }
        Vec::new()
    }

    /// An address that must be there, `IP:PORT`.
    pub fn address(&mut self, key: &str) -> SocketAddr {
        let fix = "write an IP number and a port, such as \"127.0.0.1:8080\"";
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        match self.take(key) {
            Some(Value::String(text)) => match text.parse() {
                Ok(address) => address,
                Err(_) => self.wrong(key, Some(Value::String(text)), fix, nowhere),
            },
            found => self.wrong(key, found, fix, nowhere),
        }
    }

    /// An address that may be absent.
    pub fn address_or_none(&mut self, key: &str) -> Option<SocketAddr> {
        if self.peek(key).is_some() {
            return Some(self.address(key));
        }
        None
    }

    /// A number with a default and a range.
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
            None => self.wrong(key, found, &fix, default),
        }
    }

    /// A fraction or factor with a default and a range.
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
            None => self.wrong(key, found, &fix, default),
        }
    }

    /// A time in milliseconds with a default and a range.
    pub fn time_ms(&mut self, key: &str, default: u64, range: RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.number(key, default, range))
    }

    /// Notes a fault of a value that was read.
    pub fn fault(&mut self, key: &str, value: &str, fix: &str) {
        self.faults.push(SettingsFault {
            file: self.file.clone(),
            key: key.to_owned(),
            value: value.to_owned(),
            fix: fix.to_owned(),
        });
    }

    /// Every fault, keys that nobody asked for included.
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
        let fix = "no such key; remove it, or see `iristhreadd --help` for its name";
        self.fault(key, &shown(Some(value)), fix);
    }

    fn wrong<T>(&mut self, key: &str, found: Option<Value>, fix: &str, instead: T) -> T {
        self.fault(key, &shown(found.as_ref()), fix);
        instead
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

/// A value as a fault shows it.
fn shown(value: Option<&Value>) -> String {
    value.map_or_else(|| "nothing".to_owned(), ToString::to_string)
}

/// A name that is safe in logs and paths.
pub fn read_name(reader: &mut SettingsReader, key: &str) -> String {
    let fix = "give a name without `~`, `/` or a space";
    let name = reader.text(key, fix);
    if name.contains(['~', '/', ' ']) {
        reader.fault(key, &format!("{name:?}"), fix);
    }
    name
}

/// The keys that all instances share.
pub fn read_keyring(reader: &mut SettingsReader) -> Keyring {
    let fix = "list one or two keys of 64 hex digits; all instances share them";
    let keys = reader.texts("peer_keys", fix);
    match Keyring::from_hex(&keys) {
        Ok(keyring) => keyring,
        Err(error) => {
            // The value is secret: the fault does not show it.
            reader.fault("peer_keys", "unusable", &format!("{error}; {fix}"));
            placeholder_keyring()
        }
    }
}

/// Fills the field while faults are collected; never used to sign.
fn placeholder_keyring() -> Keyring {
    let zeros = "00".repeat(32);
    match Keyring::from_hex(&[zeros]) {
        Ok(keyring) => keyring,
        Err(_) => unreachable!("64 zeros are a key"),
    }
}

/// The least level that is logged.
pub fn read_level(reader: &mut SettingsReader) -> slog::Level {
    let fix = "use one of critical, error, warning, info, debug, trace";
    let text = reader.text_or("log_level", "info", fix);
    text.parse().unwrap_or_else(|()| {
        reader.fault("log_level", &format!("{text:?}"), fix);
        slog::Level::Info
    })
}
