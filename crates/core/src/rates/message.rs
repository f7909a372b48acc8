//! What a workspace's home and the borrowers of its shares say to each other.

use serde::{Deserialize, Serialize};

/// Shares of a workspace's rate on their way between home and borrower.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum RatesMessage {}
