use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use fleet::View;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::{net::UdpSocket, sync::watch, time};

use crate::{engine::Epoch, peers::Peers};

/// Interval at which a leader sends its beacon.
const BEACON_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 512;

/// Datagram by which the leader of a group announces its address.
#[derive(Debug, Deserialize, Serialize)]
struct Beacon {
    group: SmolStr,
    epoch: Epoch,
    leader: SocketAddr,
}

/// Sends beacons to the other agents while this agent leads, and records the leaders that received
/// beacons announce.
pub(crate) async fn run(
    socket: UdpSocket,
    leader: SocketAddr,
    service: SmolStr,
    peers: Arc<Peers>,
    view: watch::Receiver<Arc<View>>,
) {
    let mut ticks = time::interval(BEACON_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let Some((group, epoch)) = peers.led_group() else { continue };
                let beacon = Beacon { group, epoch, leader };
                let ips = other_vms(&view.borrow().clone(), &service, leader.ip());
                send(&socket, &beacon, &ips, leader.port()).await;
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => match rmp_serde::from_slice::<Beacon>(&buffer[..length]) {
                    Ok(beacon) => peers.record_leader(&beacon.group, beacon.epoch, beacon.leader),
                    Err(e) => log::debug!("beacon cannot be decoded: {e}"),
                },
                Err(e) => log::debug!("receiving a beacon failed: {e}"),
            },
        }
    }
}

/// Lists the VMs of a service's other endpoints; an agent runs on each.
fn other_vms(view: &View, service: &str, own_ip: IpAddr) -> Vec<IpAddr> {
    let endpoints = view
        .endpoints
        .values()
        .map(|registration| &registration.endpoint);
    let ips = endpoints
        .filter(|e| e.service == service)
        .map(|e| e.address.ip());
    ips.filter(|ip| *ip != own_ip).collect()
}

async fn send(socket: &UdpSocket, beacon: &Beacon, ips: &[IpAddr], port: u16) {
    let bytes = match rmp_serde::to_vec(beacon) {
        Ok(bytes) => bytes,
        Err(e) => {
            log::warn!(reason:% = e; "beacon cannot be encoded");
            return;
        }
    };
    for ip in ips {
        if let Err(e) = socket.send_to(&bytes, SocketAddr::new(*ip, port)).await {
            log::debug!("sending a beacon to {ip} failed: {e}");
        }
    }
}
