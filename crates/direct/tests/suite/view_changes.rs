//! Requests that are answered while the view of the store is replaced.

use std::{
    net::SocketAddr,
    sync::{Arc, mpsc},
    time::Duration,
};

use fleet::{Change, Content, Item, Page, Patience, Revision, Source, SourceError};
use futures::future::{self, BoxFuture, FutureExt as _};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    task,
};

use crate::{end_to_end, support};

/// Number of clients, each with one connection.
const CLIENTS: usize = 8;
/// Number of requests of a client.
const REQUESTS: usize = 5_000;
/// Time within which all requests must be answered, far more than they take.
const LIMIT: Duration = Duration::from_secs(60);

/// Store that answers each watch at once, without a change.
struct BusyStore;

fn page(changes: Vec<Change>) -> Page {
    Page {
        changes,
        covered: 1.into(),
        keys: None,
        lapsing: Duration::ZERO,
    }
}

impl Source for BusyStore {
    fn list(&self, _: Patience) -> BoxFuture<'_, Result<Page, SourceError>> {
        let configuration = Arc::new(support::configuration(1));
        let item = Item {
            key: "configuration".into(),
            revision: 1.into(),
            content: Content::Configuration(configuration),
        };
        future::ready(Ok(page(vec![Change::Put(item)]))).boxed()
    }

    fn watch(&self, _: Revision, _: Patience) -> BoxFuture<'_, Result<Page, SourceError>> {
        async {
            task::yield_now().await;
            Ok(page(Vec::new()))
        }
        .boxed()
    }
}

/// Sends requests without a route, each of which is refused, over one connection.
async fn send_refused(entry: SocketAddr) {
    let mut stream = TcpStream::connect(entry).await.unwrap();
    let mut bytes = [0; 4096];
    for number in 0..REQUESTS {
        let request =
            format!("GET /nothing HTTP/1.1\r\nhost: host.example\r\nid: r{number}\r\n\r\n");
        stream.write_all(request.as_bytes()).await.unwrap();
        let length = stream.read(&mut bytes).await.unwrap();
        assert!(
            bytes[..length].starts_with(b"HTTP/1.1 404"),
            "request {number}"
        );
    }
}

/// Refusals and replacements of the view do not wait for each other (an entry that answered nobody any more).
#[test]
fn refusals_answered() {
    // The lines of the log are formatted only at this level.
    log::set_max_level(log::LevelFilter::Info);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let (sender, receiver) = mpsc::channel();
    runtime.spawn(async move {
        let (entry, _) = end_to_end::start_following(Arc::new(BusyStore)).await;
        let clients = (0..CLIENTS).map(|_| task::spawn(send_refused(entry)));
        let ended = future::join_all(clients).await;
        sender.send(ended.into_iter().all(|client| client.is_ok()))
    });
    let answered = receiver.recv_timeout(LIMIT);
    // Threads that wait for each other never end.
    runtime.shutdown_background();
    assert_eq!(answered, Ok(true));
}
