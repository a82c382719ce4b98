//! Completion requests validated against the configuration.

use iristhread_api::CompletionRequest;
use iristhread_core::Cursor;
use iristhread_core::Document;
use iristhread_core::Fingerprint;
use iristhread_core::FingerprintInput;
use iristhread_core::Keyring;
use iristhread_core::Model;
use iristhread_core::Now;
use iristhread_core::PromptParts;
use iristhread_core::RequestId;
use iristhread_core::Workspace;
use iristhread_core::WorkspaceId;

use crate::completion::api_error::ApiError;

/// Number of leading words of a prompt that identify its shared prefix.
const PREFIX_WORDS: usize = 16;

/// Number of words of the shortest beginning of a prompt that may be suspected to crash engines.
const MIN_PART_WORDS: usize = 8;

/// A completion request after validation.
#[derive(Clone, Debug)]
pub struct ValidatedCompletion {
    /// Id of the request. For a reconnection, the id of the generation, `.` and an id of its own.
    pub request: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if any.
    pub adapter: Option<String>,
    /// Text of the prompt.
    pub prompt: String,
    /// Estimated number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Priority; requests with a higher value go first.
    pub priority: u8,
    /// Whether the answer is a chat message.
    pub is_chat: bool,
    /// Time by which an engine must have accepted the request.
    pub deadline: Now,
    /// What the caller has received, if it reconnects.
    pub cursor: Option<Cursor>,
    /// Tokens received before, as the reconnecting caller sent them; may be empty.
    pub received: Vec<String>,
}

/// Origin of a request, and its deadline for the start.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// Id of the new request.
    pub request: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Whether the request is a chat request.
    pub is_chat: bool,
    /// Time by which an engine must have accepted the request.
    pub deadline: Now,
    /// Value of the header `Last-Event-ID`, if sent.
    pub last_event_id: Option<String>,
}

impl ValidatedCompletion {
    /// Validates a request.
    ///
    /// # Errors
    ///
    /// An [`ApiError`] that names the invalid field.
    pub fn check(
        context: RequestContext,
        body: CompletionRequest,
        document: &Document,
        keyring: &Keyring,
    ) -> Result<Self, ApiError> {
        let model = find_model(document, &body.model)?;
        check_adapter(document, &body)?;
        let prompt_tokens = estimated_tokens(&body.prompt);
        let max_tokens = check_max_tokens(model, prompt_tokens, body.max_tokens)?;
        let workspace = document.workspace(&context.workspace);
        let default_priority = workspace.map_or(0, |w: &Workspace| w.priority);
        let mut completion = ValidatedCompletion {
            request: context.request,
            workspace: context.workspace,
            model: body.model,
            adapter: body.adapter,
            prompt: body.prompt,
            prompt_tokens,
            max_tokens,
            priority: body.priority.unwrap_or(default_priority),
            is_chat: context.is_chat,
            deadline: context.deadline,
            cursor: None,
            received: body.received,
        };
        if let Some(text) = context.last_event_id {
            let cursor = Cursor::decode(&text, &completion.owner(), keyring);
            let cursor = cursor.map_err(|error| {
                let message = format!("{error}, or the body is not the one it was issued for");
                ApiError::invalid("invalid_cursor", Some("Last-Event-ID"), message)
            })?;
            completion.request = format!("{}.{}", cursor.generation, completion.request);
            completion.cursor = Some(cursor);
        }
        Ok(completion)
    }

    /// Returns the digest that binds a cursor to the workspace and the body of its request.
    pub fn owner(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        let adapter = self.adapter.as_deref().unwrap_or_default();
        for field in [self.workspace.as_str(), &self.model, adapter, &self.prompt] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(&self.max_tokens.to_le_bytes());
        hasher.finalize().to_hex().to_string()
    }

    /// Returns the fingerprint of the request, the same when a caller sends the request again.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(&FingerprintInput {
            workspace: Some(&self.workspace),
            method: "POST",
            host: "",
            path: &self.model,
            body: self.owner().as_bytes(),
        })
    }

    /// Returns the beginnings of the prompt that other requests may share, shorter ones first: each
    /// twice as long as the one before.
    pub fn parts(&self) -> PromptParts {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.model.as_bytes());
        let mut ids = Vec::new();
        let mut length = MIN_PART_WORDS;
        for (count, word) in (0_usize..).zip(self.prompt.split_whitespace()) {
            if count == length {
                ids.push(hasher.finalize().to_hex().to_string());
                length *= 2;
            }
            hasher.update(word.as_bytes());
            hasher.update(b" ");
        }
        // What follows is covered by the fingerprint.
        PromptParts::of(Some(&self.workspace), ids.iter().map(String::as_str), None)
    }

    /// Returns a hash of the model and the first words of the prompt, the same for prompts that
    /// share a prefix.
    pub fn prefix(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.model.as_bytes());
        for word in self.prompt.split_whitespace().take(PREFIX_WORDS) {
            hasher.update(word.as_bytes());
        }
        let mut first = [0_u8; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(first)
    }
}

fn find_model<'a>(document: &'a Document, name: &str) -> Result<&'a Model, ApiError> {
    document.model(name).ok_or_else(|| {
        let message =
            format!("the model {name:?} is not offered; GET /v1/models lists those that are");
        ApiError::not_found("model_not_found", Some("model"), message)
    })
}

fn check_adapter(document: &Document, body: &CompletionRequest) -> Result<(), ApiError> {
    let Some(name) = &body.adapter else {
        return Ok(());
    };
    let adapter = document
        .adapters
        .iter()
        .find(|adapter| adapter.name == *name);
    let Some(adapter) = adapter else {
        let message = format!("the adapter {name:?} is not offered");
        return Err(ApiError::not_found(
            "adapter_not_found",
            Some("adapter"),
            message,
        ));
    };
    if adapter.model != body.model {
        let message = format!(
            "the adapter {name:?} belongs to the model {:?}",
            adapter.model
        );
        return Err(ApiError::invalid(
            "adapter_of_other_model",
            Some("adapter"),
            message,
        ));
    }
    Ok(())
}

fn check_max_tokens(
    model: &Model,
    prompt_tokens: u32,
    max_tokens: Option<i64>,
) -> Result<u32, ApiError> {
    let context = model.context_tokens;
    let room = context.saturating_sub(prompt_tokens);
    if room == 0 {
        let message = format!(
            "the prompt has about {prompt_tokens} tokens, the context of the model {context}"
        );
        return Err(ApiError::invalid(
            "prompt_too_long",
            Some("prompt"),
            message,
        ));
    }
    let Some(requested) = max_tokens else {
        return Ok(room);
    };
    match u32::try_from(requested) {
        Ok(requested) if requested > 0 && requested <= context => Ok(requested.min(room)),
        _ => {
            let message = format!("max_tokens is {requested}; give a number from 1 to {context}");
            Err(ApiError::invalid(
                "invalid_max_tokens",
                Some("max_tokens"),
                message,
            ))
        }
    }
}

/// Estimates the number of tokens by the number of words. Tokenizers belong to the engines; words
/// are accurate enough for the forecasts, which the engines' load reports correct.
fn estimated_tokens(prompt: &str) -> u32 {
    let words = prompt.split_whitespace().count();
    u32::try_from(words.max(1)).unwrap_or(u32::MAX)
}
