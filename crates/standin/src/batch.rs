//! One request in a model engine's batch, and the parts of its answer.

use std::io;
use std::time::Instant;

use bytes::Bytes;
use hibiscusrail_net::BodySender;
use serde_json::{Value, json};

use crate::text;

/// A request in the batch.
pub(crate) struct Sequence {
    /// Number of its run in the record.
    pub run: usize,
    /// Id that the answer carries.
    pub id: String,
    /// Prompt that the answer's text is made from.
    pub prompt: String,
    /// Tokens of the whole prompt.
    pub prompt_tokens: usize,
    /// Next token to generate.
    pub next: u64,
    /// Tokens of the whole answer.
    pub end: u64,
    /// When the prompt has been processed.
    pub ready: Instant,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// To the caller.
    pub sender: BodySender,
}

impl Sequence {
    /// Generates one token; returns whether the answer is whole.
    pub fn step(&mut self) -> bool {
        if self.next < self.end {
            let token = text::token(&self.prompt, self.next);
            self.next += 1;
            if self.stream {
                let choice = json!([{"index": 0, "delta": {"content": token}}]);
                self.send_chunk(&choice, &Value::Null);
            }
        }
        if self.next < self.end {
            return false;
        }
        self.send_end();
        true
    }

    /// Ends the answer without its proper end.
    pub fn fail(&self) {
        let error = io::Error::new(io::ErrorKind::ConnectionAborted, "the engine fell over");
        // A receiver that is gone needs no error.
        let _ = self.sender.unbounded_send(Err(error));
    }

    fn send_end(&self) {
        let usage = json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.end,
        });
        if self.stream {
            self.send_chunk(&json!([]), &usage);
            self.send("data: [DONE]\n\n".to_owned());
            return;
        }
        let answer = json!({
            "id": self.id,
            "object": "chat.completion",
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": text::answer(&self.prompt)},
                "finish_reason": "stop",
            }],
            "usage": usage,
        });
        self.send(answer.to_string());
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
        // A receiver that is gone is noticed at the next step.
        let _ = self
            .sender
            .unbounded_send(Ok::<Bytes, io::Error>(text.into()));
    }
}
