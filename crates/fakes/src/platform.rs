//! Store and list served together.

use bytes::Bytes;
use http::{Request, Response};

use crate::http::{ConnectionClosed, Handler, ResponseBody};
use crate::list::FakeList;
use crate::shared::Shared;
use crate::store::FakeStore;

/// The platform's store and list behind one address.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Handles `/instances` and `/control/list`.
    pub list: Shared<FakeList>,
    /// Handles all other paths.
    pub store: Shared<FakeStore>,
}

impl Handler for Platform {
    async fn handle(&self, request: Request<Bytes>) -> Result<Response<ResponseBody>, ConnectionClosed> {
        match request.uri().path() {
            "/control/list" | "/instances" => self.list.handle(request).await,
            _ => self.store.handle(request).await,
        }
    }
}
