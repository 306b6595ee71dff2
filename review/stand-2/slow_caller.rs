//! A caller reads a large answer slowly: it pauses once while it reads. Does it get the whole answer?

use std::{
    io::{BufReader, Read, Write},
    net::TcpStream,
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

/// Bytes of a large answer, and those that the caller reads before its pause.
const ANSWER: usize = 1_000_000;
const READ_BEFORE_PAUSE: usize = 100_000;
/// Pause of the caller; its deadline is 4 s.
const PAUSE: Duration = Duration::from_millis(2_000);
const CALLERS: usize = 8;
/// Connections without an answer that the rule allows.
const ALLOWED: usize = 3;

/// Connection whose reader pauses once.
struct PausingStream {
    stream: TcpStream,
    pause_after: Option<usize>,
    read: usize,
}

impl Read for PausingStream {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if self.pause_after.is_some_and(|limit| self.read >= limit) {
            self.pause_after = None;
            thread::sleep(PAUSE);
        }
        let size = self.stream.read(buffer)?;
        self.read += size;
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
        let zone = ["gulberg", "model-town", "johar-town"][usize::from(index)];
        let registration = Registration::new(&id, "registry", address, zone);
        worker::start(&registration, move |request, stream| {
            let attempt = worker::attempt_id(request);
            let headers = [("Attempt-Id", attempt.as_str()), ("Response-Seal", "seal")];
            let size = if request.path().ends_with("large") { ANSWER } else { 800 };
            http::respond(stream, 200, &headers, &vec![b'x'; size])
        })
        .map_err(text)?;
        registration.register(&store);
    }
    let routers = fleet::start_routers(&setup.root, &folder, network, 1, fleet::MEMORY_MB).map_err(text)?;
    if !fleet::wait_ready(&routers, Duration::from_secs(15)) {
        return Err("the router is not ready".to_owned());
    }
    // The machine is in touch from three seconds after its start on.
    thread::sleep(Duration::from_secs(4));
    let front = routers[0].front;
    let answers = thread::scope(|scope| {
        let callers = (0..CALLERS).map(|caller| {
            scope.spawn(move || -> std::io::Result<bool> {
                let mut stream = TcpStream::connect(front)?;
                let first = worker::plain_request("GET", "/lookup/small", &format!("a{caller}"), b"");
                stream.write_all(&first)?;
                let paused = PausingStream {
                    stream: stream.try_clone()?,
                    pause_after: None,
                    read: 0,
                };
                let mut reader = BufReader::new(paused);
                let answer = http::read_answer(&mut reader);
                if answer.status != 200 || !answer.is_complete {
                    return Err(std::io::ErrorKind::InvalidData.into());
                }
                // The connection is kept for the next request.
                let second = worker::plain_request("GET", "/lookup/large", &format!("b{caller}"), b"");
                stream.write_all(&second)?;
                let sent = Instant::now();
                reader.get_mut().read = 0;
                reader.get_mut().pause_after = setup.has_trouble.then_some(READ_BEFORE_PAUSE);
                let answer = http::read_answer(&mut reader);
                setup.record.add(&format!(
                    "caller {caller}: status {}, {} bytes of {ANSWER}, complete: {}, after {:?}",
                    answer.status,
                    answer.body.len(),
                    answer.is_complete,
                    sent.elapsed()
                ));
                Ok(answer.is_complete)
            })
        });
        let callers: Vec<_> = callers.collect();
        let answers = callers.into_iter().map(|caller| caller.join().expect("a caller's thread"));
        answers.collect::<std::io::Result<Vec<bool>>>()
    });
    let answers = answers.map_err(text)?;
    let cut = answers.iter().filter(|is_complete| !**is_complete).count();
    setup.record.tell(&format!(
        "{cut} of {CALLERS} requests on kept connections ended without a whole answer; {ALLOWED} are allowed"
    ));
    Ok(if cut > ALLOWED { Verdict::Broken } else { Verdict::Held })
}
