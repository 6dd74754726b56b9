//! Relays: what passes, what is held back, and what is refused.

use gullpulley_lab::network::{Place, Way, listen, relay};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

const PATIENCE: Duration = Duration::from_secs(30);

struct Relayed {
    at: SocketAddr,
    way: watch::Sender<Way>,
    up: watch::Sender<bool>,
}

/// A relay to an echo, of which there is one for each `part`.
async fn relayed(part: u8) -> Relayed {
    let process = std::process::id();
    let own = [127, 1 + (process >> 8) as u8 % 250, process as u8, 230 + part];
    let [target, at] = [3100, 3101].map(|port| SocketAddr::from((own, port)));
    let echo = listen(target).await.unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = echo.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    let way = watch::Sender::new(Way { delay: Duration::ZERO, loss: 0.0, open: true, reset: false });
    let up = watch::Sender::new(true);
    let first = listen(at).await.unwrap();
    tokio::spawn(relay(first, Place { at, target }, way.subscribe(), way.subscribe(), up.subscribe()));
    Relayed { at, way, up }
}

async fn echoed(stream: &mut TcpStream, text: &[u8]) -> std::io::Result<Vec<u8>> {
    stream.write_all(text).await?;
    let mut back = vec![0; text.len()];
    timeout(PATIENCE, stream.read_exact(&mut back)).await.expect("an echo in time")?;
    Ok(back)
}

#[tokio::test]
async fn bytes_come_whole_in_order_and_as_late_as_the_way_says() {
    let relayed = relayed(0).await;
    let mut stream = TcpStream::connect(relayed.at).await.unwrap();
    let text: Vec<u8> = (0..100_000u32).flat_map(|n| n.to_le_bytes()).collect();
    assert!(echoed(&mut stream, &text).await.unwrap() == text);
    relayed.way.send_modify(|way| (way.delay, way.loss) = (Duration::from_millis(30), 0.5));
    let began = Instant::now();
    assert_eq!(echoed(&mut stream, b"later").await.unwrap(), b"later");
    assert!(began.elapsed() >= Duration::from_millis(60), "there and back: {:?}", began.elapsed());
    for chunk in text[..4000].chunks(500) {
        assert!(echoed(&mut stream, chunk).await.unwrap() == chunk, "lost pieces come again, in order");
    }
}

#[tokio::test]
async fn what_is_cut_off_is_held_back_and_comes_once_the_way_is_open() {
    let relayed = relayed(1).await;
    let mut stream = TcpStream::connect(relayed.at).await.unwrap();
    assert_eq!(echoed(&mut stream, b"before").await.unwrap(), b"before");
    relayed.way.send_modify(|way| way.open = false);
    stream.write_all(b"held").await.unwrap();
    let mut back = [0; 4];
    let silence = timeout(Duration::from_millis(200), stream.read_exact(&mut back)).await;
    assert!(silence.is_err(), "nothing comes through");
    relayed.way.send_modify(|way| way.open = true);
    timeout(PATIENCE, stream.read_exact(&mut back)).await.unwrap().unwrap();
    assert_eq!(&back, b"held");
}

#[tokio::test]
async fn a_target_that_is_down_or_reset_ends_its_connections_and_refuses_new_ones_until_it_is_back() {
    let relayed = relayed(2).await;
    let set = |on: bool, reset: bool| match reset {
        true => relayed.way.send_modify(|way| way.reset = on),
        false => drop(relayed.up.send_replace(!on)),
    };
    for reset in [false, true] {
        let mut stream = TcpStream::connect(relayed.at).await.unwrap();
        assert_eq!(echoed(&mut stream, b"up").await.unwrap(), b"up");
        set(true, reset);
        let ended = timeout(PATIENCE, stream.read(&mut [0; 1])).await.unwrap();
        assert!(matches!(ended, Ok(0) | Err(_)), "the connection ends");
        assert!(TcpStream::connect(relayed.at).await.is_err(), "a new one is refused");
        set(false, reset);
        let began = Instant::now();
        while TcpStream::connect(relayed.at).await.is_err() {
            assert!(began.elapsed() < PATIENCE, "it never comes back");
            sleep(Duration::from_millis(5)).await;
        }
    }
}
