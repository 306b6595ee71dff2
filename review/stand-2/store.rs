//! Stand-in for the platform's store: rows, transactions and feeds.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request},
    json::Json,
};

/// Time that a transaction takes.
const TRANSACTION_TIME: Duration = Duration::from_millis(5);
/// Time that a read takes.
const READ_TIME: Duration = Duration::from_millis(4);

/// Table, partition and key.
type RowName = (String, String, String);

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<RowName, (u64, String)>,
    /// Changes in order; `None` for a removed row.
    changes: Vec<(u64, RowName, Option<String>)>,
}

impl State {
    fn set(&mut self, name: RowName, data: Option<String>) {
        let version = self.version;
        match &data {
            Some(data) => {
                self.rows.insert(name.clone(), (version, data.clone()));
            }
            None => {
                self.rows.remove(&name);
            }
        }
        self.changes.push((version, name, data));
    }
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    /// While set, every call is answered with 503.
    pub is_busy: AtomicBool,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            is_busy: AtomicBool::new(false),
        });
        let served = store.clone();
        http::serve(listener, move |request, stream| {
            served.handle(request, stream)
        })?;
        Ok(store)
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: Option<&Json>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let name = (table.to_owned(), String::new(), key.to_owned());
        state.set(
            name,
            value.map(|value| encode(value.to_string().as_bytes())),
        );
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        if self.is_busy.load(Ordering::SeqCst) {
            return http::respond(stream, 503, &[], b"");
        }
        let answer = match (request.head.word(0), request.path()) {
            ("POST", "/v1/rows-tx") => self.transact(request),
            ("GET", "/v1/rows-get") => self.read(request),
            ("GET", "/v1/rows-feed") => self.feed(request),
            _ => Some((404, Json::Null)),
        };
        let (status, body) = answer.unwrap_or((400, Json::Null));
        let headers = [("Content-Type", "application/json")];
        http::respond(stream, status, &headers, body.to_string().as_bytes())
    }

    fn now_ms(&self) -> Json {
        Json::number(self.started.elapsed().as_millis() as u64 + 1_000)
    }

    fn transact(&self, request: &Request) -> Option<(u16, Json)> {
        let body = Json::parse(std::str::from_utf8(&request.body).ok()?)?;
        thread::sleep(TRANSACTION_TIME);
        let mut state = self.state.lock().unwrap();
        let version_of =
            |state: &State, name: &RowName| state.rows.get(name).map_or(0, |(version, _)| *version);
        let expected = body.get("Expect").items();
        let holds = expected
            .iter()
            .all(|row| version_of(&state, &name_of(row)) == row.get("SchemaVersion").as_u64());
        if !holds {
            let rows = expected.iter().filter_map(|row| {
                let name = name_of(row);
                let (version, data) = state.rows.get(&name)?;
                Some(row_json(&name, *version, Some(data)))
            });
            return Some((412, Json::object([("Rows", Json::List(rows.collect()))])));
        }
        state.version += 1;
        for row in body.get("Write").items() {
            let data = row.get("Data").as_str().to_owned();
            state.set(name_of(row), Some(data));
        }
        for row in body.get("Remove").items() {
            state.set(name_of(row), None);
        }
        self.changed.notify_all();
        let version = Json::number(state.version);
        let fields = [("SchemaVersion", version), ("NowMs", self.now_ms())];
        Some((200, Json::object(fields)))
    }

    fn read(&self, request: &Request) -> Option<(u16, Json)> {
        thread::sleep(READ_TIME);
        let table = request.query("Table")?;
        let part = request.query("part").unwrap_or_default();
        let from = request.query("From").unwrap_or_default();
        let to = request.query("To");
        let state = self.state.lock().unwrap();
        let rows = state.rows.iter().filter(|((row_table, row_part, key), _)| {
            *row_table == table
                && *row_part == part
                && *key >= from
                && to.as_ref().is_none_or(|to| key < to)
        });
        let rows = rows.map(|(name, (version, data))| row_json(name, *version, Some(data)));
        let rows = rows.collect();
        Some((200, self.page(&state, rows)))
    }

    fn page(&self, state: &State, rows: Vec<Json>) -> Json {
        Json::object([
            ("Rows", Json::List(rows)),
            ("HasMore", Json::Bool(false)),
            ("SchemaVersion", Json::number(state.version)),
            ("NowMs", self.now_ms()),
        ])
    }

    fn feed(&self, request: &Request) -> Option<(u16, Json)> {
        let table = request.query("Table")?;
        let since: u64 = request.query("SinceRevision")?.parse().ok()?;
        let wait_ms: u64 = request.query("WaitMs")?.parse().ok()?;
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        thread::sleep(READ_TIME);
        let mut state = self.state.lock().unwrap();
        loop {
            let mut latest = BTreeMap::new();
            for (version, name, data) in &state.changes {
                if *version > since && name.0 == table {
                    latest.insert(name.clone(), (*version, data.clone()));
                }
            }
            if !latest.is_empty() {
                let mut rows: Vec<_> = latest.into_iter().collect();
                rows.sort_by_key(|(_, (version, _))| *version);
                let rows = rows.iter();
                let rows =
                    rows.map(|(name, (version, data))| row_json(name, *version, data.as_ref()));
                let rows = rows.collect();
                return Some((200, self.page(&state, rows)));
            }
            let now = Instant::now();
            if now >= deadline || self.is_busy.load(Ordering::SeqCst) {
                return Some((200, self.page(&state, Vec::new())));
            }
            state = self.changed.wait_timeout(state, deadline - now).unwrap().0;
        }
    }
}

fn name_of(row: &Json) -> RowName {
    let field = |name| row.get(name).as_str().to_owned();
    (field("Table"), field("part"), field("Key"))
}

fn row_json((table, part, key): &RowName, version: u64, data: Option<&String>) -> Json {
    let state = match data {
        Some(data) => ("Data", Json::text(data)),
        None => ("Deleted", Json::Bool(true)),
    };
    Json::object([
        ("Table", Json::text(table)),
        ("part", Json::text(part)),
        ("Key", Json::text(key)),
        ("SchemaVersion", Json::number(version)),
        state,
    ])
}

/// Encodes bytes in base64.
fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..group.len()].copy_from_slice(group);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for digit in 0..4 {
            if digit <= group.len() {
                let index = (word >> (18 - 6 * digit)) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
