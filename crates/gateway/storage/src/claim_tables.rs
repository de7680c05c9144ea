//! Writes claims and their aliases within one transaction.

use crate::claim_positions::{ClaimPosition, ClaimPositions};
use crate::tables::{AliasRow, CLAIM_ALIASES, CLAIMS, ClaimRow, alias_to_row, claim_to_row};
use redb::{Table, WriteTransaction};
use rushcourse_consensus::StoredClaim;
use rushcourse_types::KeyDigest;

/// The tables of claims. Most operations are on claims, so each table is opened at most once per transaction.
pub(crate) struct ClaimTables<'t> {
    transaction: &'t WriteTransaction,
    claims: Table<'t, u64, ClaimRow>,
    /// Opened with the first alias, since opening the table creates it.
    aliases: Option<Table<'t, u64, AliasRow>>,
}

impl<'t> ClaimTables<'t> {
    pub(crate) fn open(transaction: &'t WriteTransaction) -> Result<ClaimTables<'t>, redb::Error> {
        Ok(ClaimTables {
            transaction,
            claims: transaction.open_table(CLAIMS)?,
            aliases: None,
        })
    }

    pub(crate) fn store(
        &mut self,
        claim: &StoredClaim,
        positions: &mut ClaimPositions,
    ) -> Result<(), redb::Error> {
        let appended = positions.append(claim.key, claim.alias.is_some());
        self.claims.insert(appended.number, claim_to_row(claim))?;
        if let Some(alias) = claim.alias {
            let row = alias_to_row(claim.key, alias);
            self.aliases()?.insert(appended.number, row)?;
        }
        match appended.replaced {
            Some(replaced) => self.remove_at(replaced),
            None => Ok(()),
        }
    }

    pub(crate) fn remove(
        &mut self,
        key: KeyDigest,
        positions: &mut ClaimPositions,
    ) -> Result<(), redb::Error> {
        match positions.remove(key) {
            Some(position) => self.remove_at(position),
            None => Ok(()),
        }
    }

    fn remove_at(&mut self, position: ClaimPosition) -> Result<(), redb::Error> {
        self.claims.remove(position.number)?;
        if position.has_alias {
            self.aliases()?.remove(position.number)?;
        }
        Ok(())
    }

    fn aliases(&mut self) -> Result<&mut Table<'t, u64, AliasRow>, redb::Error> {
        let aliases = match self.aliases.take() {
            Some(aliases) => aliases,
            None => self.transaction.open_table(CLAIM_ALIASES)?,
        };
        Ok(self.aliases.insert(aliases))
    }
}
