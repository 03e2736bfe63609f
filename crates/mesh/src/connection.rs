//! One connection between two entries, from its first message to its end: which link it carries, and whether that link
//! continues on another one.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use crate::link::{self, LinkError, Reader, SILENCE_LIMIT, Writer};
use crate::mesh::{Claim, MeshEvent, Shared};
use crate::session::Session;
use crate::unidentified::Identifying;
use crate::{Hello, LinkId, Message, Resume};

/// Time that a link lasts without a connection, so that a reset voids nothing.
const RESUME_WINDOW: Duration = Duration::from_millis(150);

/// Runs a connection until it ends; `identifying` is present if the peer has dialled. Returns true if its link now waits for
/// another connection.
pub(crate) async fn run_connection(
    stream: TcpStream,
    shared: &Arc<Shared>,
    identifying: Option<Identifying>,
) -> bool {
    let opened_at = Instant::now();
    let Some((mut hello, mut reader, mut writer)) = open(stream, shared, identifying).await else {
        return false;
    };
    hello.resumable &= shared.local.resumable;
    hello.timestamps &= shared.local.timestamps;
    hello.dormancy &= shared.local.dormancy && hello.timestamps;
    let Some(claim) = claim_link(hello, opened_at, shared, &mut reader, &mut writer).await else {
        return false;
    };
    // A panic while a message is handled ends the link and nothing else.
    let carried = AssertUnwindSafe(carry(&claim, shared, reader, writer)).catch_unwind().await;
    let (error, resumable) = carried.unwrap_or((LinkError::Panicked, false));
    let ended_at = Instant::now();
    if matches!(error, LinkError::Replaced) {
        return false;
    }
    if !resumable || !shared.suspend(&claim, ended_at) {
        shared.end(&claim, &error, ended_at).await;
        return false;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        sleep_until(resume_until(&claim.session, &error, ended_at)).await;
        shared.end(&claim, &error, ended_at).await;
    });
    true
}

/// Opens a connection. None if it fails, takes too long, or is closed for another one that has not identified itself.
async fn open(
    stream: TcpStream,
    shared: &Shared,
    identifying: Option<Identifying>,
) -> Option<(Hello, Reader, Writer)> {
    let opening = timeout(
        SILENCE_LIMIT,
        link::open(stream, &shared.local, shared.counters.clone(), identifying.is_none()),
    );
    let Some(identifying) = identifying else { return opening.await.ok()?.ok() };
    tokio::select! {
        opened = opening => opened.ok()?.ok(),
        () = identifying.close_requested() => None,
    }
}

/// The link that a new connection carries: an earlier one if both sides can continue it, else a new one. None if the
/// connection fails before that is agreed.
async fn claim_link(
    hello: Hello,
    opened_at: Instant,
    shared: &Shared,
    reader: &mut Reader,
    writer: &mut Writer,
) -> Option<Claim> {
    let mut id = 0;
    if hello.resumable {
        let claim = shared.claim(hello.incarnation);
        let latest = Instant::now() + SILENCE_LIMIT;
        let alive_until = claim.as_ref().map(|claim| claim.session.liveness().alive_until());
        let until = alive_until.map_or(latest, |alive_until| latest.min(alive_until));
        let agreed = timeout_at(until, resume(claim.as_ref(), reader, writer)).await;
        match (agreed.map_err(LinkError::from).flatten(), claim) {
            (Ok(Agreed::Continue), claim) => {
                if let Some(claim) = &claim {
                    claim.session.liveness().record_resumption(Instant::now(), opened_at);
                }
                return claim;
            }
            (Ok(Agreed::New(new)), _) => id = new,
            (Err(error), Some(claim)) => {
                shared.end(&claim, &error, Instant::now()).await;
                return None;
            }
            (Err(_), None) => return None,
        }
    }
    let claim = shared.create(id, hello.clone(), opened_at);
    let _ = shared.events.send(MeshEvent::Up(hello)).await;
    Some(claim)
}

/// Until when another connection may continue a link. Never later than the link would have ended without a new connection,
/// because the bounds for runs of lost homes and owners rely on that.
fn resume_until(session: &Session, error: &LinkError, ended_at: Instant) -> Instant {
    let window = if matches!(error, LinkError::Stalled) { SILENCE_LIMIT } else { RESUME_WINDOW };
    session.liveness().alive_until().min(ended_at + window)
}

/// What both sides have agreed about a connection.
enum Agreed {
    Continue,
    New(LinkId),
}

/// Agrees with the peer whether the claimed link continues. If so, sends again what the peer has not received.
async fn resume(
    claim: Option<&Claim>,
    reader: &mut Reader,
    writer: &mut Writer,
) -> Result<Agreed, LinkError> {
    // The lock is free once the earlier connection has ended; only then is the number of received messages final.
    let mut link = match claim {
        Some(claim) => Some((claim.session.outgoing.lock().await, &claim.session)),
        None => None,
    };
    let nonce = rand::random();
    let own = Resume {
        link: link.as_ref().map(|(_, session)| session.id),
        nonce,
        received: link.as_ref().map_or(0, |(_, session)| session.received()),
    };
    writer.write(&Message::Resume(own)).await?;
    let Message::Resume(theirs) = reader.next().await? else { return Err(LinkError::ResumeFailed) };
    match &mut link {
        Some((outgoing, _)) if own.link == theirs.link => {
            let frames = outgoing.resend(theirs.received).ok_or(LinkError::ResumeFailed)?;
            writer.write_frames(frames).await?;
            Ok(Agreed::Continue)
        }
        _ => Ok(Agreed::New(nonce ^ theirs.nonce)),
    }
}

/// Carries a link over a connection until the connection ends. Returns why it ended, and whether another connection may
/// continue the link.
async fn carry(claim: &Claim, shared: &Shared, reader: Reader, writer: Writer) -> (LinkError, bool) {
    let session = &claim.session;
    let mut outgoing = session.outgoing.lock().await;
    let ended = tokio::select! {
        ended = read_messages(session, reader, shared) => ended,
        ended = writer.run(session, &mut outgoing) => ended,
        () = claim.replaced() => Err(LinkError::Replaced),
    };
    let error = ended.err().unwrap_or(LinkError::Closed);
    let resumable = matches!(error, LinkError::Closed | LinkError::Io(_) | LinkError::Stalled);
    (error, resumable && outgoing.is_resumable(session))
}

async fn read_messages(session: &Session, mut reader: Reader, shared: &Shared) -> Result<(), LinkError> {
    let peer = session.peer.incarnation;
    loop {
        match reader.next_message(session).await? {
            Message::Acknowledge(received) => session.acknowledge(received),
            Message::Heartbeat | Message::Idle | Message::Timestamps(_) => {}
            Message::Suspect(suspects) => shared.check(&suspects),
            message => {
                let sent_after = session.liveness().sent_after();
                if shared.events.send(MeshEvent::Received { message, peer, sent_after }).await.is_err() {
                    return Err(LinkError::Closed);
                }
                session.count_received();
            }
        }
    }
}
