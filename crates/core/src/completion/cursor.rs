//! The position of a caller in its stream, held by the caller itself.
//!
//! Instances store no stream positions, so the `id` of each server-sent event contains everything
//! that another instance needs to continue the stream. See `docs/design/0002-cursor.md`.

use thiserror::Error;

use crate::Attempt;
use crate::BackendId;
use crate::GenerationId;
use crate::Keyring;

const SIGNING_PURPOSE: &str = "cursor";
const FIELD_COUNT: usize = 6;

/// A running digest of the text delivered so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TextDigest(u64);

impl TextDigest {
    /// Returns the digest extended by the next token.
    #[must_use]
    pub fn with(self, token: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0.to_le_bytes());
        hasher.update(token.as_bytes());
        let mut first = [0_u8; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        TextDigest(u64::from_le_bytes(first))
    }

    /// Returns the digest of a list of tokens.
    pub fn of(tokens: &[String]) -> Self {
        tokens
            .iter()
            .fold(Self::default(), |digest, token| digest.with(token))
    }
}

/// Why a cursor is rejected.
#[derive(Debug, Error, Eq, PartialEq)]
pub enum CursorError {
    /// The text is not a cursor.
    #[error("the Last-Event-ID is not a cursor of this system")]
    Malformed,
    /// The tag does not match: the cursor was changed or belongs to another fleet.
    #[error("the Last-Event-ID was not issued by this system")]
    Forged,
}

/// Position of a caller after one event of its stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cursor {
    /// The generation that the tokens came from.
    pub generation: GenerationId,
    /// The attempt that delivered the last token.
    pub attempt: Attempt,
    /// The backend server that ran this attempt.
    pub engine: BackendId,
    /// Number of tokens delivered.
    pub delivered: u32,
    /// Digest of the tokens delivered.
    pub digest: TextDigest,
}

impl Cursor {
    /// Returns the signed text form. It is bound to `owner` (workspace and body of the request),
    /// so that another caller can't use the cursor.
    pub fn encode(&self, owner: &str, keyring: &Keyring) -> String {
        let body = self.body();
        let tag = keyring.sign(SIGNING_PURPOSE, signed(&body, owner).as_bytes());
        format!("{body}~{tag}")
    }

    /// Parses and verifies the text form.
    ///
    /// # Errors
    ///
    /// [`CursorError`] if the text is not a cursor or its tag does not match.
    pub fn decode(text: &str, owner: &str, keyring: &Keyring) -> Result<Self, CursorError> {
        let fields: Vec<&str> = text.split('~').collect();
        if fields.len() != FIELD_COUNT {
            return Err(CursorError::Malformed);
        }
        let cursor = Cursor {
            generation: fields[0].to_owned(),
            attempt: fields[1].parse().map_err(|_| CursorError::Malformed)?,
            engine: fields[2].to_owned(),
            delivered: fields[3].parse().map_err(|_| CursorError::Malformed)?,
            digest: TextDigest(
                u64::from_str_radix(fields[4], 16).map_err(|_| CursorError::Malformed)?,
            ),
        };
        let message = signed(&cursor.body(), owner);
        if !keyring.verify(SIGNING_PURPOSE, message.as_bytes(), fields[5]) {
            return Err(CursorError::Forged);
        }
        Ok(cursor)
    }

    fn body(&self) -> String {
        format!(
            "{}~{}~{}~{}~{:x}",
            self.generation, self.attempt, self.engine, self.delivered, self.digest.0
        )
    }
}

fn signed(body: &str, owner: &str) -> String {
    format!("{body}~{owner}")
}
