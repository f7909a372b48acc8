//! Answers that follow from the adapter, the prompt and the position alone.

use crate::hash::hash;

/// Syllables that answers are made of.
const SYLLABLES: [&str; 32] = [
    "ba", "de", "fi", "go", "hu", "ka", "le", "mi", "no", "pu", "ra", "se", "ti", "vo", "wu", "za",
    "bo", "du", "fa", "ge", "hi", "ko", "lu", "ma", "ne", "pi", "ro", "su", "ta", "ve", "wi", "zo",
];

/// Syllables in a token; with 32 syllables, two answers agree in a token once in 32,768 times.
const SYLLABLES_PER_TOKEN: u32 = 3;

/// Bits of a hash that choose one syllable.
const SYLLABLE_BITS: u32 = 5;

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
    /// It is up to a quarter shorter than `max_tokens`, as the prompt decides.
    #[must_use]
    pub fn new(adapter: &str, prompt: &str, max_tokens: usize) -> Self {
        let prompt = hash(&[prompt.as_bytes()]);
        let spread = max_tokens as u64 / 4 + 1;
        let shorter = usize::try_from(prompt % spread).unwrap_or(0);
        Self {
            adapter: adapter.into(),
            prompt,
            tokens: (max_tokens - shorter.min(max_tokens)).max(1),
        }
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
