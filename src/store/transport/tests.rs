use super::*;
use std::io::ErrorKind;

/// Longer than it takes to accept and close a connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Connects with a time limit for reads.
fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(CLOSE_TIMEOUT)).unwrap();
    stream
}

/// Whether the other side closes the connection within the stream's read timeout.
fn is_closed(mut stream: &TcpStream) -> bool {
    match stream.read(&mut [0]) {
        Ok(length) => length == 0,
        Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
    }
}

#[test]
fn connections_over_the_limit_are_closed_until_another_connection_ends() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (requests, _inbox) = bounded(1);
    listen(listener, requests).unwrap();
    let mut open: Vec<_> = (0..MAX_CONNECTIONS).map(|_| connect(address)).collect();
    assert!(is_closed(&connect(address)), "a connection above the limit stays open");
    let last = open.pop().unwrap();
    last.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    assert!(!is_closed(&last), "the last connection within the limit is closed");
    drop(last);
    // The thread of the closed connection frees its slot at some later time.
    let start = std::time::Instant::now();
    loop {
        let stream = connect(address);
        stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
        if !is_closed(&stream) {
            return;
        }
        assert!(start.elapsed() < CLOSE_TIMEOUT, "the slot of a closed connection is not freed");
    }
}
