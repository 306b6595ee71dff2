//! Callers read their answers slowly, with pauses. Do they get whole answers?

use std::{
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
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
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
}

const ANSWER: usize = 2_000_000;

struct PausingStream {
    stream: TcpStream,
    pause: Duration,
    left: usize,
}

impl Read for PausingStream {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if self.left == 0 {
            thread::sleep(self.pause);
            self.left = 500_000;
        }
        let size = buffer.len().min(self.left);
        let size = self.stream.read(&mut buffer[..size])?;
        self.left -= size;
        Ok(size)
    }
}

pub fn play(setup: &Setup) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let network = Network::choose();
    let folder = Folder::create().map_err(text)?;
    let store = Store::start(network.address(1, fleet::STORE_PORT)).map_err(text)?;
    store.put("op", "config", Some(&worker::config(7, 1_000_000)));
    for index in 0..3 {
        let id = format!("i-{index}");
        let address = network.address(100 + index, 8080);
        let registration = Registration::new(&id, "registry", address, "gulberg");
        worker::start(&registration, move |request, stream| {
            let attempt = worker::attempt_id(request);
            let headers = [("Attempt-Id", attempt.as_str()), ("Response-Seal", "seal")];
            http::respond(stream, 200, &headers, &vec![b'x'; ANSWER])
        })
        .map_err(text)?;
        registration.register(&store);
    }
    let routers = fleet::start_routers(&setup.root, &folder, network, 1).map_err(text)?;
    if !fleet::wait_ready(&routers, Duration::from_secs(15)) {
        return Err("the routers are not ready".to_owned());
    }
    let pause: u64 = std::env::var("PAUSE").unwrap_or("2000".into()).parse().unwrap();
    let window: i32 = std::env::var("WINDOW").unwrap_or("4096".into()).parse().unwrap();
    for number in 0..2 {
        let attempt = format!("a{number}");
        let request = worker::plain_request("GET", "/lookup/1", &attempt, b"");
        let mut stream = TcpStream::connect(routers[0].front).map_err(text)?;
        let fd = std::os::fd::AsRawFd::as_raw_fd(&stream);
        if window > 0 {
            // SO_RCVBUF
            unsafe { setsockopt(fd, 1, 8, &window, 4) };
        }
        stream.write_all(&request).map_err(text)?;
        let started = Instant::now();
        let mut reader = BufReader::new(PausingStream {
            stream,
            pause: Duration::from_millis(pause),
            left: 0,
        });
        let answer = http::read_answer(&mut reader);
        setup.record.tell(&format!(
            "{attempt}: {} {} bytes complete {} after {:?}",
            answer.status,
            answer.body.len(),
            answer.is_complete,
            started.elapsed()
        ));
    }
    Ok(Verdict::Held)
}
