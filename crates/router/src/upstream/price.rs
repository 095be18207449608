//! What an answer costs, and the part of it that the router reads.

use serde::Deserialize;

use crate::shell::Outgoing;

/// The part of a model answer that gives its cost.
#[derive(Debug, Deserialize)]
pub(super) struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

/// The text that a chunk adds.
#[derive(Debug, Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

/// One choice of an answer.
#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
}

/// The part of a model answer, or of one of its chunks, that the router reads.
#[derive(Debug, Deserialize)]
pub(super) struct Answer {
    pub(super) id: String,
    pub(super) usage: Option<Usage>,
    #[serde(default)]
    choices: Vec<Choice>,
}

impl Answer {
    /// Returns whether the chunk carries a token.
    pub(super) fn has_token(&self) -> bool {
        self.choices
            .iter()
            .any(|c| c.delta.content.as_ref().is_some_and(|t| !t.is_empty()))
    }
}

/// Returns the cost of an answer of which `skipped` tokens were generated before.
pub(super) fn price(request: &Outgoing, usage: &Usage, skipped: u64) -> f64 {
    let generated = usage.completion_tokens.saturating_sub(skipped);
    #[allow(clippy::cast_precision_loss)]
    let (prompt, output) = (usage.prompt_tokens as f64, generated as f64);
    prompt * request.prompt_weight + output * request.output_weight
}
