//! Tokens that the engine stand-in generates: a function of prompt and position, so that a
//! test can detect a token that is lost, duplicated or from another request.

/// Vocabulary of the generated answers.
const VOCABULARY: [&str; 32] = [
    "spindle",
    "hours",
    "at",
    "the",
    "quoted",
    "rate",
    "cover",
    "facing",
    "boring",
    "and",
    "deburring",
    "of",
    "each",
    "part;",
    "oak",
    "panel",
    "finish",
    "adds",
    "two",
    "days,",
    "with",
    "setup",
    "shared",
    "over",
    "batch",
    "delivery",
    "slot",
    "on",
    "tuesday",
    "if",
    "confirmed",
    "today.",
];

/// Start of the mark `[tokens=N]`; a prompt that contains it is answered with N tokens.
const LENGTH_MARK: &str = "[tokens=";

/// Median and shape of the answer lengths for other prompts: a log-logistic distribution, for
/// its heavy tail.
const MEDIAN_TOKENS: f64 = 60.0;
const TAIL_SHAPE: f64 = 1.8;
const MAX_TOKENS: f64 = 4_000.0;

/// The token at a position of the answer, counted from 0.
pub fn expected_token(prompt: &str, position: u32) -> String {
    let hash = hash(prompt, u64::from(position) + 1);
    let word = VOCABULARY[(hash % VOCABULARY.len() as u64) as usize];
    format!("{word} ")
}

/// Length of the answer to a prompt, in tokens, if no limit cuts it.
pub fn expected_length(prompt: &str) -> u32 {
    if let Some(length) = marked_length(prompt) {
        return length;
    }
    let quantile = hash(prompt, 0) as f64 / u64::MAX as f64;
    let odds = quantile / (1.0 - quantile).max(1e-9);
    let tokens = MEDIAN_TOKENS * odds.powf(1.0 / TAIL_SHAPE);
    tokens.clamp(1.0, MAX_TOKENS) as u32
}

/// The answer to a prompt, cut to `max_tokens`.
pub fn expected_answer(prompt: &str, max_tokens: u32) -> Vec<String> {
    let length = expected_length(prompt).min(max_tokens);
    (0..length)
        .map(|position| expected_token(prompt, position))
        .collect()
}

fn marked_length(prompt: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once(LENGTH_MARK)?;
    let (number, _) = rest.split_once(']')?;
    number.parse().ok()
}

fn hash(prompt: &str, salt: u64) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&salt.to_le_bytes());
    hasher.update(prompt.as_bytes());
    let mut first = [0_u8; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
