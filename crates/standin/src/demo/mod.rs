//! The demo: fakes and three instances in one process on loopback, each step printed as it happens
//! and checked as it is printed.

mod deployment;
mod steps;

use std::io::Write;

pub use self::deployment::Deployment;
use self::steps::Demo;

/// Runs the demo; what it says goes to `out`.
///
/// # Errors
/// If the deployment can't be started, or a step does not give what it says.
pub async fn run(out: &mut (dyn Write + Send)) -> eyre::Result<()> {
    let deployment = Deployment::start().await?;
    let mut demo = Demo::new(deployment, out)?;
    let done = demo.run().await;
    demo.end().await;
    done
}
