//! Simulated state service.

use super::*;

/// A linearizable key-value store with leases and a log of changes.
#[derive(Default)]
pub(super) struct Store {
    pub(super) revision: u64,
    /// Value, revision of the last write, and lease of each key.
    pub(super) keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    /// End and term of each lease.
    pub(super) leases: BTreeMap<u64, (Micros, Micros)>,
    pub(super) next_lease: u64,
    /// Changes by revision; `None` for a deleted key.
    pub(super) log: Vec<(u64, String, Option<Value>)>,
    pub(super) now: Micros,
    /// When each job's withdrawal was recorded.
    pub(super) withdrawals: BTreeMap<String, Micros>,
    pub(super) txn_ops: usize,
    pub(super) value_limit: usize,
}

impl Store {
    pub(super) fn expire_leases(&mut self, now: Micros) {
        self.now = now;
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(l, _)| *l).collect();
        expired.into_iter().for_each(|l| self.end_lease(l));
    }

    /// Removes a lease and deletes its keys.
    pub(super) fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, v)| v.2 == Some(lease)).map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.keys.remove(&key);
            self.log.push((self.revision, key, None));
        }
    }

    pub(super) fn commit(&mut self, t: Transaction) -> StoreReply {
        assert!(t.writes.len() <= self.txn_ops, "too many writes in a transaction");
        assert!(t.conditions.len() <= 4 * self.txn_ops);
        assert!(serde_json::to_vec(&t).unwrap().len() <= 64 << 10, "a transaction is too large");
        let is_expired = |lease: &Option<u64>| lease.is_some_and(|l| !self.leases.contains_key(&l));
        if t.writes.iter().any(|w| matches!(w, Write::Put { lease, .. } if is_expired(lease))) {
            return StoreReply::NoLease;
        }
        let stamp = |key: &String| self.keys.get(key).map_or(0, |v| v.1);
        let failed: Vec<String> =
            t.conditions.iter().filter(|c| stamp(&c.key) != c.stamp).map(|c| c.key.clone()).collect();
        if !failed.is_empty() {
            return StoreReply::Conflict { failed };
        }
        self.revision += 1;
        for write in t.writes {
            match write {
                Write::Put { key, value, lease } => {
                    assert!(value.to_string().len() <= self.value_limit, "{key} is too large");
                    self.log.push((self.revision, key.clone(), Some(value.clone())));
                    if let Some(job) = key.strip_prefix(records::FINAL_STATES_PREFIX)
                        && value["state"] == "withdrawn"
                    {
                        self.withdrawals.insert(job.to_owned(), self.now);
                    }
                    self.keys.insert(key, (value, self.revision, lease));
                }
                Write::Delete { key } => {
                    if self.keys.remove(&key).is_some() {
                        self.log.push((self.revision, key, None));
                    }
                }
            }
        }
        StoreReply::Committed { revision: self.revision }
    }

    /// The changes under a prefix after a revision.
    pub(super) fn changes_since(&self, prefix: &str, after: u64) -> Vec<Change> {
        let first = self.log.partition_point(|(revision, ..)| *revision <= after);
        let changes = self.log[first..].iter().filter(|(_, key, _)| key.starts_with(prefix));
        changes
            .map(|(stamp, key, value)| match value {
                Some(value) => Change::Put { key: key.clone(), value: value.into(), stamp: *stamp },
                None => Change::Delete { key: key.clone(), stamp: *stamp },
            })
            .collect()
    }

    pub(super) fn handle_call(&mut self, now: Micros, call: &StoreCall) -> StoreReply {
        self.expire_leases(now);
        match call {
            StoreCall::Get { key } => match self.keys.get(key) {
                Some((value, stamp, _)) => StoreReply::Found { value: value.clone(), stamp: *stamp },
                None => StoreReply::Missing,
            },
            StoreCall::List { prefix, after } => {
                let matching = self.keys.iter().filter(|(k, _)| k.starts_with(prefix) && *k > after);
                let mut entries: Vec<Entry> = matching
                    .take(8)
                    .map(|(k, v)| Entry { key: k.clone(), value: (&v.0).into(), stamp: v.1 })
                    .collect();
                let more = entries.len() > 7;
                entries.truncate(7);
                StoreReply::Page(Page { entries, more, revision: self.revision })
            }
            StoreCall::Commit(t) => self.commit(t.clone()),
            StoreCall::Lease { life_ms } => {
                self.next_lease += 1;
                let term = Micros::from_millis(*life_ms);
                self.leases.insert(self.next_lease, (now + term, term));
                StoreReply::Leased { lease: self.next_lease }
            }
            StoreCall::Renew { lease } => match self.leases.get_mut(lease) {
                Some((end, term)) => {
                    *end = now + *term;
                    StoreReply::Renewed
                }
                None => StoreReply::Missing,
            },
            StoreCall::Release { lease } => {
                if !self.leases.contains_key(lease) {
                    return StoreReply::Missing;
                }
                self.end_lease(*lease);
                StoreReply::Renewed
            }
            StoreCall::Follow { prefix, after, .. } => StoreReply::News(ChangeBatch {
                revision: self.revision,
                changes: self.changes_since(prefix, *after),
            }),
        }
    }

    /// Gives all leases their full term from `now` on.
    pub(super) fn renew_all_leases(&mut self, now: Micros) {
        for (end, term) in self.leases.values_mut() {
            *end = now + *term;
        }
    }
}
