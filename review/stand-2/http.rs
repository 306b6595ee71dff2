//! HTTP/1.1 over blocking sockets, for servers and clients.

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Head of a request or a response: the first line and the headers.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(header, _)| header.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some()
    }
}

/// Reads a head; `None` if the connection ended before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            if head.first_line.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(head));
        }
        if head.first_line.is_empty() {
            head.first_line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            let header = (name.to_owned(), value.trim().to_owned());
            head.headers.push(header);
        }
    }
}

/// Reads the next chunk of a chunked body; an empty one is the last.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16);
    let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

/// Reads a body piece by piece. Returns whether it is complete.
pub fn read_body(
    reader: &mut impl BufRead,
    head: &Head,
    mut each: impl FnMut(&[u8]) -> bool,
) -> bool {
    if head.is_chunked() {
        loop {
            match read_chunk(reader) {
                Ok(chunk) if chunk.is_empty() => return true,
                Ok(chunk) if each(&chunk) => {}
                _ => return false,
            }
        }
    }
    let mut rest = head.length().unwrap_or(0);
    let mut piece = [0; 8_192];
    while rest > 0 {
        let size = rest.min(piece.len());
        match reader.read(&mut piece[..size]) {
            Ok(size) if size > 0 && each(&piece[..size]) => rest -= size,
            _ => return false,
        }
    }
    true
}

/// Request as a server reads it.
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.head.word(1).split('?').next().unwrap_or("")
    }

    /// Decoded parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.head.word(1).split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(field, _)| *field == name)
            .map(|(_, value)| decode(value))
    }
}

fn decode(value: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'+' => bytes.push(b' '),
            b'%' => {
                let digits = [rest.next(), rest.next()].map(|digit| digit.unwrap_or(b'0'));
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Running server.
pub struct Server {
    address: SocketAddr,
    is_stopped: AtomicBool,
    /// Open connections by number.
    streams: Mutex<HashMap<u64, TcpStream>>,
}

impl Server {
    /// Closes the port and all connections, as when the process of the server is killed.
    pub fn crash(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        // Ends the wait for a connection, after which the port is closed.
        let _ = TcpStream::connect(self.address);
        for (_, stream) in self.streams.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::SeqCst)
    }
}

/// Serves connections, each in a thread of its own. `handler` writes the response and returns whether
/// the connection stays open.
pub fn serve<F>(listener: TcpListener, handler: F) -> io::Result<Arc<Server>>
where
    F: Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    let server = Arc::new(Server {
        address: listener.local_addr()?,
        is_stopped: AtomicBool::new(false),
        streams: Mutex::default(),
    });
    let accepting = server.clone();
    thread::spawn(move || {
        for (number, stream) in (0..).zip(listener.incoming()) {
            if accepting.is_stopped() {
                return;
            }
            let Ok(stream) = stream else { continue };
            let Ok(copy) = stream.try_clone() else {
                continue;
            };
            accepting.streams.lock().unwrap().insert(number, copy);
            let (handler, server) = (handler.clone(), accepting.clone());
            thread::spawn(move || {
                serve_connection(stream, &*handler);
                server.streams.lock().unwrap().remove(&number);
            });
        }
    });
    Ok(server)
}

fn serve_connection(
    stream: TcpStream,
    handler: &dyn Fn(&Request, &mut TcpStream) -> io::Result<bool>,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let head = read_head(&mut reader).ok()??;
        let mut body = Vec::new();
        let is_whole = read_body(&mut reader, &head, |piece| {
            body.extend_from_slice(piece);
            true
        });
        if !is_whole || !handler(&Request { head, body }, &mut writer).ok()? {
            return None;
        }
    }
}

/// Writes a whole response.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<bool> {
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    Ok(true)
}

/// Response as a client reads it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no response began.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    pub is_complete: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Formats a request of a client.
pub fn format_request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Reads one response.
pub fn read_answer(reader: &mut impl BufRead) -> Answer {
    let mut answer = Answer::default();
    let Ok(Some(head)) = read_head(reader) else {
        return answer;
    };
    answer.status = head.word(1).parse().unwrap_or(0);
    let mut body = Vec::new();
    answer.is_complete = read_body(reader, &head, |piece| {
        body.extend_from_slice(piece);
        true
    });
    answer.head = head;
    answer.body = body;
    answer
}

/// Sends a request on a new connection and reads the response.
pub fn fetch(address: SocketAddr, request: &[u8], timeout: Duration) -> Answer {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Answer::default();
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(timeout));
    if stream.write_all(request).is_err() {
        return Answer::default();
    }
    read_answer(&mut BufReader::new(stream))
}
