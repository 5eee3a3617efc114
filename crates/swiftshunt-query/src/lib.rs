//! The operator language: parsing of statements, and evaluation of the conditions, ordering and limit of `show` over
//! a table.

mod parse;
mod select;
mod statement;
mod table;

pub use parse::{ParseError, parse};
pub use select::{SelectError, select};
pub use statement::{
    Comparison, Condition, Direction, DrainSubject, ExplainSubject, Ordering, Show, Statement,
    TableName,
};
pub use table::{Table, Value};
