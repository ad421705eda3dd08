//! TCP servers implemented by tests.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// Starts a server on loopback that calls `serve` for each connection on a new thread. Returns its address.
pub fn start_mock_server(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binding a loopback port");
    let addr = listener.local_addr().expect("reading the local address");
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    addr
}
