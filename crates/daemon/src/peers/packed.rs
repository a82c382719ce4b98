//! Compact encoding of values in JSON messages.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::DeserializeOwned;
use serde::de::Error as _;
use serde::ser::Error as _;

/// A value that serializes to a Base64 string of its postcard encoding. This takes fewer bytes
/// than JSON, whose quotes would be escaped once more in the body of a signed message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Packed<T>(pub T);

impl<T: Serialize> Serialize for Packed<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let bytes = postcard::to_allocvec(&self.0).map_err(S::Error::custom)?;
        serializer.serialize_str(&STANDARD_NO_PAD.encode(bytes))
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Packed<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD_NO_PAD.decode(text).map_err(D::Error::custom)?;
        postcard::from_bytes(&bytes)
            .map(Packed)
            .map_err(D::Error::custom)
    }
}
