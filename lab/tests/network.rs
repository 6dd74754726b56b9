//! Relays: what passes, what is held back, and what is refused.

use gullpulley_lab::network::datagrams::{self, Post};
use gullpulley_lab::network::relay::{Place, relay};
use gullpulley_lab::network::{Network, Way, listen};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

const PATIENCE: Duration = Duration::from_secs(30);
/// Nothing more comes after a silence of this length.
const QUIET: Duration = Duration::from_millis(300);

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
    let way = watch::Sender::new(Way::default());
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

/// Two copies' own sockets, each with the address that the other is known by.
async fn posts(part: u8) -> ([(UdpSocket, SocketAddr); 2], Arc<Network>, JoinSet<()>) {
    let process = std::process::id();
    let at =
        |port| SocketAddr::from(([127, 1 + (process >> 8) as u8 % 250, process as u8, 230 + part], port));
    let posts = [0, 1].map(|n| Post { own: at(3200 + n), known: at(3300 + n), zone: n as usize });
    let (network, mut tasks) = (Network::new(2, |_, _| Duration::ZERO), JoinSet::new());
    datagrams::pass(&posts, &network, &mut tasks).await.unwrap();
    let own = [UdpSocket::bind(posts[0].own).await.unwrap(), UdpSocket::bind(posts[1].own).await.unwrap()];
    let [a, b] = own;
    ([(a, posts[1].known), (b, posts[0].known)], network, tasks)
}

/// Sends numbered datagrams; the numbers that arrive, in their order, until nothing comes any more.
async fn sent(from: &UdpSocket, to: SocketAddr, at: &UdpSocket, known: SocketAddr, count: u32) -> Vec<u32> {
    // All of them fit into what the system holds for a socket, whoever reads how late.
    let sending = async {
        for number in 0..count {
            from.send_to(&number.to_le_bytes(), to).await.unwrap();
        }
    };
    let reading = async {
        let (mut arrived, mut datagram) = (Vec::new(), [0; 4]);
        while let Ok(Ok((4, source))) = timeout(QUIET, at.recv_from(&mut datagram)).await {
            assert_eq!(source, known, "it comes as from the address that its sender is known by");
            arrived.push(u32::from_le_bytes(datagram));
        }
        arrived
    };
    tokio::join!(sending, reading).1
}

#[tokio::test]
async fn datagrams_come_or_are_lost_doubled_late_or_cut_off_as_the_way_says() {
    const COUNT: u32 = 160;
    let ([(a, to_b), (b, to_a)], network, _tasks) = posts(5).await;
    let there = || sent(&a, to_b, &b, to_a, COUNT);
    assert_eq!(there().await, (0..COUNT).collect::<Vec<_>>(), "whole and in order");
    let between = |way: Way| network.change_between(0, 1, |between| *between = way);
    between(Way { loss: 0.5, ..Way::default() });
    let half = there().await.len() as u32;
    assert!((COUNT / 4..COUNT * 3 / 4).contains(&half), "{half} of {COUNT}, where half are lost");
    between(Way { duplicate: 0.5, ..Way::default() });
    let doubled = there().await.len() as u32;
    assert!(
        (COUNT * 5 / 4..COUNT * 7 / 4).contains(&doubled),
        "{doubled} of {COUNT}, where half come twice"
    );
    between(Way { reorder: 0.2, ..Way::default() });
    let mut shuffled = there().await;
    assert!(!shuffled.is_sorted() && shuffled.len() as u32 == COUNT, "all come, some after later ones");
    shuffled.sort();
    assert_eq!(shuffled, (0..COUNT).collect::<Vec<_>>());
    between(Way { cut: true, ..Way::default() });
    assert!(there().await.is_empty(), "cut off this way");
    assert_eq!(sent(&b, to_a, &a, to_b, 3).await, [0, 1, 2], "and open the other");
    between(Way::default());
    network.change(0, 1, |way| way.cut = true);
    assert!(there().await.is_empty(), "the zones' way counts as well");
}

#[tokio::test]
async fn connections_break_now_and_then_and_what_a_hole_swallows_never_comes() {
    let relayed = relayed(3).await;
    relayed.way.send_modify(|way| way.breaks = 0.2);
    let mut broken = 0;
    for _ in 0..100 {
        let mut stream = TcpStream::connect(relayed.at).await.unwrap();
        broken += usize::from(echoed(&mut stream, b"x").await.is_err());
    }
    assert!(
        (10..70).contains(&broken),
        "{broken} of 100 break, of two pieces each with a chance of a fifth"
    );
    relayed.way.send_modify(|way| (way.breaks, way.hole) = (0.0, true));
    let mut stream = TcpStream::connect(relayed.at).await.unwrap();
    stream.write_all(b"lost").await.unwrap();
    assert!(timeout(QUIET, stream.read(&mut [0; 4])).await.is_err(), "silence");
    relayed.way.send_modify(|way| way.hole = false);
    stream.write_all(b"more").await.unwrap();
    assert!(timeout(QUIET, stream.read(&mut [0; 4])).await.is_err(), "and silence after it");
    let mut stream = TcpStream::connect(relayed.at).await.unwrap();
    assert_eq!(echoed(&mut stream, b"new").await.unwrap(), b"new");
}

#[tokio::test]
async fn what_is_cut_off_is_held_back_and_comes_once_the_way_is_open() {
    let relayed = relayed(1).await;
    let mut stream = TcpStream::connect(relayed.at).await.unwrap();
    assert_eq!(echoed(&mut stream, b"before").await.unwrap(), b"before");
    relayed.way.send_modify(|way| way.cut = true);
    stream.write_all(b"held").await.unwrap();
    let mut back = [0; 4];
    let silence = timeout(QUIET, stream.read_exact(&mut back)).await;
    assert!(silence.is_err(), "nothing comes through");
    relayed.way.send_modify(|way| way.cut = false);
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
