use std::{net::SocketAddr, time::Duration};

use group::{Datagram, MAX_BYTES, MAX_REFUSALS, Refusal, Refusals, Status, Subject};

fn status(ranks: u16) -> Status {
    Status {
        service: "drafts-of-a-long-name".into(),
        group: "drafts-of-a-long-name-group-17".into(),
        epoch: 1 << 40,
        open: true,
        engines: (0..ranks)
            .map(|rank| SocketAddr::from(([10, 200, 250, (rank % 250) as u8], 60_000 + rank)))
            .collect(),
    }
}

/// Returns as many refusals as a datagram has, with the longest ids of parts that entries keep.
fn refusals() -> Refusals {
    let refused = (0..MAX_REFUSALS).map(|number| Refusal {
        subject: match number % 2 {
            0 => Subject::Request(u64::MAX - number as u64),
            _ => Subject::Part(format!("{number:032x}").into()),
        },
        age: Duration::from_millis(599_999),
        crashes: 1000,
    });
    Refusals {
        memory: Duration::from_secs(600),
        refused: refused.collect(),
    }
}

#[test]
fn datagrams_decoded() {
    let datagrams = [
        Datagram::Status(status(64)),
        Datagram::Ask,
        Datagram::Entries(vec![([10, 1, 0, 40], 7342).into()]),
        Datagram::AskRefusals,
        Datagram::Refusals(refusals()),
        Datagram::Refusals(Refusals::default()),
    ];
    for datagram in datagrams {
        assert_eq!(Datagram::decode(&datagram.encode().unwrap()), Ok(datagram));
    }
}

#[test]
fn large_groups_fit() {
    assert!(Datagram::Status(status(64)).encode().unwrap().len() <= 1200);
    assert!(Datagram::Status(status(128)).encode().is_ok());
    assert!(Datagram::Status(status(2000)).encode().is_err());
}

#[test]
fn foreign_bytes_refused() {
    for bytes in [
        &b""[..],
        &[0xc1],
        &[0xff; MAX_BYTES],
        b"GET / HTTP/1.1\r\n\r\n",
    ] {
        assert!(Datagram::decode(bytes).is_err());
    }
}
