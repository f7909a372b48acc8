//! The stand-ins as processes of their own.

mod args;
mod bench_command;
mod instance;
mod load_command;

use args::{Args, Command};
use bluebellstage_standin::engine::Engine;
use bluebellstage_standin::platform::Platform;
use bluebellstage_standin::service::Service;
use bluebellstage_standin::store::Store;

#[tokio::main]
async fn main() -> eyre::Result<()> {
    env_logger::init();
    let args: Args = argh::from_env();
    match args.command {
        Command::Platform(args) => {
            let platform = Platform::start(args.into()).await?;
            serve("platform", platform.address()).await?;
            platform.stop().await;
        }
        Command::Engine(args) => {
            let engine = Engine::start(args.into()).await?;
            serve("engine", engine.address()).await?;
            engine.stop().await;
        }
        Command::Service(args) => {
            let service = Service::start(args.into()).await?;
            serve("service", service.address()).await?;
            service.stop().await;
        }
        Command::Store(args) => {
            let store = Store::start(args.into()).await?;
            serve("store", store.address()).await?;
            store.stop().await;
        }
        Command::Demo(_) => bluebellstage_standin::demo::run(&mut std::io::stdout()).await?,
        Command::Instance(args) => instance::run(&args.settings).await?,
        Command::Bench(args) => bench_command::run(args).await?,
        Command::Load(args) => load_command::run(args).await?,
    }
    Ok(())
}

/// Prints where the stand-in listens, which a starter may wait for, and serves until it is told to end.
async fn serve(kind: &str, address: std::net::SocketAddr) -> eyre::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    println!("{kind} listens on {address}");
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        ended = tokio::signal::ctrl_c() => Ok(ended?),
    }
}
