//! Loopback addresses that tests do not share.

use std::{
    net::Ipv4Addr,
    sync::atomic::{AtomicU8, Ordering},
};

static NEXT: AtomicU8 = AtomicU8::new(0);

/// Loopback address that no other running test process uses, and that this one uses once in 250.
///
/// Routers must know each other's ports before they bind them. On a shared address another test
/// could take such a port in between, which made tests fail with 'address already in use'.
pub fn unique_loopback() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let serial = NEXT.fetch_add(1, Ordering::Relaxed) % 250;
    Ipv4Addr::new(127, 16 + high % 200, low, 1 + serial)
}
