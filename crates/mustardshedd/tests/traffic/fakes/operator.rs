//! A handler of operators' calls with empty responses.

use std::collections;

use async_trait::async_trait;
use mustardshed::core::{error, version::record};
use mustardshedd::http::operator;

/// Key of the operators.
pub const OPERATOR_KEY: &str = "operators-only";

/// A handler of operators' calls with empty responses.
#[derive(Debug)]
pub struct FakeOperator;

#[async_trait]
impl operator::Operator for FakeOperator {
    async fn intent(&self, record: record::Record) -> Result<Vec<u8>, error::Error> {
        Ok(format!("{{\"generation\":{}}}", record.generation).into_bytes())
    }

    async fn commit(&self, _record: record::Record) -> Result<Vec<u8>, error::Error> {
        Ok(b"{}".to_vec())
    }

    fn platform_calls(&self) -> collections::BTreeMap<String, u64> {
        collections::BTreeMap::from([("watch".to_owned(), 1)])
    }

    fn bytes(&self) -> collections::BTreeMap<String, u64> {
        collections::BTreeMap::from([("peers_sent".to_owned(), 7)])
    }

    fn is_operator_key(&self, key: &[u8]) -> bool {
        key == OPERATOR_KEY.as_bytes()
    }
}
