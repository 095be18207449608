//! One request in a model engine's batch and the response body it produces.

use std::io;
use std::time::Instant;

use bytes::Bytes;
use hibiscusrail_net::BodySender;
use serde_json::{Value, json};

use crate::text;

/// A chat completion request whose tokens are being generated.
pub(crate) struct Sequence {
    /// Index of the run in the engine's [`RunLog`](crate::runs::RunLog).
    pub run: usize,
    /// Request id in the response.
    pub id: String,
    /// Last message, which determines the generated text.
    pub prompt: String,
    /// Number of tokens in all messages.
    pub prompt_tokens: usize,
    /// Index of the next token to generate.
    pub next_token: u64,
    /// Number of tokens in the complete response.
    pub total_tokens: u64,
    /// When prefill of the prompt ends and generation starts.
    pub prefill_end: Instant,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Sends the response body to the caller.
    pub sender: BodySender,
}

impl Sequence {
    /// Generates one token; returns whether the response is complete.
    pub fn step(&mut self) -> bool {
        if self.next_token < self.total_tokens {
            let token = text::token(&self.prompt, self.next_token);
            self.next_token += 1;
            if self.stream {
                let choice = json!([{"index": 0, "delta": {"content": token}}]);
                self.send_chunk(&choice, &Value::Null);
            }
        }
        if self.next_token < self.total_tokens {
            return false;
        }
        self.send_end();
        true
    }

    /// Aborts the response body with an error.
    pub fn fail(&self) {
        let error = io::Error::new(io::ErrorKind::ConnectionAborted, "the engine fell over");
        // The caller may have disconnected already.
        let _ = self.sender.unbounded_send(Err(error));
    }

    fn send_end(&self) {
        let usage = json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.total_tokens,
        });
        if self.stream {
            self.send_chunk(&json!([]), &usage);
            self.send("data: [DONE]\n\n".to_owned());
            return;
        }
        let response = json!({
            "id": self.id,
            "object": "chat.completion",
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": text::answer(&self.prompt)},
                "finish_reason": "stop",
            }],
            "usage": usage,
        });
        self.send(response.to_string());
    }

    fn send_chunk(&self, choices: &Value, usage: &Value) {
        let mut chunk = json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "choices": choices,
        });
        if !usage.is_null() {
            chunk["usage"] = usage.clone();
        }
        self.send(format!("data: {chunk}\n\n"));
    }

    fn send(&self, text: String) {
        // The engine drops the sequences of disconnected callers in its next step.
        let _ = self
            .sender
            .unbounded_send(Ok::<Bytes, io::Error>(text.into()));
    }
}
