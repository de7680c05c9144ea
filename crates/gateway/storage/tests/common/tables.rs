//! The tables of a state file, looked at without the program: their definitions are written out once more here.

use redb::{
    Database, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition, TableHandle,
    WriteTransaction,
};
use std::path::Path;

pub const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
pub const SET_RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("set_records");
pub const VERSION_RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("version_records");
/// Key, node, incarnation and number of a claim, and its time of day.
pub type ClaimRow = (u128, u32, u64, u64, u64);
pub const CLAIMS: TableDefinition<u64, ClaimRow> = TableDefinition::new("claims");
pub const HOSTS: TableDefinition<&str, &[u8]> = TableDefinition::new("hosts");
/// Of format 1 alone.
pub const CONFIGURATIONS: TableDefinition<u64, &[u8]> = TableDefinition::new("configurations");

/// Looks at a file.
pub fn read<T>(file: &Path, look: impl FnOnce(&ReadTransaction) -> T) -> T {
    let database = Database::open(file).expect("a file");
    look(&database.begin_read().expect("readable"))
}

/// Changes a file.
pub fn change(file: &Path, change: impl FnOnce(&WriteTransaction)) {
    let database = Database::open(file).expect("a file");
    let writing = database.begin_write().expect("a transaction");
    change(&writing);
    writing.commit().expect("room");
}

/// The names of all tables, in order.
pub fn table_names(reading: &ReadTransaction) -> Vec<String> {
    let tables = reading.list_tables().expect("readable");
    let mut names: Vec<String> = tables.map(|table| table.name().to_string()).collect();
    names.sort();
    names
}

/// All rows of a table whose keys are numbers.
pub fn rows_by_number(
    reading: &ReadTransaction,
    table: TableDefinition<u64, &[u8]>,
) -> Vec<(u64, Vec<u8>)> {
    let table = reading.open_table(table).expect("there");
    let rows = table.iter().expect("readable");
    rows.map(|row| {
        let (key, value) = row.expect("readable");
        (key.value(), value.value().to_vec())
    })
    .collect()
}

/// All rows of a table whose keys are texts.
pub fn rows_by_text(
    reading: &ReadTransaction,
    table: TableDefinition<&str, &[u8]>,
) -> Vec<(String, Vec<u8>)> {
    let table = reading.open_table(table).expect("there");
    let rows = table.iter().expect("readable");
    rows.map(|row| {
        let (key, value) = row.expect("readable");
        (key.value().to_string(), value.value().to_vec())
    })
    .collect()
}

/// All claims by their positions.
pub fn claim_rows(reading: &ReadTransaction) -> Vec<(u64, ClaimRow)> {
    let table = reading.open_table(CLAIMS).expect("there");
    let rows = table.iter().expect("readable");
    rows.map(|row| {
        let (position, claim) = row.expect("readable");
        (position.value(), claim.value())
    })
    .collect()
}
