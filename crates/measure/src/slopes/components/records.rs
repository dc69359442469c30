use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use once::{Answer, Decision, Ledger, Records, Reservation};
use smol_str::format_smolstr;
use tokio::time::Instant;
use wire::{Head, Key, Owner};

use super::document as document_of_size;

/// Returns run records of so many finished runs.
pub(crate) fn filled(count: usize) -> anyhow::Result<Records> {
    let now = Instant::now();
    let incarnation = 1;
    let mut records = Records::new("orders-a-0".into(), incarnation, now);
    records.configure(&document(count), now);
    let owner = Owner {
        incarnation,
        expires: 300,
    };
    for number in 0..count {
        let key = Key {
            team: "team-1".into(),
            text: format_smolstr!("client-key-of-ordinary-length-{number}"),
            owner: Some(owner),
        };
        let request = format_smolstr!("{number:032x}");
        let reserve = Reservation {
            key: key.clone(),
            request: request.clone(),
            attempt: 1,
            fingerprint: 7,
            deadline: now + Duration::from_secs(60),
        };
        let Decision::Granted(token) = records.reserve(reserve, now) else {
            anyhow::bail!("key {number} was refused");
        };
        records.start(&key, token, now)?;
        let head = Head {
            request,
            attempt: 1,
            status: 200,
            headers: Vec::new(),
        };
        let body = Bytes::from(vec![0; 200]);
        records.finish(&key, Some(Arc::new(Answer { head, body })), now);
    }
    Ok(records)
}

/// Returns a document whose policy allows so many run records.
fn document(max_records: usize) -> conf::Document {
    let mut document = document_of_size(1, 1);
    document.policy.records = u32::try_from(max_records).unwrap_or(u32::MAX);
    document
}
