//! Answers that follow from the adapter, the prompt and the position alone.

use crate::hash::hash;

/// Syllables that answers are made of.
const SYLLABLES: [&str; 32] = [
    "ba", "de", "fi", "go", "hu", "ka", "le", "mi", "no", "pu", "ra", "se", "ti", "vo", "wu", "za",
    "bo", "du", "fa", "ge", "hi", "ko", "lu", "ma", "ne", "pi", "ro", "su", "ta", "ve", "wi", "zo",
];

/// Syllables in a token; with 32 syllables, two answers agree in a token once in 32,768 times.
const SYLLABLES_PER_TOKEN: u32 = 3;

/// Bytes of a token: two for each syllable, and the blank.
pub(super) const TOKEN_BYTES: usize = 7;

/// Bits of a hash that choose one syllable.
const SYLLABLE_BITS: u32 = 5;

/// One prompt in so many has an answer that ends before the caller's limit.
const SHORT_ONE_IN: u64 = 4;

/// Shortest answer of such a prompt, and how many more tokens it has at most.
const SHORT_ANSWER: usize = 16;
const SHORT_ANSWER_SPREAD: u64 = 113;

/// The whole answer of an adapter to a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    adapter: Box<str>,
    prompt: u64,
    tokens: usize,
}

impl Answer {
    /// The answer of `adapter`, named as `adapter@version`, to `prompt`.
    ///
    /// It has `max_tokens` tokens, but for one prompt in four, whose answer ends by itself. Where it
    /// ends by itself depends on the prompt alone, so that an answer which goes on on another engine
    /// with a smaller limit ends where it would have ended.
    #[must_use]
    pub fn new(adapter: &str, prompt: &str, max_tokens: usize) -> Self {
        let prompt = hash(&[prompt.as_bytes()]);
        let tokens = match prompt % SHORT_ONE_IN {
            0 => short_answer(prompt).min(max_tokens),
            _ => max_tokens,
        };
        Self {
            adapter: adapter.into(),
            prompt,
            tokens: tokens.max(1),
        }
    }

    /// How many tokens of this answer `text` begins with; none if it is no beginning of it.
    #[must_use]
    pub fn tokens_in(&self, text: &str) -> Option<usize> {
        let words = text.split_inclusive(' ');
        let mut count = 0;
        for (index, word) in words.enumerate() {
            if word != self.token(index) {
                return None;
            }
            count = index + 1;
        }
        Some(count)
    }

    /// `adapter@version`.
    #[must_use]
    pub fn adapter(&self) -> &str {
        &self.adapter
    }

    /// How many tokens it has.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.tokens
    }

    /// Never: an answer has at least one token.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        false
    }

    /// The token at `index`, counted from 0, with the blank that follows it.
    #[must_use]
    pub fn token(&self, index: usize) -> String {
        let position = index.to_le_bytes();
        let bits = hash(&[
            self.adapter.as_bytes(),
            &self.prompt.to_le_bytes(),
            &position,
        ]);
        let mut text = String::new();
        for syllable in 0..SYLLABLES_PER_TOKEN {
            let [choice, ..] = (bits >> (syllable * SYLLABLE_BITS)).to_le_bytes();
            text.push_str(SYLLABLES[usize::from(choice) % SYLLABLES.len()]);
        }
        text.push(' ');
        text
    }

    /// The text of all tokens.
    #[must_use]
    pub fn text(&self) -> String {
        (0..self.tokens).map(|index| self.token(index)).collect()
    }
}

fn short_answer(prompt: u64) -> usize {
    let more = (prompt / SHORT_ONE_IN) % SHORT_ANSWER_SPREAD;
    SHORT_ANSWER + usize::try_from(more).unwrap_or(0)
}
