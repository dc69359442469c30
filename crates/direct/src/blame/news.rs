use std::time::Duration;

use group::Refusal;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, OneOrMany, formats::PreferOne, serde_as};

/// Maximum number of subjects in the evidence of one packet, which has less than 4 KB with the longest ids.
const MAX_PACKET_SUBJECTS: usize = 96;

/// Number that identifies a crash, the same at all entries.
pub type CrashId = u32;

/// Crash of an endpoint that ran requests with some subjects.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(bound(serialize = "K: Serialize", deserialize = "K: Deserialize<'de>"))]
pub struct Crash<K> {
    /// Subjects that the endpoint ran.
    #[serde_as(as = "OneOrMany<_, PreferOne>")]
    pub subjects: Vec<K>,
    /// Id of the crash, the same at all entries.
    pub crash: CrashId,
    /// Time since the crash.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Whether the requests had been sent on after another crash.
    pub is_repeat: bool,
}

/// What an entry tells others of blamed subjects.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct News<K> {
    /// Recent crashes.
    pub crashes: Vec<Crash<K>>,
    /// Subjects that are refused.
    pub refused: Vec<Refusal<K>>,
    /// Blamed subjects that turned out to be sound.
    pub sound: Vec<K>,
    /// Subjects that crashes cannot be told apart by; only requests with all of them are refused.
    #[serde(default = "Vec::new", skip_serializing_if = "Vec::is_empty")]
    pub joint: Vec<Refusal<Vec<K>>>,
    /// Blamed subjects that were answered before the crashes.
    #[serde(default = "Vec::new", skip_serializing_if = "Vec::is_empty")]
    pub answered: Vec<Answered<K>>,
}

impl<K: Clone + Default> News<K> {
    /// Splits what is refused or cleared from the evidence for that, which is split into news that fit into a packet each.
    #[must_use]
    pub fn split(self) -> (Self, Vec<Self>) {
        let Self {
            crashes,
            refused,
            sound,
            joint,
            answered,
        } = self;
        let verdicts = Self {
            refused,
            sound,
            ..Self::default()
        };
        let mut packet = Self {
            joint,
            answered,
            ..Self::default()
        };
        let mut packets = Vec::new();
        for crash in crashes {
            for subjects in crash.subjects.chunks(MAX_PACKET_SUBJECTS) {
                if packet.size() > 0 && packet.size() + subjects.len() > MAX_PACKET_SUBJECTS {
                    packets.push(std::mem::take(&mut packet));
                }
                packet.crashes.push(Crash {
                    subjects: subjects.to_vec(),
                    ..crash
                });
            }
        }
        if packet.size() > 0 {
            packets.push(packet);
        }
        (verdicts, packets)
    }

    /// Returns the number of subjects in the evidence.
    fn size(&self) -> usize {
        let crashes = self.crashes.iter().map(|crash| crash.subjects.len());
        let joint = self.joint.iter().map(|refusal| refusal.subject.len());
        crashes.chain(joint).sum::<usize>() + self.answered.len()
    }
}

/// Whole answer to a subject.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answered<K> {
    /// Subject that was answered.
    pub subject: K,
    /// Time since the latest answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// Change of what is refused, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict<K> {
    /// Requests with the subject are refused from now on.
    Refused(K),
    /// Requests with the subject are refused after a single crash, for a shorter time.
    RefusedEarly(K),
    /// Requests with all of these subjects are refused from now on.
    RefusedTogether(Vec<K>),
    /// Requests with the subject are no longer refused: it was answered.
    Sound(K),
    /// Requests with the subject are no longer refused: another one explains the crashes.
    Explained(K),
}

impl<K: Clone> Verdict<K> {
    /// Returns the verdict that requests with all of these subjects are refused.
    pub(super) fn refused(subjects: &[K]) -> Self {
        match subjects {
            [subject] => Self::Refused(subject.clone()),
            _ => Self::RefusedTogether(subjects.to_vec()),
        }
    }
}
