//! A mock discovery agent whose outage the test controls.

use super::chunk;
use super::discovery::read_request_line;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// How the agent handles calls. A call keeps the mode in which it arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentMode {
    /// Accepts a call and sends nothing until the outage ends; then answers it if it is still open.
    Silent,
    /// Accepts a call and never answers it, even after the outage has ended.
    NeverAnswering,
    /// Resets the connection of a call.
    Reset,
    /// Answers a call with status 503 and closes its connection.
    Busy,
    /// Answers a call with this list; a watch stays open.
    Answering(String),
}

/// The state shared by the agent's threads.
struct AgentState {
    mode: Mutex<AgentMode>,
    changed: Condvar,
}

/// A mock discovery agent, which reports each call to the test.
pub struct DiscoveryAgent {
    pub address: SocketAddr,
    state: Arc<AgentState>,
    calls: Receiver<()>,
    /// The sender that reports calls; `None` once the agent listens.
    call_sender: Option<Sender<()>>,
}

impl DiscoveryAgent {
    /// Starts to listen, in this mode.
    pub fn start(mode: AgentMode) -> DiscoveryAgent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut agent = DiscoveryAgent::reserve(listener.try_clone().unwrap());
        *agent.state.mode.lock().unwrap() = mode;
        agent.listen(listener);
        agent
    }

    /// Creates an agent that has the address of this listener and does not listen yet. The handle is closed:
    /// if it was the only one, calls are refused until [`DiscoveryAgent::answer_with`] listens at the
    /// address.
    pub fn reserve(listener: TcpListener) -> DiscoveryAgent {
        let state = AgentState { mode: Mutex::new(AgentMode::Silent), changed: Condvar::new() };
        let (sender, calls) = channel();
        let address = listener.local_addr().unwrap();
        DiscoveryAgent { address, state: Arc::new(state), calls, call_sender: Some(sender) }
    }

    fn listen(&mut self, listener: TcpListener) {
        let (state, calls) = (self.state.clone(), self.call_sender.take().unwrap());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (state, calls) = (state.clone(), calls.clone());
                std::thread::spawn(move || state.serve(stream, &calls));
            }
        });
    }

    /// Waits for the next call.
    pub fn wait_for_call(&self) {
        self.calls.recv_timeout(Duration::from_secs(15)).expect("the proxy opens a call");
    }

    /// Ends the outage: answers calls with this list from now on.
    pub fn answer_with(&mut self, list: &str) {
        *self.state.mode.lock().unwrap() = AgentMode::Answering(list.into());
        if self.call_sender.is_some() {
            self.listen(TcpListener::bind(self.address).unwrap());
        }
        self.state.changed.notify_all();
    }
}

impl AgentState {
    fn serve(&self, mut stream: TcpStream, calls: &Sender<()>) {
        let request_line = read_request_line(&stream).unwrap_or_default();
        let mode = self.mode.lock().unwrap().clone();
        let _ = calls.send(());
        match mode {
            AgentMode::NeverAnswering => return std::thread::sleep(Duration::from_secs(60)),
            AgentMode::Reset => {
                let _ = rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
                return;
            }
            AgentMode::Busy => {
                let _ = stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            AgentMode::Silent | AgentMode::Answering(_) => {}
        }
        let list = self.wait_for_list();
        if request_line.contains("stream=1") {
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let _ = stream.write_all(format!("{head}{}", chunk(&list)).as_bytes());
            // The watch stays open. It carries no heartbeat, so the proxy replaces it when its silence
            // timeout expires.
            std::thread::sleep(Duration::from_secs(60));
        } else {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            let _ = stream.write_all(format!("{head}{list}").as_bytes());
        }
    }

    /// Waits until the outage has ended, and returns the list.
    fn wait_for_list(&self) -> String {
        let mut mode = self.mode.lock().unwrap();
        loop {
            if let AgentMode::Answering(list) = &*mode {
                return list.clone();
            }
            mode = self.changed.wait(mode).unwrap();
        }
    }
}
