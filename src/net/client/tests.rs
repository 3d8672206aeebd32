use super::connection::PartialBatch;
use super::deadlines::Deadlines;
use super::write_buffer::{Added, MAX_WAITING_ANSWERS, WriteBuffer, WriteLimits};
use crate::client::BatchEnd;
use crate::pg::ProtocolError;
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const MAX_TOTAL: usize = 100;
const LIMITS: WriteLimits = WriteLimits { max_answers: MAX_WAITING_ANSWERS, max_total_bytes: MAX_TOTAL };

fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (client, listener.accept().unwrap().0)
}

#[test]
fn first_answer_in_an_empty_buffer_is_accepted_whatever_its_size() {
    let total = AtomicUsize::new(0);
    let mut buffer = WriteBuffer::default();
    assert!(buffer.push(vec![0; MAX_TOTAL + 1], &total, LIMITS) == Added::First);
    assert!(buffer.push(vec![0], &total, LIMITS) == Added::Rejected);
    assert_eq!(total.load(Ordering::SeqCst), MAX_TOTAL + 1);
    assert_eq!(buffer.counted_bytes(), MAX_TOTAL + 1);
}

#[test]
fn waiting_answers_are_limited_in_bytes_and_in_number() {
    let total = AtomicUsize::new(0);
    let mut buffer = WriteBuffer::default();
    assert!(buffer.push(vec![0; 60], &total, LIMITS) == Added::First);
    assert!(buffer.push(vec![0; 41], &total, LIMITS) == Added::Rejected);
    assert!(buffer.push(vec![0; 40], &total, LIMITS) == Added::Queued);
    for _ in 2..16 {
        assert!(buffer.push(vec![], &total, LIMITS) == Added::Queued);
    }
    assert!(buffer.push(vec![], &total, LIMITS) == Added::Rejected);
    assert_eq!(total.load(Ordering::SeqCst), MAX_TOTAL);
}

/// Guards against first answers, which are accepted whatever the limits: one of each client could exhaust the
/// memory if no client reads.
#[test]
fn first_answers_exceed_the_memory_only_above_the_part_of_their_client() {
    let total = AtomicUsize::new(0);
    let mut buffers = [(); 3].map(|()| WriteBuffer::default());
    for (buffer, length) in buffers.iter_mut().zip([90, 40, 15]) {
        assert!(buffer.push(vec![0; length], &total, LIMITS) == Added::First);
    }
    let exceeds = |max_total| buffers.each_ref().map(|buffer| buffer.exceeds(20, &total, max_total));
    assert_eq!(exceeds(145), [false, false, false]);
    assert_eq!(exceeds(144), [true, true, false]);
}

#[test]
fn flush_writes_answers_in_order_and_subtracts_them_from_the_total() {
    let total = AtomicUsize::new(0);
    let mut buffer = WriteBuffer::default();
    buffer.push(b"first ".to_vec(), &total, LIMITS);
    buffer.push(b"second".to_vec(), &total, LIMITS);
    let (mut client, server) = connected_pair();
    assert!(buffer.flush(&server, &total));
    assert!(buffer.is_empty());
    assert_eq!(total.load(Ordering::SeqCst), 0);
    let mut received = [0; 12];
    client.read_exact(&mut received).unwrap();
    assert_eq!(&received, b"first second");
}

#[test]
fn all_bytes_of_an_answer_count_until_it_is_written_completely() {
    let length = 64 << 20;
    let total = AtomicUsize::new(0);
    let mut buffer = WriteBuffer::default();
    buffer.push(vec![0; length], &total, LIMITS);
    let (_client, server) = connected_pair();
    server.set_nonblocking(true).unwrap();
    assert!(buffer.flush(&server, &total));
    assert!(buffer.unwritten_bytes() > 0 && buffer.unwritten_bytes() < length);
    assert_eq!(buffer.counted_bytes(), length);
    assert_eq!(total.load(Ordering::SeqCst), length);
}

#[test]
fn deadlines_expire_once_and_in_order_of_time() {
    let past = Instant::now();
    let later_past = past + Duration::from_nanos(1);
    let future = past + Duration::from_secs(3600);
    let mut deadlines = Deadlines::default();
    deadlines.replace(1, None, Some(later_past));
    deadlines.replace(2, None, Some(past));
    deadlines.replace(3, None, Some(past));
    deadlines.replace(3, Some(past), Some(future));
    deadlines.replace(4, None, Some(past));
    deadlines.replace(4, Some(past), None);
    std::thread::sleep(Duration::from_millis(1));
    assert_eq!(deadlines.pop_expired(), Some(2));
    assert_eq!(deadlines.pop_expired(), Some(1));
    assert_eq!(deadlines.pop_expired(), None);
    assert_eq!(deadlines.next(), Some(future));
}

#[test]
fn batch_is_limited_in_messages_and_in_bytes() {
    let mut batch = PartialBatch::default();
    for _ in 0..1024 {
        assert!(batch.push(&[0; 5]).is_ok());
    }
    assert!(matches!(batch.push(&[0; 5]), Err(ProtocolError::BatchTooLong)));
    let mut batch = PartialBatch::default();
    assert!(batch.push(&[0; 256 * 1024]).is_ok());
    assert!(matches!(batch.push(&[0]), Err(ProtocolError::BatchTooLong)));
}

#[test]
fn batch_ends_with_a_sync_or_flush_without_body_or_is_a_query_by_itself() {
    let mut batch = PartialBatch::default();
    assert!(batch.push(b"P\0\0\0\x04").is_ok());
    assert!(batch.end_with(BatchEnd::Sync, b"S\0\0\0\x04").is_ok());
    assert!(batch.end_with(BatchEnd::Flush, b"H\0\0\0\x04").is_ok());
    let with_body = batch.end_with(BatchEnd::Sync, b"S\0\0\0\x05x");
    assert!(matches!(with_body, Err(ProtocolError::UnexpectedBody)));
    let query = b"Q\0\0\0\x05\0";
    assert!(matches!(batch.end_with(BatchEnd::Query, query), Err(ProtocolError::QueryWithinBatch)));
    let mut alone = PartialBatch::default();
    assert!(alone.end_with(BatchEnd::Query, query).is_ok());
    assert_eq!(alone.messages, [query.to_vec()]);
    assert_eq!(alone.bytes, query.len());
}
