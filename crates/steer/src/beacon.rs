use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use fleet::View;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::{net::UdpSocket, sync::watch, time};

use crate::{crew::Crew, engine::Epoch};

/// Time between two announcements of a leader.
const ANNOUNCE: Duration = Duration::from_millis(250);
/// Largest message in bytes.
const LARGEST: usize = 512;

/// Tells where the leader of a group is.
#[derive(Debug, Deserialize, Serialize)]
struct Beacon {
    group: SmolStr,
    epoch: Epoch,
    leader: SocketAddr,
}

/// Announces this agent to the others while it leads, and hears who else does.
pub(crate) async fn run(
    socket: UdpSocket,
    leader: SocketAddr,
    service: SmolStr,
    crew: Arc<Crew>,
    view: watch::Receiver<Arc<View>>,
) {
    let mut ticks = time::interval(ANNOUNCE);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; LARGEST];
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let Some((group, epoch)) = crew.leads() else { continue };
                let beacon = Beacon { group, epoch, leader };
                let ips = others(&view.borrow().clone(), &service, leader.ip());
                announce(&socket, &beacon, &ips, leader.port()).await;
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => match rmp_serde::from_slice::<Beacon>(&buffer[..length]) {
                    Ok(beacon) => crew.found(&beacon.group, beacon.epoch, beacon.leader),
                    Err(e) => log::debug!("unreadable message: {e}"),
                },
                Err(e) => log::debug!("message of another agent: {e}"),
            },
        }
    }
}

/// Lists the machines of a service's other endpoints; an agent stands on each.
fn others(view: &View, service: &str, own: IpAddr) -> Vec<IpAddr> {
    let endpoints = view.endpoints.values().map(|known| &known.endpoint);
    let ips = endpoints
        .filter(|e| e.service == service)
        .map(|e| e.address.ip());
    ips.filter(|ip| *ip != own).collect()
}

async fn announce(socket: &UdpSocket, beacon: &Beacon, ips: &[IpAddr], port: u16) {
    let bytes = match rmp_serde::to_vec(beacon) {
        Ok(bytes) => bytes,
        Err(e) => {
            log::warn!(reason:% = e; "announcement cannot be encoded");
            return;
        }
    };
    for ip in ips {
        if let Err(e) = socket.send_to(&bytes, SocketAddr::new(*ip, port)).await {
            log::debug!("no announcement to {ip}: {e}");
        }
    }
}
