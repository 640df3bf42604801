//! Stored form of a block of machines: a table of names, and rows that refer to them by index.
//!
//! Rows are compact because every controller reads every grant, so that each byte of a row is transferred once per
//! controller. The size limit of a value also bounds how many machines one transaction can reassign.

use std::borrow::Cow;
use std::cmp::Ordering;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::records::BlockRow;

/// Version of the format that is written. Version 1, a plain list of rows, can still be read.
const FORMAT_VERSION: u32 = 2;
/// Flag of a row: the machine is a spot machine.
const SPOT_FLAG: u8 = 1;
/// Flag of a row: the machine is to be returned to the cloud.
const RETURNING_FLAG: u8 = 2;
/// Flag of a row: the grant comprises a range of tokens.
const TOKEN_RANGE_FLAG: u8 = 4;
/// Upper bound of the encoded size of the numbers in a row: three name indices of up to 4 digits, a registration and a
/// token of up to 12 digits, each with a comma, and the flags.
const MAX_NUMBERS_BYTES: usize = 3 * 5 + 2 * 13 + 1;

/// Why a stored block can't be read.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum BlockError {
    #[error("unknown format version {0}")]
    UnknownVersion(u64),
    #[error("a row refers to a name index that is not in the table of names")]
    UndefinedName,
    #[error("malformed block: {0}")]
    Malformed(String),
}

/// A block as it is stored.
#[derive(Serialize, Deserialize)]
struct StoredBlock<'a> {
    /// [`FORMAT_VERSION`].
    v: u32,
    /// Machine types, zones and owners. The first is the empty string, which stands for no owner.
    #[serde(borrow)]
    names: Vec<Cow<'a, str>>,
    #[serde(borrow)]
    rows: Vec<StoredRow<'a>>,
}

/// A row as it is stored: machine, name indices of its type, zone and owner, registration, token, flags.
#[derive(Debug, Serialize, Deserialize)]
struct StoredRow<'a>(#[serde(borrow)] Cow<'a, str>, usize, usize, usize, u64, u64, u8);

impl StoredRow<'_> {
    fn name_indices(&self) -> [usize; 3] {
        [self.1, self.2, self.3]
    }

    fn expand(&self, names: &[Cow<'_, str>]) -> BlockRow {
        let name = |n: usize| names.get(n).map_or_else(String::new, |name| name.clone().into_owned());
        BlockRow {
            machine: self.0.clone().into_owned(),
            kind: name(self.1),
            zone: name(self.2),
            spot: self.6 & SPOT_FLAG != 0,
            owner: name(self.3),
            registration: self.4,
            returning: self.6 & RETURNING_FLAG != 0,
            token: self.5,
            has_token_range: self.6 & TOKEN_RANGE_FLAG != 0,
        }
    }
}

/// Upper bound of the encoded size of a name, with its quotes and a comma.
pub fn max_name_bytes(name: &str) -> usize {
    let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '\\';
    name.chars().map(|c| if plain(c) { 1 } else { 6 }).sum::<usize>() + 3
}

/// Upper bound of the encoded size that a machine's row can ever reach, without the names it refers to.
pub fn max_row_bytes(machine: &str) -> usize {
    max_name_bytes(machine) + MAX_NUMBERS_BYTES + 4
}

/// Upper bound of the encoded size of a block without rows and names.
pub const FRAME_BYTES: usize = 40;

/// A block as it was last read, ordered by machine.
///
/// It is kept to find the rows that change: a grant writes whole blocks, and few of their rows change.
#[derive(Debug, Default)]
pub struct Block {
    names: Vec<Cow<'static, str>>,
    rows: Vec<StoredRow<'static>>,
    max_rows_bytes: usize,
}

/// Differences between two successive values of a block.
#[derive(Debug, Default, PartialEq)]
pub struct BlockChanges {
    /// Machines whose rows were removed.
    pub removed: Vec<String>,
    /// Rows that are new or differ from the previous value.
    pub changed: Vec<BlockRow>,
}

impl Block {
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    pub fn machines(&self) -> impl Iterator<Item = &str> {
        self.rows.iter().map(|r| r.0.as_ref())
    }

    /// Sum of [`max_row_bytes`] of all rows.
    pub fn max_rows_bytes(&self) -> usize {
        self.max_rows_bytes
    }

    /// Replaces the contents by a stored value and returns the differences.
    ///
    /// # Errors
    /// If the value can't be read. The block is unchanged then.
    pub fn update(&mut self, text: &str) -> Result<BlockChanges, BlockError> {
        let old: Vec<BlockRow>;
        let mut stored = match text.trim_start().starts_with('[') {
            true => {
                old = serde_json::from_str(text).map_err(malformed)?;
                to_stored(&old)
            }
            false => parse(text)?,
        };
        let count = stored.names.len();
        if stored.rows.iter().any(|r| r.name_indices().into_iter().any(|n| n >= count)) {
            return Err(BlockError::UndefinedName);
        }
        if !stored.rows.is_sorted_by(|a, b| a.0 < b.0) {
            stored.rows.sort_by(|a, b| a.0.cmp(&b.0));
        }
        // Maps each new name index to the old one, so that rows are compared without comparing names.
        let old_index = |name: &Cow<'_, str>| self.names.iter().position(|n| n == name);
        let old_index: Vec<Option<usize>> = stored.names.iter().map(old_index).collect();
        let is_unchanged = |old: &StoredRow<'_>, new: &StoredRow<'_>| {
            let names = old.name_indices().into_iter().zip(new.name_indices());
            (old.4, old.5, old.6) == (new.4, new.5, new.6)
                && names.into_iter().all(|(o, n)| old_index[n] == Some(o))
        };
        let mut changes = BlockChanges::default();
        let mut old_rows = self.rows.iter().peekable();
        for row in &stored.rows {
            while let Some(removed) = old_rows.next_if(|old| old.0 < row.0) {
                changes.removed.push(removed.0.clone().into_owned());
            }
            match old_rows.next_if(|old| old.0.cmp(&row.0) == Ordering::Equal) {
                Some(old) if is_unchanged(old, row) => {}
                _ => changes.changed.push(row.expand(&stored.names)),
            }
        }
        changes.removed.extend(old_rows.map(|old| old.0.clone().into_owned()));
        // Most machines stay the same: their names are moved from the old rows rather than copied.
        let mut reusable = std::mem::take(&mut self.rows).into_iter().peekable();
        self.rows = Vec::with_capacity(stored.rows.len());
        for row in stored.rows {
            while reusable.next_if(|old| old.0 < row.0).is_some() {}
            let name = reusable.next_if(|old| old.0 == row.0).map(|old| old.0);
            self.rows.push(StoredRow(
                name.unwrap_or_else(|| Cow::Owned(row.0.clone().into_owned())),
                row.1,
                row.2,
                row.3,
                row.4,
                row.5,
                row.6,
            ));
        }
        self.names = stored.names.into_iter().map(|n| Cow::Owned(n.into_owned())).collect();
        self.max_rows_bytes = self.rows.iter().map(|r| max_row_bytes(&r.0)).sum();
        Ok(changes)
    }

    /// Removes all rows, after the key of the block was deleted.
    pub fn clear(&mut self) -> BlockChanges {
        let all = std::mem::take(self).rows;
        BlockChanges { removed: all.into_iter().map(|r| r.0.into_owned()).collect(), changed: Vec::new() }
    }
}

fn malformed(error: serde_json::Error) -> BlockError {
    BlockError::Malformed(error.to_string())
}

fn parse(text: &str) -> Result<StoredBlock<'_>, BlockError> {
    #[derive(Deserialize)]
    struct Versioned {
        v: u64,
    }
    match serde_json::from_str::<StoredBlock<'_>>(text) {
        Ok(stored) if stored.v == FORMAT_VERSION => Ok(stored),
        result => match serde_json::from_str::<Versioned>(text) {
            Ok(other) if other.v != u64::from(FORMAT_VERSION) => Err(BlockError::UnknownVersion(other.v)),
            _ => Err(result.err().map_or(BlockError::UndefinedName, malformed)),
        },
    }
}

fn to_stored(rows: &[BlockRow]) -> StoredBlock<'_> {
    let mut names: Vec<Cow<'_, str>> = vec![Cow::Borrowed("")];
    let mut stored = Vec::with_capacity(rows.len());
    for r in rows {
        let mut indices = [0; 3];
        for (index, name) in indices.iter_mut().zip([&r.kind, &r.zone, &r.owner]) {
            *index = names.iter().position(|n| *n == name.as_str()).unwrap_or_else(|| {
                names.push(Cow::Borrowed(name));
                names.len() - 1
            });
        }
        let flag = |set: bool, flag: u8| if set { flag } else { 0 };
        let flags = flag(r.spot, SPOT_FLAG)
            | flag(r.returning, RETURNING_FLAG)
            | flag(r.has_token_range, TOKEN_RANGE_FLAG);
        let [kind, zone, owner] = indices;
        stored.push(StoredRow(Cow::Borrowed(&r.machine), kind, zone, owner, r.registration, r.token, flags));
    }
    stored.sort_by(|a, b| a.0.cmp(&b.0));
    StoredBlock { v: FORMAT_VERSION, names, rows: stored }
}

/// Encodes rows as the value to store.
pub fn encode(rows: &[BlockRow]) -> serde_json::Result<Value> {
    serde_json::to_value(to_stored(rows))
}

#[cfg(test)]
mod tests {
    use rand::{RngExt, SeedableRng, rngs::StdRng};
    use serde_json::json;

    use super::*;

    /// Decodes the rows of a stored value.
    fn decode(value: Value) -> Result<Vec<BlockRow>, BlockError> {
        Block::default().update(&value.to_string()).map(|changes| changes.changed)
    }

    fn random_rows(rng: &mut StdRng) -> Vec<BlockRow> {
        let kinds = ["g8", "lens12", "a \"quoted\" type"];
        let owners = ["", "quarry-0", "quarry-12"];
        let row = |n: u32, rng: &mut StdRng| BlockRow {
            machine: format!("m-{n:06}"),
            kind: kinds[rng.random_range(0..3)].to_owned(),
            zone: ["east", "west\u{e4}"][rng.random_range(0..2)].to_owned(),
            spot: rng.random_bool(0.5),
            owner: owners[rng.random_range(0..3)].to_owned(),
            registration: rng.random_range(0..1 << 39),
            returning: rng.random_bool(0.1),
            token: rng.random_range(0..1 << 39),
            has_token_range: rng.random_bool(0.5),
        };
        (0..rng.random_range(0..300)).map(|n| row(n, rng)).collect()
    }

    /// Guards against a value that outgrows the state service's size limit when its machines are granted, and against
    /// rows that are decoded differently from how they were encoded.
    #[test]
    fn rows_round_trip_within_their_size_bounds() {
        for seed in 0..200 {
            let mut rng = StdRng::seed_from_u64(seed);
            let rows = random_rows(&mut rng);
            let value = encode(&rows).unwrap();
            let names: std::collections::BTreeSet<&String> =
                rows.iter().flat_map(|r| [&r.kind, &r.zone, &r.owner]).collect();
            let most = rows.iter().map(|r| max_row_bytes(&r.machine)).sum::<usize>()
                + names.into_iter().map(|n| max_name_bytes(n)).sum::<usize>();
            assert!(value.to_string().len() <= most + FRAME_BYTES, "seed {seed}");
            assert_eq!(decode(value).unwrap(), rows, "seed {seed}");
            assert_eq!(
                decode(serde_json::to_value(&rows).unwrap()).unwrap(),
                rows,
                "format version 1, seed {seed}"
            );
        }
    }

    /// Guards against changed rows that are taken for unchanged, and the reverse: applying the changes of successive
    /// values must give the rows of the last value. A value that can't be read must change nothing.
    #[test]
    fn successive_changes_add_up_to_the_rows() {
        for seed in 0..100 {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut block = Block::default();
            let mut known = std::collections::BTreeMap::new();
            let mut rows = random_rows(&mut rng);
            for _ in 0..8 {
                let value = if rng.random_bool(0.2) {
                    serde_json::to_value(&rows).unwrap()
                } else {
                    encode(&rows).unwrap()
                };
                let changes = block.update(&value.to_string()).unwrap();
                for removed in changes.removed {
                    assert!(known.remove(&removed).is_some(), "seed {seed}: {removed} was not known");
                }
                for row in changes.changed {
                    let old_index = known.insert(row.machine.clone(), row.clone());
                    assert_ne!(
                        old_index.as_ref(),
                        Some(&row),
                        "seed {seed}: row reported as changed is the same"
                    );
                }
                assert!(known.values().eq(&rows), "seed {seed}");
                assert!(block.machines().eq(rows.iter().map(|r| r.machine.as_str())));
                assert_eq!(
                    block.max_rows_bytes(),
                    rows.iter().map(|r| max_row_bytes(&r.machine)).sum::<usize>()
                );
                assert_eq!(
                    block.update("{\"v\": 2}").map_err(|e| matches!(e, BlockError::Malformed(_))),
                    Err(true)
                );
                let fresh = random_rows(&mut rng);
                let keep = rng.random_range(0.0..1.0);
                rows.retain(|_| rng.random_bool(0.9));
                for row in fresh.into_iter().filter(|_| !rng.random_bool(keep)) {
                    match rows.binary_search_by(|r| r.machine.cmp(&row.machine)) {
                        Ok(i) => rows[i] = row,
                        Err(i) => rows.insert(i, row),
                    }
                }
            }
            let removed = block.clear().removed;
            assert!(removed.iter().eq(known.keys()) && block.is_empty());
        }
    }

    /// Guards against tokens beyond a grant of an earlier version, which comprises a single one.
    #[test]
    fn rows_of_earlier_versions_have_a_single_token() {
        let rows =
            decode(json!({"v": 2, "names": ["", "n-1"], "rows": [["m-1", 0, 0, 1, 7, 9, 3]]})).unwrap();
        assert_eq!((rows[0].token, rows[0].last_token()), (9, 9));
    }

    #[test]
    fn unreadable_blocks_are_rejected_with_the_reason() {
        assert_eq!(decode(json!({"v": 3, "names": [], "rows": []})), Err(BlockError::UnknownVersion(3)));
        assert_eq!(
            decode(json!({"v": 2, "names": [""], "rows": [["m-1", 0, 4, 0, 0, 0, 0]]})),
            Err(BlockError::UndefinedName)
        );
        assert!(matches!(decode(json!({"v": 2, "names": [""]})), Err(BlockError::Malformed(_))));
        assert!(matches!(decode(json!("rows")), Err(BlockError::Malformed(_))));
    }
}
