//! A stand-in upstream: accepts connections, reads whole requests, and treats each as its handler says.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

use crate::http::{Message, read_message};

/// Answers one request on its connection. Returns whether the connection stays open.
pub type Handler = dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync;

/// A running upstream.
pub struct Upstream {
    /// The name in endpoint lists.
    pub name: String,
    /// The listening address.
    pub address: SocketAddr,
}

impl Upstream {
    /// Starts an upstream on a free port of the loopback address.
    pub fn start(
        name: &str,
        handler: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let handler: Arc<Handler> = Arc::new(handler);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let handler = handler.clone();
                thread::spawn(move || serve(stream, &*handler));
            }
        });
        Ok(Self { name: name.to_string(), address })
    }

    /// Returns the entry of this upstream in an endpoint list.
    pub fn entry(&self, phase: &str) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"bilbao","flavor":"fast-1c","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#,
            self.name, self.address
        )
    }
}

/// Serves requests until the connection ends.
fn serve(mut stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(read_half) = stream.try_clone() else { return };
    let mut reader = BufReader::new(read_half);
    while let Ok(request) = read_message(&mut reader) {
        if !handler(&request, &mut stream) {
            return;
        }
    }
}

/// Answers 200 with this body. Returns whether the connection stays open.
pub fn answer_ok(stream: &mut TcpStream, body: &str) -> bool {
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).is_ok()
}

/// Ends a connection whose request was read and is not answered, which is the outcome `reset` (PROTOCOL, "the connection
/// breaks or ends after that"). Returns that the connection does not stay open.
pub fn break_off(stream: &TcpStream) -> bool {
    let _ = stream.shutdown(Shutdown::Both);
    false
}
