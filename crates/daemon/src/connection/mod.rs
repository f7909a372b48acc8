//! What lives as long as a connection: peers, callers' and operators' ports, HTTP clients.

mod admin;
mod admin_token;
mod callers;
mod counted;
mod http;
mod peer_link;
mod peer_server;
mod peers;
mod port;
mod sockets;

pub use self::admin_token::{AdminToken, MalformedToken};

pub(crate) use self::admin::admin_port;
pub(crate) use self::callers::caller_port;
pub use self::http::http_client;
pub(crate) use self::http::{read_body, read_json};
pub(crate) use self::peer_server::PeerServer;
pub(crate) use self::peers::Peers;
pub(crate) use self::port::{LateShell, Port};
pub(crate) use self::sockets::{CallerSockets, open_connections};

pub use self::port::PortError;
