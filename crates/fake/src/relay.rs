use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
};

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

/// Upper bound of the size of a UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Rule by which a relay drops datagrams.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Filter {
    /// Forward datagrams, except those of flows that were dropped before.
    #[default]
    #[serde(rename = "pass")]
    Forward,
    /// Drop the flows that exist now for good, and forward new ones.
    #[serde(rename = "silence")]
    DropExisting,
    /// Drop all datagrams.
    #[serde(rename = "cut")]
    DropAll,
}

/// UDP relay in front of a target address.
///
/// Each source address is a flow with a socket of its own, so that single flows can be dropped.
pub struct Relay {
    listener: Arc<UdpSocket>,
    target: SocketAddr,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    drop_all: bool,
    /// Socket to the target and whether the flow is dropped, by source address.
    flows: HashMap<SocketAddr, (Arc<UdpSocket>, bool)>,
}

impl Relay {
    /// Starts a relay on a free port of the loopback interface; returns it with its address.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be bound.
    pub async fn start(target: SocketAddr) -> anyhow::Result<(Arc<Self>, SocketAddr)> {
        let listener = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        let address = listener.local_addr()?;
        let relay = Arc::new(Self {
            listener,
            target,
            state: Mutex::default(),
        });
        tokio::spawn(relay.clone().forward_to_target());
        Ok((relay, address))
    }

    /// Sets the rule for all datagrams from now on.
    pub fn set_filter(&self, filter: Filter) {
        let Ok(mut state) = self.state.lock() else {
            return;
        };
        state.drop_all = filter == Filter::DropAll;
        if filter == Filter::DropExisting {
            state
                .flows
                .values_mut()
                .for_each(|(_, dropped)| *dropped = true);
        }
    }

    async fn forward_to_target(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, source)) = self.listener.recv_from(&mut buffer).await else {
                continue;
            };
            let Some(socket) = self.open_flow(source).await else {
                continue;
            };
            let _ = socket.send(&buffer[..length]).await;
        }
    }

    /// Returns the socket of a flow, which is created if needed; `None` if the flow is dropped.
    async fn open_flow(self: &Arc<Self>, source: SocketAddr) -> Option<Arc<UdpSocket>> {
        if let Some(socket) = self.find_flow(source) {
            return socket;
        }
        let socket = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.ok()?);
        socket.connect(self.target).await.ok()?;
        self.state
            .lock()
            .ok()?
            .flows
            .insert(source, (socket.clone(), false));
        tokio::spawn(self.clone().forward_to_source(source, socket.clone()));
        Some(socket)
    }

    /// Returns the socket of a known flow, or `Some(None)` if its datagrams are dropped; `None` if the
    /// flow is new.
    fn find_flow(&self, source: SocketAddr) -> Option<Option<Arc<UdpSocket>>> {
        let state = self.state.lock().ok()?;
        if state.drop_all {
            return Some(None);
        }
        let (socket, dropped) = state.flows.get(&source)?;
        Some((!dropped).then(|| socket.clone()))
    }

    async fn forward_to_source(self: Arc<Self>, source: SocketAddr, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok(length) = socket.recv(&mut buffer).await else {
                continue;
            };
            if let Some(Some(_)) = self.find_flow(source) {
                let _ = self.listener.send_to(&buffer[..length], source).await;
            }
        }
    }
}
