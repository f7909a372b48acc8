//! Connections to sound targets whose packets are lost for about a second.

use std::time::Duration;

use bluebellstage_daemon::http_client;
use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Instruction of a packet filter that returns a constant.
const RETURN_CONSTANT: u16 = 0x06;

/// Answers after 31.5 s, and loses all packets in the second after the first 15 s of silence.
async fn answer_late(mut stream: TcpStream) {
    let mut buf = [0; 1_024];
    let _read = stream.read(&mut buf).await.unwrap();
    sleep(Duration::from_millis(14_800)).await;
    let lose_all = [SockFilter::new(RETURN_CONSTANT, 0, 0, 0)];
    SockRef::from(&stream).attach_filter(&lose_all).unwrap();
    sleep(Duration::from_millis(1_200)).await;
    SockRef::from(&stream).detach_filter().unwrap();
    sleep(Duration::from_millis(15_500)).await;
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    // The client may have given up.
    let _sent_or_given_up = stream.write_all(answer.as_bytes()).await;
}

/// Guards against the library's user timeout, which ends a silent run after one lost keep-alive probe.
#[tokio::test]
async fn a_silent_run_outlasts_a_second_of_silence_of_its_target() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        answer_late(stream).await;
    });
    let client = http_client().build().unwrap();
    let answered = client.get(url).send().await;
    assert_eq!(answered.unwrap().text().await.unwrap(), "ok");
}
