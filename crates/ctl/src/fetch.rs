use std::{net::SocketAddr, time::Duration};

use anyhow::Context as _;
use clap::{Arg, ArgMatches, value_parser};
use http_body_util::Empty;
use hyper::body::Bytes;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde::de::DeserializeOwned;
use tokio::time;

/// Maximum time for the answer of a process.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Returns the argument that takes the addresses of processes.
pub(crate) fn addresses_arg() -> Arg {
    Arg::new("address")
        .value_name("ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .num_args(1..)
        .required(true)
        .help("Addresses of the processes, as in their setting `listen.operators`")
}

/// Returns the values of [`addresses_arg`].
pub(crate) fn addresses(matches: &ArgMatches) -> Vec<SocketAddr> {
    matches
        .get_many("address")
        .into_iter()
        .flatten()
        .copied()
        .collect()
}

/// Requests a path from the operators' address of a process and decodes the JSON answer.
///
/// # Errors
///
/// Returns an error if the process cannot be reached, does not answer in time or answers with
/// something else.
pub(crate) async fn fetch<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
) -> anyhow::Result<T> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let read = async {
        let response = client
            .get(format!("http://{address}{path}").parse()?)
            .await?;
        let bytes = payload::collect(response.into_body(), MAX_ANSWER_BYTES).await?;
        Ok::<_, anyhow::Error>(bytes)
    };
    let bytes = time::timeout(ANSWER_TIMEOUT, read)
        .await
        .with_context(|| format!("{address}: request timed out"))??;
    serde_json::from_slice(&bytes).with_context(|| format!("{address}{path}: unexpected answer"))
}
