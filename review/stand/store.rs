//! Stand-in for the platform's store: tables with one version counter, transactions under conditions,
//! and feeds of changes.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{read_body, read_head},
    json::{Json, base64, quote},
};

/// Table, partition and key.
type RowKey = (String, String, String);

#[derive(Clone)]
struct Row {
    /// Data in base64; `None` after a removal.
    data: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Tables {
    rows: BTreeMap<RowKey, Row>,
    version: u64,
}

#[derive(Clone)]
pub struct Store {
    tables: Arc<Mutex<Tables>>,
    changed: Arc<Condvar>,
    started: Instant,
}

impl Store {
    pub fn new() -> Self {
        Self {
            tables: Arc::default(),
            changed: Arc::default(),
            started: Instant::now(),
        }
    }

    /// Starts to serve on a free port.
    pub fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve_connection(stream));
            }
        });
        address
    }

    /// Writes a row of the operator or of a worker.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let data = value.map(|value| base64(value.as_bytes()));
        let mut tables = self.tables.lock().unwrap();
        tables.version += 1;
        let version = tables.version;
        tables.rows.insert(
            (table.into(), String::new(), key.into()),
            Row { data, version },
        );
        drop(tables);
        self.changed.notify_all();
    }

    fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(&stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_body(&head, &mut reader) else {
                return;
            };
            let (status, text) = self.respond(head.second(), &body);
            let response = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if (&stream).write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn respond(&self, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/v1/rows-tx" => match Json::parse(&String::from_utf8_lossy(body)) {
                Some(body) => {
                    // A transaction takes a few milliseconds.
                    thread::sleep(Duration::from_millis(4));
                    self.transact(&body)
                }
                None => (400, "{}".into()),
            },
            "/v1/rows-get" => {
                thread::sleep(Duration::from_millis(2));
                let tables = self.tables.lock().unwrap();
                let (table, part, from, to) =
                    (text("Table"), text("part"), text("From"), text("To"));
                let rows = tables
                    .rows
                    .iter()
                    .filter(|((row_table, row_part, key), row)| {
                        *row_table == table
                            && *row_part == part
                            && *key >= from
                            && (to.is_empty() || *key < to)
                            && row.data.is_some()
                    });
                (200, self.page(rows, tables.version))
            }
            "/v1/rows-feed" => {
                let since: u64 = text("SinceRevision").parse().unwrap_or(0);
                let wait: u64 = text("WaitMs").parse().unwrap_or(0);
                let deadline = Instant::now() + Duration::from_millis(wait);
                let table = text("Table");
                let mut tables = self.tables.lock().unwrap();
                loop {
                    let is_new =
                        |(key, row): &(&RowKey, &Row)| key.0 == table && row.version > since;
                    let now = Instant::now();
                    if tables.rows.iter().any(|entry| is_new(&entry)) || now >= deadline {
                        let mut rows: Vec<_> = tables.rows.iter().filter(is_new).collect();
                        rows.sort_by_key(|(_, row)| row.version);
                        return (200, self.page(rows.into_iter(), tables.version));
                    }
                    tables = self.changed.wait_timeout(tables, deadline - now).unwrap().0;
                }
            }
            _ => (404, "{}".into()),
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let key = |row: &Json| (row.text("Table"), row.text("part"), row.text("Key"));
        let mut tables = self.tables.lock().unwrap();
        let current = |tables: &Tables, row: &Json| {
            let row = tables.rows.get(&key(row)).filter(|row| row.data.is_some());
            row.map_or(0, |row| row.version)
        };
        let expected = body.items("Expect");
        if expected
            .iter()
            .any(|row| current(&tables, row) != row.number("SchemaVersion"))
        {
            let keys: Vec<RowKey> = expected.iter().map(key).collect();
            let rows = tables.rows.iter();
            let rows = rows.filter(|(key, row)| keys.contains(key) && row.data.is_some());
            return (412, self.page(rows, tables.version));
        }
        tables.version += 1;
        let version = tables.version;
        for row in body.items("Write") {
            tables.rows.insert(
                key(row),
                Row {
                    data: Some(row.text("Data")),
                    version,
                },
            );
        }
        for row in body.items("Remove") {
            if tables.rows.contains_key(&key(row)) {
                tables.rows.insert(
                    key(row),
                    Row {
                        data: None,
                        version,
                    },
                );
            }
        }
        drop(tables);
        self.changed.notify_all();
        (
            200,
            format!(
                "{{\"SchemaVersion\":{version},\"NowMs\":{}}}",
                self.now_ms()
            ),
        )
    }

    fn page<'a>(&self, rows: impl Iterator<Item = (&'a RowKey, &'a Row)>, version: u64) -> String {
        let rows: Vec<String> = rows
            .map(|((table, part, key), row)| {
                let data = match &row.data {
                    Some(data) => format!("\"Data\":{}", quote(data)),
                    None => "\"Deleted\":true".into(),
                };
                format!(
                    "{{\"Table\":{},\"part\":{},\"Key\":{},\"SchemaVersion\":{},{data}}}",
                    quote(table),
                    quote(part),
                    quote(key),
                    row.version
                )
            })
            .collect();
        format!(
            "{{\"Rows\":[{}],\"HasMore\":false,\"SchemaVersion\":{version},\"NowMs\":{}}}",
            rows.join(","),
            self.now_ms()
        )
    }
}

/// Decodes a value of a query.
fn decode(text: &str) -> String {
    let (bytes, mut decoded, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes
            .get(at + 1..at + 3)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        match (
            bytes[at],
            hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (b'+', _) => {
                decoded.push(b' ');
                at += 1;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
