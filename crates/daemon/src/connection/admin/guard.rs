//! Who may call as an operator.

use std::sync::Arc;

use rocket::Request;
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome};

use crate::connection::AdminToken;
use crate::connection::port::LateShell;
use crate::process::{Shell, log_event};

const SCHEME: &str = "Bearer ";

/// Digests of the tokens that get in.
#[derive(Debug)]
pub(super) struct Tokens(pub(super) Vec<AdminToken>);

/// The shell, for a caller that came with a token.
#[derive(Debug)]
pub(super) struct Operator(pub(super) Arc<Shell>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Operator {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        if !is_admitted(request) {
            let remote = request.remote().map(|remote| remote.ip().to_string());
            log_event!(TokenRefused, "remote" = remote.unwrap_or_default());
            return Outcome::Error((Status::Unauthorized, ()));
        }
        match request
            .rocket()
            .state::<LateShell>()
            .and_then(|late| late.0.get())
        {
            Some(shell) => Outcome::Success(Self(Arc::clone(shell))),
            None => Outcome::Error((Status::ServiceUnavailable, ())),
        }
    }
}

fn is_admitted(request: &Request<'_>) -> bool {
    let header = request.headers().get_one("Authorization");
    let token = header.and_then(|value| value.strip_prefix(SCHEME));
    let tokens = request.rocket().state::<Tokens>();
    match (token, tokens) {
        (Some(token), Some(tokens)) => tokens.0.iter().any(|known| known.admits(token)),
        (None, _) | (_, None) => false,
    }
}
