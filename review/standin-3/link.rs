//! Link of a machine: a proxy in front of a router that passes bytes at a fixed rate.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes that are passed at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Starts a proxy at `address` for the connections to `target`. All of them share the rate.
pub fn start(address: SocketAddr, target: SocketAddr, bytes_per_s: f64) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let busy_until = [(); 2].map(|()| Arc::new(Mutex::new(Instant::now())));
    thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            let Ok(router) = TcpStream::connect(target) else {
                continue;
            };
            let _ = (caller.set_nodelay(true), router.set_nodelay(true));
            let (Ok(from), Ok(to)) = (caller.try_clone(), router.try_clone()) else {
                continue;
            };
            let [out, back] = busy_until.clone();
            thread::spawn(move || pass(from, to, &out, bytes_per_s));
            thread::spawn(move || pass(router, caller, &back, bytes_per_s));
        }
    });
    Ok(())
}

fn pass(mut from: TcpStream, mut to: TcpStream, busy_until: &Mutex<Instant>, bytes_per_s: f64) {
    let mut bytes = vec![0; CHUNK_BYTES];
    while let Ok(count @ 1..) = from.read(&mut bytes) {
        let passed = {
            let mut busy_until = busy_until.lock().unwrap();
            let time = Duration::from_secs_f64(count as f64 / bytes_per_s);
            *busy_until = (*busy_until).max(Instant::now()) + time;
            *busy_until
        };
        thread::sleep(passed.saturating_duration_since(Instant::now()));
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
