//! Endpoints and clients of bodies and answers that are too large to be held.
#![allow(dead_code)]

use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// Bytes that tell where they belong.
pub fn large(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n % 251) as u8).collect()
}

/// An endpoint that does this with each connection, given what follows the head of its first request.
pub fn endpoint(serve: impl Fn(&str, BufReader<TcpStream>) + Send + Sync + 'static) -> SocketAddr {
    endpoint_at(TcpListener::bind("127.0.0.1:0").unwrap(), serve)
}

/// The same with a listener that has its options already.
pub fn endpoint_at(
    listener: TcpListener,
    serve: impl Fn(&str, BufReader<TcpStream>) + Send + Sync + 'static,
) -> SocketAddr {
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                let mut head = String::new();
                while !head.ends_with("\r\n\r\n") && reader.read_line(&mut head).is_ok_and(|n| n > 0) {}
                if head.ends_with("\r\n\r\n") {
                    serve(&head, reader);
                }
            });
        }
    });
    address
}

/// A listener whose connections have this receive buffer; the system's own choice if none.
pub fn listener(receive_buffer: Option<usize>) -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    if let Some(bytes) = receive_buffer {
        socket.set_recv_buffer_size(bytes).unwrap();
    }
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(16).unwrap();
    TcpListener::from(socket)
}

/// Reads a chunked body to its end.
pub fn read_chunks(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut all = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim_end(), 16).ok()?;
        let mut piece = vec![0; size + 2];
        reader.read_exact(&mut piece).ok()?;
        if size == 0 {
            return Some(all);
        }
        all.extend_from_slice(&piece[..size]);
    }
}

/// Whether these bytes are the head of a message and this whole body behind it.
pub fn is_whole(raw: &[u8], body: &[u8]) -> bool {
    let Some(end) = raw.windows(4).position(|bytes| bytes == b"\r\n\r\n") else { return false };
    let (head, mut rest) = raw.split_at(end + 4);
    let chunked = String::from_utf8_lossy(head).to_lowercase().contains("chunked");
    if chunked { read_chunks(&mut rest).is_some_and(|chunks| chunks == body) } else { rest == body }
}
