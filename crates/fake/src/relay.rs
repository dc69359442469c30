use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
};

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

/// Largest datagram.
const DATAGRAM: usize = 64 * 1024;

/// What a relay does with a flow.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Filter {
    /// Datagrams pass.
    #[default]
    #[serde(rename = "pass")]
    Pass,
    /// Flows that exist now go silent for good; new ones pass.
    #[serde(rename = "silence")]
    DropExisting,
    /// Nothing passes.
    #[serde(rename = "cut")]
    DropAll,
}

/// Relays UDP to a target, one socket for each source, so that single flows can be silenced.
pub struct Relay {
    front: Arc<UdpSocket>,
    target: SocketAddr,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    cut: bool,
    flows: HashMap<SocketAddr, (Arc<UdpSocket>, bool)>,
}

impl Relay {
    /// Starts a relay on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(target: SocketAddr) -> anyhow::Result<(Arc<Self>, SocketAddr)> {
        let front = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        let address = front.local_addr()?;
        let relay = Arc::new(Self {
            front,
            target,
            state: Mutex::default(),
        });
        tokio::spawn(relay.clone().forward());
        Ok((relay, address))
    }

    /// Changes what happens to flows.
    pub fn set_filter(&self, flow: Filter) {
        let Ok(mut state) = self.state.lock() else {
            return;
        };
        state.cut = flow == Filter::DropAll;
        if flow == Filter::DropExisting {
            state
                .flows
                .values_mut()
                .for_each(|(_, silent)| *silent = true);
        }
    }

    async fn forward(self: Arc<Self>) {
        let mut buffer = vec![0; DATAGRAM];
        loop {
            let Ok((length, source)) = self.front.recv_from(&mut buffer).await else {
                continue;
            };
            let Some(socket) = self.flow(source).await else {
                continue;
            };
            let _ = socket.send(&buffer[..length]).await;
        }
    }

    /// Returns the socket of a flow; `None` if the flow must not pass.
    async fn flow(self: &Arc<Self>, source: SocketAddr) -> Option<Arc<UdpSocket>> {
        if let Some(found) = self.find(source) {
            return found;
        }
        let socket = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.ok()?);
        socket.connect(self.target).await.ok()?;
        self.state
            .lock()
            .ok()?
            .flows
            .insert(source, (socket.clone(), false));
        tokio::spawn(self.clone().back(source, socket.clone()));
        Some(socket)
    }

    fn find(&self, source: SocketAddr) -> Option<Option<Arc<UdpSocket>>> {
        let state = self.state.lock().ok()?;
        if state.cut {
            return Some(None);
        }
        let (socket, silent) = state.flows.get(&source)?;
        Some((!silent).then(|| socket.clone()))
    }

    async fn back(self: Arc<Self>, source: SocketAddr, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; DATAGRAM];
        loop {
            let Ok(length) = socket.recv(&mut buffer).await else {
                continue;
            };
            if let Some(Some(_)) = self.find(source) {
                let _ = self.front.send_to(&buffer[..length], source).await;
            }
        }
    }
}
