use std::sync::Arc;

use bytes::Bytes;
use once::{Answer, Ledger, Plain, Reserve, Reserved};
use smol_str::format_smolstr;
use tokio::time::Instant;
use wire::{Head, Key};

/// Returns run records that hold so many finished runs.
pub(crate) fn filled(count: usize) -> anyhow::Result<Plain> {
    let mut ledger = Plain::new(count);
    let now = Instant::now();
    for number in 0..count {
        let key = Key {
            team: "team-1".into(),
            text: format_smolstr!("caller-key-of-ordinary-length-{number}"),
            owner: None,
        };
        let request = format_smolstr!("{number:032x}");
        let reserve = Reserve {
            key: key.clone(),
            request: request.clone(),
            attempt: 1,
            fingerprint: 7,
        };
        let Reserved::Token(token) = ledger.reserve(reserve, now) else {
            anyhow::bail!("key {number} was refused");
        };
        ledger.start(&key, token, now)?;
        let head = Head {
            request,
            attempt: 1,
            status: 200,
            headers: Vec::new(),
        };
        let body = Bytes::from(vec![0; 200]);
        ledger.finish(&key, Some(Arc::new(Answer { head, body })), now);
    }
    Ok(ledger)
}
