//! A server of a test's own.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// Starts a server that hands every connection to `serve`, each on a thread of its own.
pub fn start_mock_server(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    addr
}
