//! Stand-in for the workers of a service.
//!
//! A worker registers itself in the store under its id, checks `Expect-Instance`, runs requests and
//! records them. It can crash, which closes its port and its connections, and start again under the
//! same id.

use std::{
    collections::HashMap,
    io::{BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Head, read_body, read_head},
    record::Record,
    store::Store,
};

/// Interval of the registrations (`HeartbeatMs`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Request that reached a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub worker: String,
    /// Software version of the worker that ran it.
    pub version: String,
    pub attempt: String,
    pub tenant: String,
    pub target: String,
    pub prefix: String,
    pub input_tokens: u64,
    pub resume_from: Option<u64>,
}

/// What workers do with requests; may change while they run.
#[derive(Clone, Debug)]
pub struct Behavior {
    /// Prompt part that crashes the worker.
    pub deadly_part: Option<String>,
    /// Time after a crash until the worker is back.
    pub down: Duration,
    /// So many runs of so many lose their answers: nothing is sent, the connection stays open.
    pub lose: Option<(u64, u64)>,
    /// Time until the first event or the answer.
    pub work: Duration,
    /// Time between two events.
    pub step: Duration,
    /// Requests a second that the worker accepts, named in its answers.
    pub limit: Option<f64>,
}

impl Default for Behavior {
    fn default() -> Self {
        Self {
            deadly_part: None,
            down: Duration::from_secs(2),
            lose: None,
            work: Duration::from_millis(30),
            step: Duration::from_millis(20),
            limit: None,
        }
    }
}

struct State {
    behavior: Behavior,
    /// Number of the current run; odd while the worker is up.
    epoch: u64,
    started_ms: u128,
    version: String,
    sequence: u64,
    registered: bool,
    connections: HashMap<u64, TcpStream>,
    next_connection: u64,
    runs: u64,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    stride: u64,
    state: Arc<Mutex<State>>,
    store: Store,
    record: Record,
}

impl Worker {
    pub fn start(id: &str, service: &str, version: &str, store: &Store, record: &Record) -> Self {
        let listener = TcpListener::bind((crate::own_address(), 0)).expect("a free port");
        let worker = Self {
            id: id.into(),
            service: service.into(),
            address: listener.local_addr().expect("a bound address"),
            stride: crate::STRIDE,
            state: Arc::new(Mutex::new(State {
                behavior: Behavior::default(),
                epoch: 0,
                started_ms: 0,
                version: version.into(),
                sequence: 0,
                registered: false,
                connections: HashMap::new(),
                next_connection: 0,
                runs: 0,
            })),
            store: store.clone(),
            record: record.clone(),
        };
        worker.begin(listener);
        let beating = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.register();
            }
        });
        worker
    }

    pub fn set(&self, change: impl FnOnce(&mut Behavior)) {
        change(&mut self.state.lock().unwrap().behavior);
    }

    pub fn is_up(&self) -> bool {
        self.state.lock().unwrap().epoch % 2 == 1
    }

    /// Starts a run of the worker.
    fn begin(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a socket option");
        let epoch = {
            let mut state = self.state.lock().unwrap();
            state.epoch += 1;
            let now = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .expect("a clock");
            state.started_ms = now.as_millis();
            state.epoch
        };
        let worker = self.clone();
        thread::spawn(move || {
            while worker.state.lock().unwrap().epoch == epoch {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let worker = worker.clone();
                        thread::spawn(move || worker.serve_connection(stream, epoch));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        self.register();
    }

    fn register(&self) {
        let mut state = self.state.lock().unwrap();
        if state.epoch % 2 == 0 {
            return;
        }
        state.sequence += 1;
        state.registered = true;
        let row = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"a\",\"Version\":\"{}\",\"Slots\":64,\
             \"State\":\"ready\",\"ColdRemainingMs\":0,\"Phase\":\"mixed\",\"Models\":[{{\"Name\":\"m\",\
             \"Version\":1,\"Adapters\":[]}}],\"Sequence\":{},\"born\":{}}}",
            self.service, self.address, state.version, state.sequence, state.started_ms
        );
        drop(state);
        self.store.put("servers", &self.id, Some(&row));
    }

    /// Crashes the current run. The worker is back after `down`, with this software version. Its
    /// registration expires after three heartbeats.
    pub fn crash(&self, epoch: Option<u64>, down: Duration, version: Option<&str>) {
        let mut state = self.state.lock().unwrap();
        if state.epoch % 2 == 0 || epoch.is_some_and(|epoch| epoch != state.epoch) {
            return;
        }
        state.epoch += 1;
        state.sequence = 0;
        if let Some(version) = version {
            state.version = version.into();
        }
        for connection in state.connections.values() {
            let _ = connection.shutdown(Shutdown::Both);
        }
        state.connections.clear();
        drop(state);
        self.record.crash(&self.id);
        let worker = self.clone();
        thread::spawn(move || {
            let back = Instant::now() + down;
            thread::sleep(down.min(HEARTBEAT * 3));
            if down > HEARTBEAT * 3 {
                worker.store.put("servers", &worker.id, None);
                thread::sleep(back.saturating_duration_since(Instant::now()));
            }
            let listener = loop {
                match TcpListener::bind(worker.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(5)),
                }
            };
            worker.begin(listener);
            worker.record.line(&format!("worker {} is back", worker.id));
        });
    }

    fn serve_connection(&self, stream: TcpStream, epoch: u64) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let number = {
            let mut state = self.state.lock().unwrap();
            if state.epoch != epoch {
                return;
            }
            state.next_connection += 1;
            let number = state.next_connection;
            state
                .connections
                .insert(number, stream.try_clone().expect("a handle"));
            number
        };
        let mut reader = BufReader::new(&stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(_body) = read_body(&head, &mut reader) else {
                break;
            };
            if !self.answer(&head, &stream, epoch) {
                break;
            }
        }
        self.state.lock().unwrap().connections.remove(&number);
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Answers one request; `false` if the connection ends.
    fn answer(&self, head: &Head, mut stream: &TcpStream, epoch: u64) -> bool {
        let attempt = head.get("attempt-id").to_owned();
        if head.get("expect-instance") != self.id {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nInstance-Id: {}\r\n\
                 Content-Length: 0\r\n\r\n",
                self.id
            );
            return stream.write_all(text.as_bytes()).is_ok();
        }
        let mut counts = head.get("token-count").split(',');
        let mut count = || {
            counts
                .next()
                .and_then(|count| count.trim().parse().ok())
                .unwrap_or(0)
        };
        let (input_tokens, output_tokens): (u64, u64) = (count(), count());
        let (behavior, version, run) = {
            let mut state = self.state.lock().unwrap();
            if state.epoch != epoch {
                return false;
            }
            state.runs += 1;
            (state.behavior.clone(), state.version.clone(), state.runs)
        };
        let resume_from = head.number("last-event-id");
        self.record.run(Run {
            at: Instant::now(),
            worker: self.id.clone(),
            version,
            attempt: attempt.clone(),
            tenant: head.get("tenant").into(),
            target: head.second().into(),
            prefix: head.get("prompt-prefix").into(),
            input_tokens,
            resume_from,
        });
        if behavior.lose.is_some_and(|(lost, of)| run % of < lost) {
            // The run goes on until the caller closes the connection.
            let _ = stream.read(&mut [0]);
            return false;
        }
        thread::sleep(behavior.work);
        let mut common = format!(
            "Attempt-Id: {attempt}\r\nResponse-Seal: seal-{attempt}\r\nServer-Load: 1,0,64\r\n\
             Keep-Alive: timeout=5\r\n"
        );
        if let Some(limit) = behavior.limit {
            common += &format!("Server-Limit: {limit}\r\n");
        }
        if head.get("token-count").is_empty() {
            let body = format!("answer to {attempt}");
            let text = format!(
                "HTTP/1.1 200 OK\r\n{common}Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            return stream.write_all(text.as_bytes()).is_ok();
        }
        let text = format!(
            "HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return false;
        }
        let is_deadly = behavior.deadly_part.as_ref().is_some_and(|deadly| {
            let parts = head.get("prompt-prefix").split(',');
            parts
                .filter_map(|part| part.split(':').next())
                .any(|id| id == deadly)
        });
        if is_deadly {
            let _ = stream.write_all(b"8\r\nid: 1\nda\r\n");
            self.crash(Some(epoch), behavior.down, None);
            return false;
        }
        let events = output_tokens.div_ceil(self.stride);
        for event in resume_from.unwrap_or(0) + 1..=events {
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
            thread::sleep(behavior.step);
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}
