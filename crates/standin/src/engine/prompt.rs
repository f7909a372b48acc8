//! Bodies of generations, and answers that go on from what was delivered elsewhere.

use serde::Deserialize;

use super::Answer;
use super::answer::TOKEN_BYTES;
use super::stream::Framing;

/// Length of an answer whose request names no longest one.
const DEFAULT_MAX_TOKENS: usize = 16;

/// Body of a generation.
#[derive(Debug, Deserialize)]
pub(super) struct GenerateBody {
    pub(super) model: Box<str>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Box<str>,
    max_tokens: Option<usize>,
    #[serde(default)]
    pub(super) stream: bool,
    pub(super) priority: Option<u8>,
    #[serde(default)]
    continue_final_message: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: Box<str>,
}

/// An answer and where in it to begin.
#[derive(Debug)]
pub(super) struct Start {
    pub(super) answer: Answer,
    /// Tokens that were delivered before.
    pub(super) delivered: usize,
    pub(super) prompt: String,
}

impl GenerateBody {
    /// The answer of `weights`, from where this request wants it.
    pub(super) fn start(&self, weights: &str, framing: Framing) -> Start {
        match framing {
            Framing::Chat => self.start_chat(weights),
            Framing::Completion => self.start_completion(weights),
        }
    }

    fn start_chat(&self, weights: &str) -> Start {
        let mut contents: Vec<_> = self
            .messages
            .iter()
            .map(|message| &*message.content)
            .collect();
        let begun = if self.continue_final_message {
            contents.pop().unwrap_or_default()
        } else {
            ""
        };
        let prompt = contents.join("\n");
        self.go_on(weights, &prompt, begun)
            .unwrap_or_else(|| self.begin(weights, prompt))
    }

    // A completion's prompt runs straight into the beginning of its answer: the place where one ends
    // and the other begins is the one from which the words are this prompt's answer.
    fn start_completion(&self, weights: &str) -> Start {
        let whole = &*self.prompt;
        let most = if whole.ends_with(' ') {
            whole.len() / TOKEN_BYTES
        } else {
            0
        };
        let borders = (1..=most)
            .rev()
            .map(|tokens| whole.len() - tokens * TOKEN_BYTES);
        for border in borders.filter(|border| whole.is_char_boundary(*border)) {
            let (prompt, begun) = whole.split_at(border);
            if let Some(start) = self.go_on(weights, prompt, begun) {
                return start;
            }
        }
        self.begin(weights, whole.into())
    }

    fn begin(&self, weights: &str, prompt: String) -> Start {
        Start {
            answer: Answer::new(weights, &prompt, self.max_tokens()),
            delivered: 0,
            prompt,
        }
    }

    fn go_on(&self, weights: &str, prompt: &str, begun: &str) -> Option<Start> {
        let delivered = Answer::new(weights, prompt, usize::MAX).tokens_in(begun)?;
        if delivered == 0 {
            return None;
        }
        Some(Start {
            answer: Answer::new(weights, prompt, delivered.saturating_add(self.max_tokens())),
            delivered,
            prompt: prompt.into(),
        })
    }

    fn max_tokens(&self) -> usize {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }
}
