//! A child process with its log.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use eyre::{WrapErr, eyre};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::timeout;

/// Time for a stand-in to say where it listens.
const START_LIMIT: Duration = Duration::from_secs(20);

/// A signal to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Ask it to stop as planned.
    Terminate,
    /// Freeze it.
    Stop,
    /// Thaw it.
    Continue,
}

impl Signal {
    const fn flag(self) -> &'static str {
        match self {
            Self::Terminate => "-TERM",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
        }
    }
}

/// A child process; killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program whose output goes to `log`.
    ///
    /// # Errors
    /// If it can't be started.
    pub fn start(program: &Path, args: &[String], log: &Path) -> eyre::Result<Self> {
        let out = open(log)?;
        let err = out.try_clone()?;
        Self::spawn(program, args, Stdio::from(out), Stdio::from(err))
    }

    /// Starts a stand-in and waits for the address that it prints.
    ///
    /// # Errors
    /// If it can't be started or ends before it listens.
    pub async fn start_listener(
        program: &Path,
        args: &[String],
        log: &Path,
    ) -> eyre::Result<(Self, SocketAddr)> {
        let err = open(log)?;
        let mut process = Self::spawn(program, args, Stdio::piped(), Stdio::from(err))?;
        let out = process.child.stdout.take();
        let out = out.ok_or_else(|| eyre!("a piped output is there"))?;
        let mut lines = BufReader::new(out).lines();
        let first = timeout(START_LIMIT, lines.next_line())
            .await
            .wrap_err_with(|| format!("{args:?} does not listen after {START_LIMIT:?}"))??;
        let address = first.as_deref().and_then(|line| line.rsplit(' ').next());
        let address = address
            .and_then(|raw| raw.parse().ok())
            .ok_or_else(|| eyre!("{args:?} ended: see {}", log.display()))?;
        Ok((process, address))
    }

    fn spawn(program: &Path, args: &[String], out: Stdio, err: Stdio) -> eyre::Result<Self> {
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("{} can't be started: build it first", program.display()))?;
        Ok(Self { child })
    }

    /// Its number; none once it has ended.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// How it ended; none while it runs.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for its end; none if it runs for longer than `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        timeout(limit, self.child.wait()).await.ok()?.ok()
    }

    /// Sends it a signal.
    ///
    /// # Errors
    /// If it has ended or the signal can't be sent.
    pub async fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let id = self.id().ok_or_else(|| eyre!("the process has ended"))?;
        let status = Command::new("kill")
            .args([signal.flag(), &id.to_string()])
            .status()
            .await
            .wrap_err("`kill` can't be run")?;
        if status.success() {
            return Ok(());
        }
        Err(eyre!("`kill {} {id}` failed", signal.flag()))
    }

    /// Kills it, also when it is frozen, and waits for its end.
    pub async fn kill(&mut self) {
        // It fails only on a process that has ended.
        drop(self.child.kill().await);
    }

    /// Resident memory in bytes and processor time in clock ticks; none once it has ended.
    #[must_use]
    pub fn usage(&self) -> Option<Usage> {
        let id = self.id()?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        Usage::parse(&status, &stat)
    }
}

/// What a process uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Resident memory, in bytes.
    pub resident: u64,
    /// Processor time, in seconds.
    pub cpu_seconds: f64,
}

/// Clock ticks a second, as the kernel reports times to programs on every common platform.
const TICKS_PER_SECOND: f64 = 100.0;

/// Places of user and system time in `/proc/…/stat`, counted from the field after the name.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

impl Usage {
    fn parse(status: &str, stat: &str) -> Option<Self> {
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kibibytes: u64 = resident.split_whitespace().next()?.parse().ok()?;
        let (_, fields) = stat.rsplit_once(") ")?;
        let fields: Vec<&str> = fields.split(' ').collect();
        let ticks = |at: usize| fields.get(at)?.parse::<f64>().ok();
        Some(Self {
            resident: kibibytes * 1_024,
            cpu_seconds: (ticks(USER_TIME)? + ticks(SYSTEM_TIME)?) / TICKS_PER_SECOND,
        })
    }
}

fn open(log: &Path) -> eyre::Result<File> {
    File::options()
        .create(true)
        .append(true)
        .open(log)
        .wrap_err_with(|| format!("{} can't be written", log.display()))
}
