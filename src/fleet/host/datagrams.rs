//! The thread that receives datagrams from the socket.

use super::Stats;
use crate::fleet::members::MAX_DATAGRAM_BYTES;
use crossbeam_channel::{Sender, TrySendError};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::Ordering::Relaxed;
use std::thread::sleep;
use std::time::Duration;
use tracing::{info, warn};

/// Interval between attempts to bind an address in use: during a hot restart the predecessor holds it until
/// it ends, which gives no event.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Binds the socket, passes a clone of it on for sending, and queues received datagrams until the process
/// ends.
pub(super) fn run(
    listen: SocketAddr,
    bound: &Sender<UdpSocket>,
    received: &Sender<Vec<u8>>,
    stats: &Stats,
) {
    let socket = bind(listen);
    let Ok(send_socket) = socket.try_clone() else {
        return warn!(
            "fleet: {listen}: could not duplicate the socket; this process does not join the fleet"
        );
    };
    let _ = bound.send(send_socket); // fails only while the process ends
    // One byte above the limit, so that longer datagrams are detected.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        // On some systems a peer that is gone is reported as a receive error; the socket stays usable.
        let Ok(size) = socket.recv(&mut buffer) else {
            sleep(RECEIVE_RETRY_DELAY);
            continue;
        };
        stats.received[0].fetch_add(1, Relaxed);
        stats.received[1].fetch_add(size as u64, Relaxed);
        let full = match received.try_send(buffer[..size].to_vec()) {
            Ok(()) => 0,
            Err(TrySendError::Full(_)) => 1,
            Err(TrySendError::Disconnected(_)) => return,
        };
        stats.dropped[Stats::FULL].fetch_add(full, Relaxed);
    }
}

fn bind(listen: SocketAddr) -> UdpSocket {
    let mut last_error = None;
    loop {
        match UdpSocket::bind(listen) {
            Ok(socket) => return socket,
            Err(e) => {
                // Logged once per kind of error.
                if last_error.replace(e.kind()) != Some(e.kind()) {
                    match e.kind() {
                        ErrorKind::AddrInUse => {
                            info!("fleet: address {listen} is in use; this process joins once it is free");
                        }
                        _ => {
                            warn!(
                                "fleet: {listen}: bind failed: {e}; retrying, this process joins once it succeeds"
                            )
                        }
                    }
                }
                sleep(BIND_RETRY_INTERVAL);
            }
        }
    }
}
