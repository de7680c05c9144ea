//! Raw access to the tables of a state file. The table definitions are repeated here to detect changes in the crate.

use redb::{
    Database, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition, TableHandle,
    WriteTransaction,
};
use std::path::Path;

pub const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
pub const SET_RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("set_records");
pub const VERSION_RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("version_records");
/// Records of the usage duty; files have it only once one was stored.
pub const DUTY_RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("duty_records");
/// Row of a claim: key digest, node, incarnation, claim number, and wall-clock time.
pub type ClaimRow = (u128, u32, u64, u64, u64);
pub const CLAIMS: TableDefinition<u64, ClaimRow> = TableDefinition::new("claims");
pub const HOSTS: TableDefinition<&str, &[u8]> = TableDefinition::new("hosts");
/// Table that only format 1 has: configuration texts by version.
pub const CONFIGURATIONS: TableDefinition<u64, &[u8]> = TableDefinition::new("configurations");

/// Opens a file and runs `inspect` in a read transaction.
pub fn read<T>(file: &Path, inspect: impl FnOnce(&ReadTransaction) -> T) -> T {
    let database = Database::open(file).expect("open the database");
    inspect(&database.begin_read().expect("readable"))
}

/// Opens a file, runs `change` in a write transaction and commits it.
pub fn change(file: &Path, change: impl FnOnce(&WriteTransaction)) {
    let database = Database::open(file).expect("open the database");
    let transaction = database.begin_write().expect("begin a transaction");
    change(&transaction);
    transaction.commit().expect("write succeeds");
}

/// Sorted names of all tables.
pub fn table_names(transaction: &ReadTransaction) -> Vec<String> {
    let tables = transaction.list_tables().expect("readable");
    let mut names: Vec<String> = tables.map(|table| table.name().to_string()).collect();
    names.sort();
    names
}

/// All rows of a table with integer keys.
pub fn rows_by_number(
    transaction: &ReadTransaction,
    table: TableDefinition<u64, &[u8]>,
) -> Vec<(u64, Vec<u8>)> {
    let table = transaction.open_table(table).expect("exists");
    let rows = table.iter().expect("readable");
    rows.map(|row| {
        let (key, value) = row.expect("readable");
        (key.value(), value.value().to_vec())
    })
    .collect()
}

/// All rows of a table with string keys.
pub fn rows_by_text(
    transaction: &ReadTransaction,
    table: TableDefinition<&str, &[u8]>,
) -> Vec<(String, Vec<u8>)> {
    let table = transaction.open_table(table).expect("exists");
    let rows = table.iter().expect("readable");
    rows.map(|row| {
        let (key, value) = row.expect("readable");
        (key.value().to_string(), value.value().to_vec())
    })
    .collect()
}

/// All claim rows with their positions, in ascending order of positions.
pub fn claim_rows(transaction: &ReadTransaction) -> Vec<(u64, ClaimRow)> {
    let table = transaction.open_table(CLAIMS).expect("exists");
    let rows = table.iter().expect("readable");
    rows.map(|row| {
        let (position, claim) = row.expect("readable");
        (position.value(), claim.value())
    })
    .collect()
}

/// Removes the last claim, as an earlier build does, which leaves the claim's alias.
pub fn remove_last_claim_row(file: &Path) {
    change(file, |transaction| {
        let mut claims = transaction.open_table(CLAIMS).expect("exists");
        claims.pop_last().expect("writable");
    });
}
