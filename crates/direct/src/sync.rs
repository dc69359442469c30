//! Remote calls by which an entry gets from another one what it lacks of the store.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context as _;
use fleet::{Follow, Page, Revision};
use futures::StreamExt as _;
use tarpc::{
    client, context,
    server::{BaseChannel, Channel as _},
};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};
use tokio_serde::formats::MessagePack;
use tokio_util::codec::LengthDelimitedCodec;

/// Time in which another entry must be connected to, and in which it must answer.
const PATIENCE: Duration = Duration::from_millis(1000);
/// Time for which a connection from another entry is served; each carries one call.
const SERVED: Duration = Duration::from_secs(10);

/// Calls between entries.
#[tarpc::service]
trait News {
    /// Returns what a process lacks that knows everything up to `after`.
    async fn since(after: Revision) -> Page;
}

#[derive(Clone)]
struct Teacher(Arc<Follow>);

impl News for Teacher {
    async fn since(self, _: context::Context, after: Revision) -> Page {
        self.0.since(after)
    }
}

/// Serves other entries for good.
pub(crate) async fn serve(listener: TcpListener, follow: Arc<Follow>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let teacher = Teacher(follow.clone());
                tokio::spawn(time::timeout(SERVED, serve_one(stream, teacher)));
            }
            Err(e) => {
                log::warn!(reason:% = e; "another entry could not be accepted");
                time::sleep(PATIENCE).await;
            }
        }
    }
}

async fn serve_one(stream: TcpStream, teacher: Teacher) {
    if let Err(e) = node::tune(&stream) {
        log::warn!(reason:% = e; "socket options");
        return;
    }
    let channel = BaseChannel::with_defaults(transport(stream));
    channel
        .execute(teacher.serve())
        .for_each(|call| async {
            tokio::spawn(call);
        })
        .await;
}

/// Asks another entry for what this one lacks.
///
/// # Errors
///
/// Returns an error if the other entry cannot be reached or does not answer in time.
pub(crate) async fn fetch(address: SocketAddr, after: Revision) -> anyhow::Result<Page> {
    let stream = time::timeout(PATIENCE, TcpStream::connect(address))
        .await
        .context("no connection in time")??;
    node::tune(&stream)?;
    let client = NewsClient::new(client::Config::default(), transport(stream)).spawn();
    let call = client.since(context::current(), after);
    let page = time::timeout(PATIENCE, call)
        .await
        .context("no answer in time")??;
    Ok(page)
}

/// Carries messages over a connection.
fn transport<In, Out>(
    stream: TcpStream,
) -> impl futures::Stream<Item = io::Result<In>> + futures::Sink<Out, Error = io::Error>
where
    In: for<'de> serde::Deserialize<'de>,
    Out: serde::Serialize,
{
    let framed = LengthDelimitedCodec::builder().new_framed(stream);
    tarpc::serde_transport::new(framed, MessagePack::<In, Out>::default())
}
