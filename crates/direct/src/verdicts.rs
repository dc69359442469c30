use crate::{Balancer, Fingerprint, Part, Verdict, blame::list_parts, call::Context};

/// Logs and counts which requests and prompt parts are refused, or no longer, since the last call.
pub(crate) fn log(context: &Context) {
    let (requests, parts) = context.with_balancer(|balancer: &mut Balancer| {
        (
            balancer.take_request_verdicts(),
            balancer.take_part_verdicts(),
        )
    });
    for verdict in requests {
        if let Some(name) = log_request(verdict) {
            let counter = &context.metrics.suspects;
            counter.with_label_values(&[name]).inc();
        }
    }
    for verdict in parts {
        let name = log_part(verdict);
        context.metrics.parts.with_label_values(&[name]).inc();
    }
}

/// Logs a verdict on a request; returns its name in the metrics.
fn log_request(verdict: Verdict<Fingerprint>) -> Option<&'static str> {
    match verdict {
        Verdict::Refused(fingerprint) => {
            log::warn!(fingerprint:% = format!("{fingerprint:016x}"); "request is refused: endpoints crash under it");
            Some("refused")
        }
        Verdict::RefusedEarly(fingerprint) => {
            log::warn!(fingerprint:% = format!("{fingerprint:016x}"); "request is refused after one crash: earlier ones may be unknown");
            Some("refused-early")
        }
        Verdict::Sound(fingerprint) => {
            log::info!(fingerprint:% = format!("{fingerprint:016x}"); "request is sound");
            Some("sound")
        }
        // A request is judged by itself.
        Verdict::RefusedTogether(_) | Verdict::Explained(_) => None,
    }
}

/// Logs a verdict on a prompt part; returns its name in the metrics.
fn log_part(verdict: Verdict<Part>) -> &'static str {
    match verdict {
        Verdict::Refused(part) => {
            log::warn!(part:% = part; "prompt part is refused: endpoints crash under it");
            "refused"
        }
        Verdict::RefusedEarly(part) => {
            log::warn!(part:% = part; "prompt part is refused after one crash: earlier ones may be unknown");
            "refused-early"
        }
        Verdict::RefusedTogether(parts) => {
            log::warn!(parts:% = list_parts(&parts); "prompt parts are refused together: endpoints crash under one of them");
            "refused-together"
        }
        Verdict::Sound(part) => {
            log::info!(part:% = part; "prompt part is sound");
            "sound"
        }
        Verdict::Explained(part) => {
            log::info!(part:% = part; "prompt part is no longer refused: another one explains the crashes");
            "explained"
        }
    }
}
