//! Result tables of statements.

use serde::{Deserialize, Serialize};

/// Value of a table cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// The value is unknown or does not apply.
    Null,
    /// A Boolean value.
    Boolean(bool),
    /// An integer.
    Integer(i64),
    /// A floating-point number.
    Number(f64),
    /// Text.
    Text(String),
}

impl std::fmt::Display for Value {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Null => formatter.write_str("-"),
            Self::Boolean(value) => write!(formatter, "{value}"),
            Self::Integer(value) => write!(formatter, "{value}"),
            Self::Number(value) => write!(formatter, "{value:.3}"),
            Self::Text(value) => formatter.write_str(value),
        }
    }
}

impl From<String> for Value {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<bool> for Value {
    fn from(value: bool) -> Self {
        Self::Boolean(value)
    }
}

impl From<u32> for Value {
    fn from(value: u32) -> Self {
        Self::Integer(i64::from(value))
    }
}

impl From<u64> for Value {
    fn from(value: u64) -> Self {
        Self::Integer(i64::try_from(value).unwrap_or(i64::MAX))
    }
}

impl From<f64> for Value {
    fn from(value: f64) -> Self {
        Self::Number(value)
    }
}

impl<T: Into<Self>> From<Option<T>> for Value {
    fn from(value: Option<T>) -> Self {
        value.map_or(Self::Null, Into::into)
    }
}

/// A table with named columns. Each row has one cell per column.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// The rows, with cells in the order of `columns`.
    pub rows: Vec<Vec<Value>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(columns: &[&str]) -> Self {
        Self {
            columns: columns.iter().map(|name| (*name).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row, which must have one cell per column.
    pub fn push(&mut self, row: Vec<Value>) {
        debug_assert_eq!(row.len(), self.columns.len());
        self.rows.push(row);
    }

    /// Creates a table with the single column `message` and one row with `text`.
    pub fn message(text: impl Into<String>) -> Self {
        let mut table = Self::new(&["message"]);
        table.push(vec![Value::Text(text.into())]);
        table
    }
}
