//! Remote calls with which an entry fetches changes of the store from another entry.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context as _;
use conf::id;
use fleet::{Follower, Page, Revision};
use futures::{StreamExt as _, stream::FuturesUnordered};
use node::rpc;
use tarpc::{
    client, context,
    server::{BaseChannel, Channel as _},
};
use tokio::{net::TcpListener, time};

/// Time limit for connecting to another entry, and again for its response.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time without a response after which another entry is asked as well.
const HEDGE_DELAY: Duration = Duration::from_millis(300);
/// Time after which a connection from another entry is closed; each carries one call.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(10);

/// Calls between entries.
#[tarpc::service]
trait Changes {
    /// Returns the changes of the store after a revision.
    async fn since(after: Revision) -> Page;
}

#[derive(Clone)]
struct Server(Arc<Follower>);

impl Changes for Server {
    async fn since(self, _: context::Context, after: Revision) -> Page {
        self.0.changes_since(after)
    }
}

/// Serves the calls of other entries; never returns.
pub(crate) async fn serve(listener: TcpListener, follower: Arc<Follower>) {
    let listener = rpc::Listener::new(listener);
    loop {
        let (stream, slot) = listener.accept().await;
        let channel = BaseChannel::with_defaults(rpc::transport(stream));
        let calls = channel.execute(Server(follower.clone()).serve());
        let served = calls.for_each(|call| async {
            tokio::spawn(call);
        });
        tokio::spawn(async move {
            tokio::select! {
                _ = time::timeout(CONNECTION_LIFETIME, served) => {}
                () = slot.revoked() => {}
            }
        });
    }
}

/// Fetches the changes after a revision from the first of several entries that responds.
///
/// The entries are asked in order; the next one is asked as well if there is no response after
/// [`HEDGE_DELAY`] or if one fails. Returns `None` if all fail.
pub(crate) async fn fetch_first(
    entries: impl IntoIterator<Item = (id::Process, SocketAddr)>,
    after: Revision,
) -> Option<(id::Process, Page)> {
    let mut entries = entries.into_iter();
    let mut calls = FuturesUnordered::new();
    let mut ticks = time::interval(HEDGE_DELAY);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                if let Some((process, address)) = entries.next() {
                    calls.push(async move { (process, fetch(address, after).await) });
                } else if calls.is_empty() {
                    return None;
                }
            }
            Some((process, result)) = calls.next() => match result {
                Ok(page) => return Some((process, page)),
                Err(e) => {
                    log::info!(peer:% = process, reason:% = format!("{e:#}"); "changes cannot be fetched from another entry");
                    ticks.reset_immediately();
                }
            },
        }
    }
}

/// Fetches the changes after a revision from another entry.
///
/// # Errors
///
/// Returns an error if the other entry cannot be reached or does not respond in time.
async fn fetch(address: SocketAddr, after: Revision) -> anyhow::Result<Page> {
    let stream = rpc::connect(address, FETCH_TIMEOUT).await?;
    let peer = ChangesClient::new(client::Config::default(), rpc::transport(stream)).spawn();
    let call = peer.since(context::current(), after);
    let page = time::timeout(FETCH_TIMEOUT, call)
        .await
        .context("response timed out")??;
    Ok(page)
}
