use std::{net::SocketAddr, time::Duration};

use anyhow::Context as _;
use clap::{Arg, ArgMatches, value_parser};
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper::body::Bytes;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde::de::DeserializeOwned;
use tokio::time;

/// Time in which a process must answer.
const ANSWER: Duration = Duration::from_secs(5);
/// Largest answer in bytes.
const ANSWER_LIMIT: usize = 64 * 1024 * 1024;

/// Makes the argument that names the operators' addresses of processes.
pub(crate) fn addresses() -> Arg {
    Arg::new("address")
        .value_name("ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .num_args(1..)
        .required(true)
        .help("Operators' addresses of the processes, as in `listen.operators`")
}

/// Returns the addresses that were given.
pub(crate) fn given(matches: &ArgMatches) -> Vec<SocketAddr> {
    matches
        .get_many("address")
        .into_iter()
        .flatten()
        .copied()
        .collect()
}

/// Reads a page of JSON of a process.
///
/// # Errors
///
/// Returns an error if the process cannot be reached or answers something else.
pub(crate) async fn fetch<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
) -> anyhow::Result<T> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let read = async {
        let response = client
            .get(format!("http://{address}{path}").parse()?)
            .await?;
        let body = Limited::new(response.into_body(), ANSWER_LIMIT).collect();
        Ok::<_, anyhow::Error>(body.await.map_err(anyhow::Error::from_boxed)?.to_bytes())
    };
    let bytes = time::timeout(ANSWER, read)
        .await
        .with_context(|| format!("{address}: no answer in time"))??;
    serde_json::from_slice(&bytes)
        .with_context(|| format!("{address}{path}: not the answer of this program"))
}
