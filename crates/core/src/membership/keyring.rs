//! The fleet's shared keys: sign with the first, verify with any.

use thiserror::Error;

/// Bytes of a key, hex in settings.
const KEY_BYTES: usize = 32;

/// Bytes of a tag: 128 bits are ample against forgery online.
const TAG_BYTES: usize = 16;

/// Why a keyring could not be built.
#[derive(Debug, Error, Eq, PartialEq)]
pub enum KeyringError {
    /// There is no key to sign with.
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
/// Two keys may be listed while operators replace one by the other.
#[derive(Clone)]
pub struct Keyring {
    keys: Vec<[u8; KEY_BYTES]>,
}

impl Keyring {
    /// Reads keys as hex.
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

    /// The tag of `message` for `purpose`, hex.
    pub fn sign(&self, purpose: &str, message: &[u8]) -> String {
        hex::encode(&tag(&self.keys[0], purpose, message).as_bytes()[..TAG_BYTES])
    }

    /// Whether `given` is the tag of `message` under any key; constant time
    /// per key.
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
