//! HTTP/1.1 over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Head of a request or response; names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map_or("", |(_, value)| value)
    }

    /// Second word of the first line: the target of a request or the status of a response.
    pub fn second(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or(0)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name).trim().parse().ok()
    }
}

/// Reads a head; `None` if the connection ended before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if head.first.is_empty() {
            line.clone_into(&mut head.first);
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.to_ascii_lowercase();
            head.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads the body of a request.
pub fn read_body(head: &Head, reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").contains("chunked") {
        while read_chunk(reader, &mut body)? {}
    } else if let Some(length) = head.number("content-length") {
        body.resize(length as usize, 0);
        reader.read_exact(&mut body)?;
    }
    Ok(body)
}

/// Reads one chunk; `false` if it is the last one.
pub fn read_chunk(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<bool> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let start = body.len();
    body.resize(start + size, 0);
    reader.read_exact(&mut body[start..])?;
    let mut end = [0; 2];
    reader.read_exact(&mut end)?;
    Ok(size > 0)
}

/// How a request of a client ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// Complete response with this status.
    Status(u16),
    /// The router closed the connection before the response was complete.
    Cut,
    /// The client gave up.
    GaveUp,
    /// The router could not be connected.
    NoConnection,
}

/// Response as far as the client got it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub end: End,
    pub head: Option<Head>,
    pub body: Vec<u8>,
    pub retry_after: Option<f64>,
}

impl Answer {
    fn new(end: End) -> Self {
        Self {
            end,
            head: None,
            body: Vec::new(),
            retry_after: None,
        }
    }

    /// Ids of the complete events in the body.
    pub fn events(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body);
        let complete = text.rfind("\n\n").map_or("", |end| &text[..end]);
        let lines = complete.lines();
        lines
            .filter_map(|line| line.strip_prefix("id:")?.trim().parse().ok())
            .collect()
    }
}

/// Sends a request on a new connection and reads the response. Gives up at `deadline`, and after
/// `gap` without a byte.
pub fn call(
    address: SocketAddr,
    request: &[u8],
    body: &[u8],
    gap: Duration,
    deadline: Instant,
) -> Answer {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Answer::new(End::NoConnection);
    };
    let _ = stream.set_nodelay(true);
    let mut answer = Answer::new(End::Cut);
    let wait = |stream: &TcpStream| {
        let left = deadline.saturating_duration_since(Instant::now()).min(gap);
        let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
    };
    wait(&stream);
    let mut writer = &stream;
    if writer
        .write_all(request)
        .and_then(|()| writer.write_all(body))
        .is_err()
    {
        return answer;
    }
    let mut reader = BufReader::new(&stream);
    let result = (|| -> io::Result<bool> {
        let Some(head) = read_head(&mut reader)? else {
            return Ok(false);
        };
        answer.retry_after = head.get("retry-after").parse().ok();
        let is_chunked = head.get("transfer-encoding").contains("chunked");
        let length = head.number("content-length");
        answer.head = Some(head);
        if is_chunked {
            loop {
                wait(&stream);
                if !read_chunk(&mut reader, &mut answer.body)? {
                    return Ok(true);
                }
            }
        }
        let mut rest = vec![0; length.unwrap_or(0) as usize];
        reader.read_exact(&mut rest)?;
        answer.body = rest;
        Ok(true)
    })();
    answer.end = match (result, &answer.head) {
        (Ok(true), Some(head)) => End::Status(head.status()),
        (Err(error), _)
            if matches!(
                error.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
            ) =>
        {
            End::GaveUp
        }
        _ => End::Cut,
    };
    answer
}
