//! The thread that takes datagrams off the socket.

use super::Stats;
use crate::fleet::members::MAX_DATAGRAM_BYTES;
use crossbeam_channel::{Sender, TrySendError};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::Ordering::Relaxed;
use std::thread::sleep;
use std::time::Duration;
use tracing::{info, warn};

/// An address that is in use is tried again this often: during an upgrade the older process has it until it ends, and
/// nothing says when.
const BIND_LOOK: Duration = Duration::from_millis(100);
/// Wait after a failed receive.
const PAUSE: Duration = Duration::from_millis(10);

/// Binds, hands the socket on for sending, and passes on what comes until the process ends.
pub(super) fn work(listen: SocketAddr, bound: &Sender<UdpSocket>, came: &Sender<Vec<u8>>, stats: &Stats) {
    let socket = bind(listen);
    let Ok(sending) = socket.try_clone() else {
        return warn!("fleet: {listen}: out of descriptors; this process stays by itself");
    };
    let _ = bound.send(sending); // fails only while the process ends
    // One byte more than may come shows what is too long.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        // A sender that has gone shows as an error on some systems; the socket stays good.
        let Ok(size) = socket.recv(&mut buffer) else {
            sleep(PAUSE);
            continue;
        };
        stats.received[0].fetch_add(1, Relaxed);
        stats.received[1].fetch_add(size as u64, Relaxed);
        let full = match came.try_send(buffer[..size].to_vec()) {
            Ok(()) => 0,
            Err(TrySendError::Full(_)) => 1,
            Err(TrySendError::Disconnected(_)) => return,
        };
        stats.dropped[Stats::FULL].fetch_add(full, Relaxed);
    }
}

fn bind(listen: SocketAddr) -> UdpSocket {
    let mut told = None;
    loop {
        match UdpSocket::bind(listen) {
            Ok(socket) => return socket,
            Err(e) => {
                // Said once for each reason.
                if told.replace(e.kind()) != Some(e.kind()) {
                    match e.kind() {
                        ErrorKind::AddrInUse => {
                            info!("fleet: {listen} is in use; this process joins when it is free");
                        }
                        _ => {
                            warn!("fleet: {listen}: {e}; this process stays by itself until that is mended")
                        }
                    }
                }
                sleep(BIND_LOOK);
            }
        }
    }
}
