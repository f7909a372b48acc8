//! The program itself: its settings, its environment, its signals.

mod support;

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use bluebellstage_standin::platform::{Platform, PlatformConfig};
use reqwest::Client;
use support::{TOKEN, TOKEN_DIGEST};
use tokio::net::TcpListener;
use tokio::time::{Duration, sleep};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bluebellstaged");

/// A directory of its own that is removed at the end.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("bluebellstaged-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _best_effort = std::fs::remove_dir_all(&self.0);
    }
}

/// A process that does not outlive its test.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ended_already = self.0.kill();
        let _ended = self.0.wait();
    }
}

async fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap().port()
}

async fn settings(platform: &Platform) -> (String, u16, u16) {
    let caller = free_port().await;
    let (text, admin) = settings_at(platform, caller).await;
    (text, caller, admin)
}

/// Settings with this port for callers, and the operators' port.
async fn settings_at(platform: &Platform, caller: u16) -> (String, u16) {
    let (peer, admin) = (free_port().await, free_port().await);
    let text = format!(
        "instance: i1\nfailure_domain: a\ncaller_address: 127.0.0.1:{caller}\npeer_address: 127.0.0.1:{peer}\nadmin_address: 127.0.0.1:{admin}\nadmin_tokens: [{TOKEN_DIGEST}]\nplatform:\n  url: http://{}\n",
        platform.address()
    );
    (text, admin)
}

async fn platform() -> Platform {
    support::silence();
    Platform::start(PlatformConfig::default()).await.unwrap()
}

#[test]
fn wrong_settings_end_the_program_before_a_port_opens() {
    let scratch = Scratch::new("wrong");
    let file = scratch.write("settings.yaml", "instance: i1\n");
    for check in [true, false] {
        let mut command = Command::new(PROGRAM);
        command.arg("--settings").arg(&file);
        if check {
            command.arg("--check");
        }
        let output = command.output().unwrap();
        assert_eq!(output.status.code(), Some(2));
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(text.contains("failure_domain: is missing"), "{text}");
    }
}

/// An operator would find an instance on another port, or its calls to the platform at a proxy: the
/// HTTP libraries read a file in the working directory and variables of their own. Only the
/// settings count.
#[tokio::test(flavor = "multi_thread")]
async fn neither_environment_nor_working_directory_changes_the_settings() {
    let platform = platform().await;
    let scratch = Scratch::new("env");
    let (text, caller, admin) = settings(&platform).await;
    let file = scratch.write("settings.yaml", &text);
    let elsewhere = free_port().await;
    scratch.write(
        "Rocket.toml",
        &format!("[default]\nport = {elsewhere}\n[release]\nport = {elsewhere}\n"),
    );
    let nowhere = "http://127.0.0.1:9";
    let child = Command::new(PROGRAM)
        .arg("--settings")
        .arg(&file)
        .current_dir(&scratch.0)
        .env("ROCKET_PORT", elsewhere.to_string())
        .env("ROCKET_CONFIG", scratch.0.join("Rocket.toml"))
        .env("HTTP_PROXY", nowhere)
        .env("http_proxy", nowhere)
        .env("ALL_PROXY", nowhere)
        .stderr(Stdio::null())
        .spawn();
    let mut running = Running(child.unwrap());
    let http = Client::builder().no_proxy().build().unwrap();
    until_ok(&http, &format!("http://127.0.0.1:{admin}/ready")).await;
    until_ok(&http, &format!("http://127.0.0.1:{caller}/v1/entry")).await;
    let refused = http.get(format!("http://127.0.0.1:{elsewhere}/")).send();
    assert!(refused.await.unwrap_err().is_connect());

    let stop = http
        .post(format!("http://127.0.0.1:{admin}/admin/v1/stop"))
        .bearer_auth(TOKEN);
    assert_eq!(stop.send().await.unwrap().status(), 202);
    let status = tokio::task::spawn_blocking(move || running.0.wait())
        .await
        .unwrap()
        .unwrap();
    assert_eq!(status.code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_port_that_is_taken_is_named() {
    let platform = platform().await;
    let scratch = Scratch::new("taken");
    let taken = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let caller = taken.local_addr().unwrap().port();
    let (text, _) = settings_at(&platform, caller).await;
    let file = scratch.write("settings.yaml", &text);
    let output = tokio::task::spawn_blocking(move || {
        Command::new(PROGRAM)
            .arg("--settings")
            .arg(file)
            .output()
            .unwrap()
    });
    let output = output.await.unwrap();
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(
        text.contains(&format!("127.0.0.1:{caller} can't be opened")),
        "{text}"
    );
}

async fn until_ok(http: &Client, url: &str) {
    for _ in 0..6_000 {
        let answer = http.get(url).send().await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("{url} does not answer");
}
