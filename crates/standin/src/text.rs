//! The text that a model engine generates: a function of the prompt alone.
//!
//! Whoever knows the prompt can tell whether an answer is whole, has a gap,
//! or belongs to another request.

/// Marks the number of tokens to generate in a prompt, as in `#tokens=12#`.
const LENGTH_MARK: &str = "#tokens=";
/// Tokens generated when the prompt names no number.
const DEFAULT_TOKENS: u64 = 16;

/// Returns the number of tokens that `prompt` asks for.
#[must_use]
pub fn length(prompt: &str) -> u64 {
    prompt
        .split_once(LENGTH_MARK)
        .and_then(|(_, rest)| rest.split_once('#'))
        .and_then(|(number, _)| number.parse().ok())
        .unwrap_or(DEFAULT_TOKENS)
}

/// Returns a prompt that asks for `tokens` tokens.
#[must_use]
pub fn prompt(text: &str, tokens: u64) -> String {
    format!("{text} {LENGTH_MARK}{tokens}#")
}

/// Returns token number `index` of the answer to `prompt`.
#[must_use]
pub fn token(prompt: &str, index: u64) -> String {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in prompt.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    format!("{:04x}.{index} ", hash & 0xffff)
}

/// Returns the whole answer to `prompt`.
#[must_use]
pub fn answer(prompt: &str) -> String {
    (0..length(prompt)).map(|i| token(prompt, i)).collect()
}
