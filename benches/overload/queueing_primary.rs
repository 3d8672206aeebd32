//! A stand-in primary with finite workers and a finite waiting room.

use crate::support::wire::{put_message, read_message};
use std::io::{Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The requests that the primary works on, and those that wait.
#[derive(Default)]
struct Load {
    working: usize,
    waiting: usize,
}

/// A primary that serves simple queries. It works on a limited number of requests at a time, lets some more
/// wait, and rejects the others with 53300.
pub struct QueueingPrimary {
    pub address: SocketAddr,
    workers: usize,
    waiting_room: usize,
    work: Duration,
    load: Mutex<Load>,
    worker_is_free: Condvar,
    attempts: AtomicUsize,
}

impl QueueingPrimary {
    /// Starts a primary on a free port.
    pub fn start(workers: usize, waiting_room: usize, work: Duration) -> Arc<QueueingPrimary> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let primary = Arc::new(QueueingPrimary {
            address: listener.local_addr().unwrap(),
            workers,
            waiting_room,
            work,
            load: Mutex::default(),
            worker_is_free: Condvar::new(),
            attempts: AtomicUsize::new(0),
        });
        let accepting = primary.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let primary = accepting.clone();
                std::thread::spawn(move || primary.serve(stream));
            }
        });
        primary
    }

    /// The number of requests that have arrived.
    pub fn attempts(&self) -> usize {
        self.attempts.load(Ordering::SeqCst)
    }

    fn serve(&self, mut stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let mut length = [0; 4];
        stream.read_exact(&mut length)?;
        stream.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4])?;
        let mut greeting = Vec::new();
        put_message(&mut greeting, b'R', &[0; 4]);
        put_message(&mut greeting, b'Z', b"I");
        stream.write_all(&greeting)?;
        while let Some((b'Q', body)) = read_message(&mut stream) {
            let mut reply = Vec::new();
            match body.as_slice() {
                b"\0" => put_message(&mut reply, b'I', &[]),
                b"SHOW health\0" => {
                    put_row(&mut reply, &format!("x0={:.3},x1=1", position_ms() as f64 / 1e3))
                }
                _ if self.work_on_request() => put_row(&mut reply, "value"),
                _ => put_message(&mut reply, b'E', b"SERROR\0C53300\0Mqueue full\0\0"),
            }
            put_message(&mut reply, b'S', b"recovery\0off\0");
            put_message(&mut reply, b'S', format!("lsn_ms\0{}\0", position_ms()).as_bytes());
            put_message(&mut reply, b'Z', b"I");
            stream.write_all(&reply)?;
        }
        Ok(())
    }

    /// Waits for a worker and works on a request; returns `false` if the waiting room is full.
    fn work_on_request(&self) -> bool {
        self.attempts.fetch_add(1, Ordering::SeqCst);
        let mut load = self.load.lock().unwrap();
        if load.working == self.workers {
            if load.waiting == self.waiting_room {
                return false;
            }
            load.waiting += 1;
            while load.working == self.workers {
                load = self.worker_is_free.wait(load).unwrap();
            }
            load.waiting -= 1;
        }
        load.working += 1;
        drop(load);
        std::thread::sleep(self.work);
        self.load.lock().unwrap().working -= 1;
        self.worker_is_free.notify_one();
        true
    }
}

fn put_row(out: &mut Vec<u8>, value: &str) {
    put_message(out, b'T', b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    let length = (value.len() as u32).to_be_bytes();
    put_message(out, b'D', &[&[0, 1][..], &length, value.as_bytes()].concat());
    put_message(out, b'C', b"DONE\0");
}

fn position_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}
