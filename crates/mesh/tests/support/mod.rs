//! Processes and raw connections for the tests of links.

#![allow(dead_code, reason = "each test file uses a part")]

use hinge_mesh::{Hello, Message};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Identity of a process of an instance.
pub(crate) fn process(number: u64, incarnation: u64) -> Hello {
    Hello {
        data_centre: "dc1".into(),
        incarnation,
        instance: format!("entry-{number}").into(),
        resumable: true,
        timestamps: true,
        cpu_millis: 0,
        dormancy: true,
    }
}

/// Identity of the first process of an instance.
pub(crate) fn hello(number: u64) -> Hello {
    process(number, number)
}

/// Sends small packets at once: delayed acknowledgements would take real time while the clock of a test advances.
pub(crate) fn send_at_once(streams: [&TcpStream; 2]) {
    for stream in streams {
        stream.set_nodelay(true).unwrap();
    }
}

/// Sends a message with its length in front.
pub(crate) async fn write(stream: &mut TcpStream, message: &Message) {
    let frame = hinge_wire::to_msgpack(message).unwrap();
    stream.write_u32(u32::try_from(frame.len()).unwrap()).await.unwrap();
    stream.write_all(&frame).await.unwrap();
}
