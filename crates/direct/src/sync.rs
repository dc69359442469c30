//! Remote calls by which an entry gets from another one what it lacks of the store.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context as _;
use fleet::{Follow, Page, Revision};
use futures::StreamExt as _;
use node::rpc;
use tarpc::{
    client, context,
    server::{BaseChannel, Channel as _},
};
use tokio::{net::TcpListener, time};

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
        let stream = rpc::accept(&listener).await;
        let channel = BaseChannel::with_defaults(rpc::transport(stream));
        let calls = channel.execute(Teacher(follow.clone()).serve());
        let served = calls.for_each(|call| async {
            tokio::spawn(call);
        });
        tokio::spawn(time::timeout(SERVED, served));
    }
}

/// Asks another entry for what this one lacks.
///
/// # Errors
///
/// Returns an error if the other entry cannot be reached or does not answer in time.
pub(crate) async fn fetch(address: SocketAddr, after: Revision) -> anyhow::Result<Page> {
    let stream = rpc::connect(address, PATIENCE).await?;
    let client = NewsClient::new(client::Config::default(), rpc::transport(stream)).spawn();
    let call = client.since(context::current(), after);
    let page = time::timeout(PATIENCE, call)
        .await
        .context("no answer in time")??;
    Ok(page)
}
