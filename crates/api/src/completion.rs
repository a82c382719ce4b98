//! The callers' interface, in the shape that clients of completion APIs speak.

use serde::Deserialize;
use serde::Serialize;

/// Data of the event that closes a whole stream.
pub const DONE_MARK: &str = "[DONE]";

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Model to generate with.
    pub model: String,
    /// Text to continue.
    pub prompt: String,
    /// Most tokens to generate; the rest of the context if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<i64>,
    /// Whether to answer by server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Adapter on top of the model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Higher goes first within the workspace.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// On reconnection: the tokens received, so that the stream can go on even
    /// when its engine is gone as well.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub received: Vec<String>,
}

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who speaks: `system`, `user` or `assistant`.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// Body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Model to generate with.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<ChatMessage>,
    /// As in [`CompletionRequest`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<i64>,
    /// As in [`CompletionRequest`].
    #[serde(default)]
    pub stream: bool,
    /// As in [`CompletionRequest`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// As in [`CompletionRequest`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// As in [`CompletionRequest`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub received: Vec<String>,
}

impl ChatRequest {
    /// The same request with the conversation as one prompt.
    pub fn into_completion(self) -> CompletionRequest {
        let lines = self
            .messages
            .iter()
            .map(|m| format!("{}: {}\n", m.role, m.content));
        CompletionRequest {
            prompt: lines.collect::<String>() + "assistant: ",
            model: self.model,
            max_tokens: self.max_tokens,
            stream: self.stream,
            adapter: self.adapter,
            priority: self.priority,
            received: self.received,
        }
    }
}

/// A part of a chat answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Text of this part.
    pub content: String,
    /// Who speaks.
    pub role: String,
}

/// One answer or part of it; a completion fills `text`, a chat `delta` (stream)
/// or `message` (whole).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// Text of a completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Part of a chat answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
    /// Whole chat answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Delta>,
    /// `stop` or `length` on the last part.
    pub finish_reason: Option<String>,
}

/// Token counts of a whole answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens generated.
    pub completion_tokens: u32,
}

/// An answer, or one part of a stream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// Id of the generation.
    pub id: String,
    /// `text_completion`, `chat.completion` or `chat.completion.chunk`.
    pub object: String,
    /// Model that generated.
    pub model: String,
    /// Exactly one.
    pub choices: Vec<Choice>,
    /// In whole answers only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// One line of `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelCard {
    /// Name.
    pub id: String,
    /// Always `model`.
    pub object: String,
}

/// Answer of `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: String,
    /// The models.
    pub data: Vec<ModelCard>,
}
