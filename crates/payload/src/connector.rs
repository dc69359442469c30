use std::task::{Context, Poll};

use futures::future::{BoxFuture, FutureExt as _};
use hyper::{Response, Uri, body::Incoming};
use hyper_util::{
    client::legacy::connect::{Connected, Connection, HttpConnector},
    rt::TokioIo,
};
use tokio::net::TcpStream;
use tower_service::Service;

use crate::metered::{Meter, Metered};

/// Connector of a pooled client, each of whose connections has a [`Meter`].
///
/// The client must pass each response through [`meter_response`].
#[derive(Clone, Debug)]
pub struct Connector(HttpConnector);

impl Connector {
    /// Creates a connector from one with its options set.
    #[must_use]
    pub const fn new(connector: HttpConnector) -> Self {
        Self(connector)
    }
}

impl Service<Uri> for Connector {
    type Response = TokioIo<Metered<TcpStream>>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(Meter::default().wrap(stream)))
        }
        .boxed()
    }
}

impl<T: Connection> Connection for Metered<T> {
    fn connected(&self) -> Connected {
        self.inner().connected().extra(self.meter().clone())
    }
}

/// Records the head of a response that came over a [`Connector`]'s connection, and has the frames of its body counted.
#[must_use]
pub fn meter_response(mut response: Response<Incoming>) -> Response<Metered<Incoming>> {
    let meter: Meter = response.extensions_mut().remove().unwrap_or_default();
    meter.record_part();
    response.map(|body| meter.wrap(body))
}
