//! Callers with small receive windows read their streams slowly: each pauses once while it reads. Do they
//! get their whole streams?

use std::{
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    os::fd::FromRawFd,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Setup, Verdict,
    fleet::{self, Folder, Network},
    http,
    store::Store,
    worker::{self, Registration},
};

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
    fn connect(fd: i32, address: *const SocketName, size: u32) -> i32;
}

const AF_INET: u16 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

/// `struct sockaddr_in`.
#[repr(C)]
struct SocketName {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

/// Receive buffer of a caller, in bytes, and its segments as on an Ethernet.
const RECEIVE_BUFFER: i32 = 4_096;
const SEGMENT: i32 = 1_448;

/// Output tokens: 224 events, the largest number of pieces on the sheet of the site.
const OUTPUT: u64 = 224 * worker::STRIDE;
/// Bytes of the answer that a caller reads before it pauses, and the pause.
const READ_BEFORE_PAUSE: usize = 1_000;
const PAUSE: Duration = Duration::from_millis(3_000);
const CALLERS: usize = 8;
/// Connections without an answer that the rule allows.
const ALLOWED: usize = 3;

/// Connects a socket with a small receive window.
fn connect_small(front: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(front) = front else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let name = SocketName {
        family: AF_INET,
        port: front.port().to_be_bytes(),
        address: front.ip().octets(),
        zero: [0; 8],
    };
    // The calls get pointers to values that live until they return.
    let stream = unsafe {
        let fd = socket(i32::from(AF_INET), SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let options = [
            (SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER),
            (IPPROTO_TCP, TCP_MAXSEG, SEGMENT),
        ];
        for (level, option, value) in options {
            if setsockopt(fd, level, option, &value, 4) != 0 {
                return Err(io::Error::last_os_error());
            }
        }
        if connect(fd, &name, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        stream
    };
    stream.set_read_timeout(Some(Duration::from_secs(14)))?;
    Ok(stream)
}

/// Connection whose reader pauses once.
struct PausingStream {
    stream: TcpStream,
    pause_after: Option<usize>,
    read: usize,
}

impl Read for PausingStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.pause_after.is_some_and(|limit| self.read >= limit) {
            self.pause_after = None;
            thread::sleep(PAUSE);
        }
        let size = buffer.len().min(500);
        let size = self.stream.read(&mut buffer[..size])?;
        self.read += size;
        Ok(size)
    }
}

fn call(front: SocketAddr, caller: usize, setup: &Setup) -> io::Result<bool> {
    let mut stream = connect_small(front)?;
    let paused = PausingStream {
        stream: stream.try_clone()?,
        pause_after: None,
        read: 0,
    };
    let mut reader = BufReader::new(paused);
    stream.write_all(&worker::stream_request(&format!("a{caller}"), 628, 10, &[]))?;
    let answer = http::read_answer(&mut reader);
    if answer.status != 200 || !answer.is_complete {
        return Err(io::ErrorKind::InvalidData.into());
    }
    // The connection is kept for the next request.
    stream.write_all(&worker::stream_request(
        &format!("b{caller}"),
        628,
        OUTPUT,
        &[],
    ))?;
    let sent = Instant::now();
    reader.get_mut().read = 0;
    reader.get_mut().pause_after = setup.has_trouble.then_some(READ_BEFORE_PAUSE);
    let answer = http::read_answer(&mut reader);
    setup.record.add(&format!(
        "caller {caller}: status {}, {} of 224 events, {} bytes, complete: {}, after {:?}",
        answer.status,
        answer.text().matches("\n\n").count(),
        answer.body.len(),
        answer.is_complete,
        sent.elapsed()
    ));
    Ok(answer.is_complete)
}

pub fn play(setup: &Setup) -> Result<Verdict, String> {
    let text = |error: io::Error| error.to_string();
    let network = Network::choose();
    let folder = Folder::create().map_err(text)?;
    let store = Store::start(network.address(1, fleet::STORE_PORT)).map_err(text)?;
    store.put("op", "config", Some(&worker::config(7, 1_000_000)));
    for index in 0..3 {
        let zone = ["gulberg", "model-town", "johar-town"][usize::from(index)];
        let id = format!("i-{index}");
        let address = network.address(100 + index, 8080);
        let registration = Registration::new(&id, "appraiser-model", address, zone);
        worker::start(&registration, |request, stream| {
            // 55 bytes of text in a piece, as on the sheet.
            worker::write_stream(request, "seal", stream, |number| format!("{number:055}"))
        })
        .map_err(text)?;
        registration.register(&store);
    }
    let routers =
        fleet::start_routers(&setup.root, &folder, network, 1, fleet::MEMORY_MB).map_err(text)?;
    if !fleet::wait_ready(&routers, Duration::from_secs(15)) {
        return Err("the router is not ready".to_owned());
    }
    // The machine is in touch from three seconds after its start on, and has its first tokens by then.
    thread::sleep(Duration::from_secs(6));
    let front = routers[0].front;
    let answers = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| scope.spawn(move || call(front, caller, setup)))
            .collect();
        let answers = callers
            .into_iter()
            .map(|caller| caller.join().expect("a caller's thread"));
        answers.collect::<io::Result<Vec<bool>>>()
    });
    let answers = answers.map_err(text)?;
    let cut = answers.iter().filter(|is_complete| !**is_complete).count();
    setup.record.tell(&format!(
        "{cut} of {CALLERS} requests on kept connections ended without a whole answer; {ALLOWED} are allowed"
    ));
    Ok(if cut > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
