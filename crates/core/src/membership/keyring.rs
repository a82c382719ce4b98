//! Shared keys of the fleet: the first key signs, any key verifies.

use thiserror::Error;

/// Length of a key in bytes; settings hold it in hex.
const KEY_BYTES: usize = 32;

/// Length of a tag in bytes: 128 bits suffice against online forgery.
const TAG_BYTES: usize = 16;

/// Error in the list of keys of a keyring.
#[derive(Debug, Error, Eq, PartialEq)]
pub enum KeyringError {
    /// The list of keys is empty.
    #[error("at least one key is needed")]
    Empty,
    /// A key is not 64 hex digits.
    #[error("key {index} is not {} hex digits", KEY_BYTES * 2)]
    Malformed {
        /// Position in the list, from 0.
        index: usize,
    },
}

/// Signs and verifies cursors, tickets and peer messages.
///
/// Two keys may be listed while operators replace one with the other.
#[derive(Clone)]
pub struct Keyring {
    keys: Vec<[u8; KEY_BYTES]>,
}

impl Keyring {
    /// Parses keys from hex.
    ///
    /// # Errors
    ///
    /// [`KeyringError`] when the list is empty or a key is malformed.
    pub fn from_hex(keys: &[String]) -> Result<Self, KeyringError> {
        if keys.is_empty() {
            return Err(KeyringError::Empty);
        }
        let parsed = keys.iter().enumerate().map(|(index, key)| {
            let bytes = hex::decode(key).map_err(|_| KeyringError::Malformed { index })?;
            <[u8; KEY_BYTES]>::try_from(bytes).map_err(|_| KeyringError::Malformed { index })
        });
        Ok(Keyring {
            keys: parsed.collect::<Result<_, _>>()?,
        })
    }

    /// Returns the hex tag of `message` for `purpose`, signed with the first key.
    pub fn sign(&self, purpose: &str, message: &[u8]) -> String {
        hex::encode(&tag(&self.keys[0], purpose, message).as_bytes()[..TAG_BYTES])
    }

    /// Returns whether `given` is the tag of `message` under any key. The comparison takes constant
    /// time per key.
    pub fn verify(&self, purpose: &str, message: &[u8], given: &str) -> bool {
        let mut full = [0_u8; TAG_BYTES];
        if hex::decode_to_slice(given, &mut full).is_err() {
            return false;
        }
        self.keys.iter().any(|key| {
            let expected = tag(key, purpose, message);
            constant_time_eq(&expected.as_bytes()[..TAG_BYTES], &full)
        })
    }
}

fn tag(key: &[u8; KEY_BYTES], purpose: &str, message: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&(purpose.len() as u64).to_le_bytes());
    hasher.update(purpose.as_bytes());
    hasher.update(message);
    hasher.finalize()
}

fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}
