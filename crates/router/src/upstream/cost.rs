//! Computes the cost of a model response from the fields that the router reads.

use serde::Deserialize;

use crate::shell::Outgoing;

/// Token counts that a model response reports.
#[derive(Debug, Deserialize)]
pub(super) struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

/// The text that a chunk of a streamed response adds.
#[derive(Debug, Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

/// One choice of a model response.
#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
}

/// The fields that the router reads of a model response or of one of its chunks.
#[derive(Debug, Deserialize)]
pub(super) struct Completion {
    pub(super) id: String,
    pub(super) usage: Option<Usage>,
    #[serde(default)]
    choices: Vec<Choice>,
}

impl Completion {
    /// Returns whether the chunk adds text, which counts as one token.
    pub(super) fn has_token(&self) -> bool {
        self.choices
            .iter()
            .any(|c| c.delta.content.as_ref().is_some_and(|t| !t.is_empty()))
    }
}

/// Returns the cost in cost units; the first `skipped` tokens, of earlier attempts, cost nothing.
pub(super) fn response_cost(request: &Outgoing, usage: &Usage, skipped: u64) -> f64 {
    let generated = usage.completion_tokens.saturating_sub(skipped);
    #[allow(clippy::cast_precision_loss)]
    let (prompt, output) = (usage.prompt_tokens as f64, generated as f64);
    prompt * request.prompt_weight + output * request.output_weight
}
