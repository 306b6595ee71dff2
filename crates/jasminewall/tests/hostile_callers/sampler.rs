//! Memory of a router process together with what lies in its sockets.

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// State of a listening socket in `/proc/net/tcp`, whose queues count connections.
const LISTEN: &str = "0A";

/// Largest figures that a sampler saw.
#[derive(Debug, Default)]
struct PeakFigures {
    /// Resident memory, unread and unwritten bytes at one moment, in KB.
    total_kb: AtomicUsize,
    /// Unread and unwritten bytes of the sockets, in KB.
    socket_kb: AtomicUsize,
    descriptors: AtomicUsize,
}

/// Peak figures of a process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SampledPeak {
    pub(crate) total_kb: usize,
    pub(crate) socket_kb: usize,
    pub(crate) descriptors: usize,
}

/// Samples a process until it is finished or dropped.
pub(crate) struct MemorySampler {
    peak: Arc<PeakFigures>,
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl MemorySampler {
    /// Samples process `id`, which listens on `port` and connects to `endpoints`.
    pub(crate) fn start(id: u32, port: u16, endpoints: Vec<u16>) -> Self {
        let (peak, is_over) = (Arc::<PeakFigures>::default(), Arc::<AtomicBool>::default());
        let thread = {
            let (peak, is_over) = (peak.clone(), is_over.clone());
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let sockets = socket_bytes(port, &endpoints) / 1_024;
                    let total = resident_kb(id) + sockets;
                    let descriptors = fs::read_dir(format!("/proc/{id}/fd"));
                    let descriptors = descriptors.map_or(0, Iterator::count);
                    peak.total_kb.fetch_max(total, Ordering::Relaxed);
                    peak.socket_kb.fetch_max(sockets, Ordering::Relaxed);
                    peak.descriptors.fetch_max(descriptors, Ordering::Relaxed);
                    thread::sleep(SAMPLE_INTERVAL);
                }
            })
        };
        Self {
            peak,
            is_over,
            thread: Some(thread),
        }
    }

    pub(crate) fn finish(mut self) -> SampledPeak {
        self.stop();
        SampledPeak {
            total_kb: self.peak.total_kb.load(Ordering::Relaxed),
            socket_kb: self.peak.socket_kb.load(Ordering::Relaxed),
            descriptors: self.peak.descriptors.load(Ordering::Relaxed),
        }
    }

    fn stop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the sampler does not panic");
        }
    }
}

impl Drop for MemorySampler {
    fn drop(&mut self) {
        self.stop();
    }
}

fn resident_kb(id: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let size = line.and_then(|text| text.trim().strip_suffix(" kB")?.trim().parse().ok());
    size.unwrap_or(0)
}

/// Bytes in the queues of the router's sockets. Connections that wait in the listener's queue count
/// as well.
fn socket_bytes(port: u16, endpoints: &[u16]) -> usize {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let queued = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (local, remote) = (port_of(fields.next()?)?, port_of(fields.next()?)?);
        let state = fields.next()?;
        let (unwritten, unread) = fields.next()?.split_once(':')?;
        let belongs = local == port || endpoints.contains(&remote);
        if state == LISTEN || !belongs {
            return None;
        }
        let size = |text| usize::from_str_radix(text, 16).ok();
        Some(size(unwritten)? + size(unread)?)
    });
    queued.sum()
}

fn port_of(address: &str) -> Option<u16> {
    let (_, port) = address.split_once(':')?;
    u16::from_str_radix(port, 16).ok()
}
