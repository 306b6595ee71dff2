//! Loopback addresses that concurrent tests do not share.

use std::{
    net::Ipv4Addr,
    sync::atomic::{AtomicU8, Ordering},
};

static NEXT_SERIAL: AtomicU8 = AtomicU8::new(0);

/// Returns a loopback address built from the process id and a counter that wraps after 250 calls.
///
/// Routers must know each other's ports before they bind them. On a shared address, another test
/// could bind one of these ports first, and the router would fail with 'address already in use'.
pub fn unique_loopback() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let serial = NEXT_SERIAL.fetch_add(1, Ordering::Relaxed) % 250;
    Ipv4Addr::new(127, 16 + high % 200, low, 1 + serial)
}
