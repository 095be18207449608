//! The text that a simulated model engine generates, a function of the prompt alone.
//!
//! Knowing the prompt, a client can tell whether an answer is complete, has a gap,
//! or belongs to another request.

/// Precedes the number of tokens to generate in a prompt, as in `#tokens=12#`.
const TOKEN_COUNT_MARK: &str = "#tokens=";
/// Number of tokens to generate when the prompt does not specify it.
const DEFAULT_TOKENS: u64 = 16;

/// Returns the number of tokens in the complete answer to `prompt`.
#[must_use]
pub fn token_count(prompt: &str) -> u64 {
    prompt
        .split_once(TOKEN_COUNT_MARK)
        .and_then(|(_, rest)| rest.split_once('#'))
        .and_then(|(number, _)| number.parse().ok())
        .unwrap_or(DEFAULT_TOKENS)
}

/// Returns a prompt with the given text whose answer has `tokens` tokens.
#[must_use]
pub fn prompt(text: &str, tokens: u64) -> String {
    format!("{text} {TOKEN_COUNT_MARK}{tokens}#")
}

/// Returns the token at `index` of the answer to `prompt`.
#[must_use]
pub fn token(prompt: &str, index: u64) -> String {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in prompt.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    format!("{:04x}.{index} ", hash & 0xffff)
}

/// Returns the complete answer to `prompt`.
#[must_use]
pub fn answer(prompt: &str) -> String {
    (0..token_count(prompt)).map(|i| token(prompt, i)).collect()
}
