//! HTTP interface for operators, in JSON.

use std::sync::Arc;

use hinge_wire::{
    ChangeRequest, DrainRequest, LogEvent, MemberInfo, ResultCode, RevisionsReply, UpstreamsReply, from_json,
};
use hyper::{Method, StatusCode};
use serde::Serialize;

use crate::lifecycle::LifecycleEvent;
use crate::lock::lock;
use crate::reply::{Encoding, HttpResponse, Rejection};
use crate::server::BufferedRequest;
use crate::shared::Shared;

#[derive(Serialize)]
struct ConfigChanged<'a> {
    author: &'a str,
    operation_id: &'a str,
    revision: u64,
}

/// Handles an operator's request.
pub(crate) async fn handle(shared: &Arc<Shared>, request: &BufferedRequest) -> HttpResponse {
    let path = request.parts.uri.path();
    let result = match (&request.parts.method, path) {
        (&Method::GET, "/admin/v1/config") => Ok(config(shared)),
        (&Method::GET, "/admin/v1/revisions" | "/admin/v1/instances") => Ok(revisions(shared)),
        (&Method::GET, "/admin/v1/upstreams") => Ok(upstreams(shared)),
        (&Method::POST, "/admin/v1/changes") => change(shared, &request.body).await,
        (&Method::POST, "/admin/v1/drain") => drain(shared, &request.body),
        (
            _,
            "/admin/v1/config"
            | "/admin/v1/revisions"
            | "/admin/v1/instances"
            | "/admin/v1/upstreams"
            | "/admin/v1/changes"
            | "/admin/v1/drain",
        ) => Err(ResultCode::MethodNotAllowed.into()),
        _ => Err(ResultCode::NotFound.into()),
    };
    result.unwrap_or_else(|rejection| {
        shared.count_rejection(&rejection);
        Encoding::Json.rejection(&rejection)
    })
}

fn ok<T: Serialize>(message: &T) -> HttpResponse {
    Encoding::Json.response(StatusCode::OK, message)
}

fn config(shared: &Shared) -> HttpResponse {
    ok(&shared.config.config_reply(None))
}

fn revisions(shared: &Shared) -> HttpResponse {
    let members = known_members(shared);
    let latest_revision = members.iter().map(|member| member.config_revision).max().unwrap_or_default();
    ok(&RevisionsReply { latest_revision, members })
}

/// This instance and its known peers.
pub(crate) fn known_members(shared: &Shared) -> Vec<MemberInfo> {
    let mut members = lock(&shared.members);
    let local = members.local_mut().clone();
    std::iter::once(local).chain(members.peers().cloned()).collect()
}

fn upstreams(shared: &Arc<Shared>) -> HttpResponse {
    let upstreams = shared.with_dispatcher(|dispatcher, _| dispatcher.upstreams());
    ok(&UpstreamsReply { upstreams })
}

async fn change(shared: &Arc<Shared>, body: &[u8]) -> Result<HttpResponse, Rejection> {
    let request: ChangeRequest = from_json(body)?;
    match shared.config.change(&request).await {
        Ok(reply) if reply.already_applied => Ok(ok(&reply)),
        Ok(reply) => {
            let details = ConfigChanged {
                author: &request.author,
                operation_id: &request.operation_id,
                revision: reply.revision,
            };
            hinge_obs::emit(LogEvent::ConfigChanged, &details);
            Ok(ok(&reply))
        }
        Err(failure) => match failure.conflict_reply() {
            Some(reply) => Ok(Encoding::Json.response(StatusCode::CONFLICT, &reply)),
            None => Err(Rejection::new(failure.code(), failure.to_string())),
        },
    }
}

fn drain(shared: &Arc<Shared>, body: &[u8]) -> Result<HttpResponse, Rejection> {
    let request: DrainRequest = from_json(body)?;
    if *request.instance != *shared.settings.instance {
        let message = format!("this instance is {}", shared.settings.instance);
        return Err(Rejection::new(ResultCode::InvalidField, message));
    }
    shared.begin_drain();
    Ok(ok(&"draining"))
}

impl Shared {
    /// Begins a drain; repeated calls have no effect.
    pub(crate) fn begin_drain(self: &Arc<Self>) {
        self.apply_lifecycle_event(LifecycleEvent::Drain);
        self.handle_event(hinge_dispatch::Event::Drain);
        self.drain_requested.send_replace(true);
    }
}
