//! A small HTTP server and client on loopback, one thread for each connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use wire::http::{self, Request, Response};

/// The answer of a server: a status and a body, or nothing and the connection closes.
pub type Answer = Option<(u16, Vec<u8>)>;
/// Handles one request.
pub type Handler = dyn Fn(&Request) -> Answer + Send + Sync;

/// Serves requests on a new loopback port.
pub fn serve(handler: Box<Handler>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    let handler: Arc<Handler> = handler.into();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    Ok(addr)
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut received = Vec::new();
    let mut chunk = [0; 8192];
    loop {
        while let Ok(Some((request, used))) = http::parse_request(&received, 1 << 20) {
            received.drain(..used);
            let Some((status, body)) = handler(&request) else {
                return Ok(());
            };
            let mut out = Vec::new();
            let response = Response {
                status,
                body,
                close: false,
                retry_after_s: None,
            };
            http::write_response(&mut out, &response);
            stream.write_all(&out)?;
        }
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Ok(());
        }
        received.extend_from_slice(&chunk[..n]);
    }
}

/// Sends one request on a new connection. `None`: no response in time.
pub fn ask(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut out = Vec::new();
    http::write_request(&mut out, "loopback", method, path, body);
    stream.write_all(&out).ok()?;
    let mut received = Vec::new();
    let mut chunk = [0; 8192];
    loop {
        let n = stream.read(&mut chunk).ok()?;
        received.extend_from_slice(&chunk[..n]);
        match http::parse_response(&received, 1 << 20, n == 0) {
            Ok(Some((response, _))) => return Some(response),
            Ok(None) if n > 0 => {}
            _ => return None,
        }
    }
}
