//! Messages of the callers' interface, in the format of common completion APIs.

use serde::Deserialize;
use serde::Serialize;

/// Data of the event that ends a complete stream.
pub const DONE_MARK: &str = "[DONE]";

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Model to generate with.
    pub model: String,
    /// Text to continue.
    pub prompt: String,
    /// Maximum number of tokens to generate; if absent, the remaining context.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<i64>,
    /// Whether to stream the response as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Adapter to apply to the model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Priority within the workspace; a higher value is served first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// On reconnection, the tokens received so far, so that the stream can continue even if its
    /// engine is gone as well.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub received: Vec<String>,
}

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role of the author: `system`, `user` or `assistant`.
    pub role: String,
    /// Text of the message.
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
    /// Converts the conversation into the prompt of a completion request.
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

/// A chat message or a part of one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Text of this part.
    pub content: String,
    /// Role of the author.
    pub role: String,
}

/// One result or a part of it: a completion sets `text`, a chat sets `delta` (streamed) or
/// `message` (not streamed).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// Text of a completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Part of a streamed chat message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
    /// Complete chat message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Delta>,
    /// `stop` or `length` in the last part.
    pub finish_reason: Option<String>,
}

/// Token counts of a complete response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens generated.
    pub completion_tokens: u32,
}

/// A complete response or one part of a stream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// Id of the generation.
    pub id: String,
    /// `text_completion`, `chat.completion` or `chat.completion.chunk`.
    pub object: String,
    /// Model that generated.
    pub model: String,
    /// The result; always one entry.
    pub choices: Vec<Choice>,
    /// Only set in complete responses.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// One entry of [`ModelList`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelCard {
    /// Name of the model.
    pub id: String,
    /// Always `model`.
    pub object: String,
}

/// Response body of `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: String,
    /// One entry per model.
    pub data: Vec<ModelCard>,
}
