//! Evaluation of the clauses of `show` over a table.

use derive_more::{Display, Error};

use crate::{Comparison, Condition, Direction, Show, Table, Value};

/// A clause names a column that the table does not have.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("no column `{column}`; expected one of {}", known.join(", "))]
pub struct SelectError {
    /// Column that the clause names.
    pub column: String,
    /// Columns of the table.
    pub known: Vec<String>,
}

/// Applies the conditions, ordering and limit of `show` to the rows of `table`. Fails if a clause names a column that
/// the table does not have.
pub fn select(show: &Show, mut table: Table) -> Result<Table, SelectError> {
    for condition in &show.conditions {
        let index = column_index(&table, &condition.column)?;
        table.rows.retain(|row| satisfies(&row[index], condition));
    }
    if let Some(ordering) = &show.ordering {
        let index = column_index(&table, &ordering.column)?;
        table
            .rows
            .sort_by(|one, other| compare(&one[index], &other[index]));
        if ordering.direction == Direction::Descending {
            table.rows.reverse();
        }
    }
    if let Some(limit) = show.limit {
        table
            .rows
            .truncate(usize::try_from(limit).unwrap_or(usize::MAX));
    }
    Ok(table)
}

fn column_index(table: &Table, column: &str) -> Result<usize, SelectError> {
    let found = table.columns.iter().position(|name| name == column);
    found.ok_or_else(|| SelectError {
        column: column.to_owned(),
        known: table.columns.clone(),
    })
}

/// Whether a cell satisfies a condition. If the cell is a number and the value of the condition is not, the cell
/// satisfies only `!=` and, by its text, `contains`.
fn satisfies(cell: &Value, condition: &Condition) -> bool {
    if condition.comparison == Comparison::Contains {
        return cell.to_string().contains(&condition.value);
    }
    let order = match cell {
        Value::Integer(_) | Value::Number(_) => match condition.value.parse::<f64>() {
            Ok(value) => compare(cell, &Value::Number(value)),
            Err(_) => return condition.comparison == Comparison::NotEqual,
        },
        _ => cell.to_string().as_str().cmp(&condition.value),
    };
    match condition.comparison {
        Comparison::Equal => order.is_eq(),
        Comparison::NotEqual => order.is_ne(),
        Comparison::Less => order.is_lt(),
        Comparison::LessOrEqual => order.is_le(),
        Comparison::Greater => order.is_gt(),
        Comparison::GreaterOrEqual => order.is_ge(),
        Comparison::Contains => false,
    }
}

/// Compares two numbers by value, and any other two values by their text.
fn compare(one: &Value, other: &Value) -> std::cmp::Ordering {
    match (as_number(one), as_number(other)) {
        (Some(one), Some(other)) => one.total_cmp(&other),
        _ => one.to_string().cmp(&other.to_string()),
    }
}

fn as_number(value: &Value) -> Option<f64> {
    match value {
        Value::Integer(value) => Some(*value as f64),
        Value::Number(value) => Some(*value),
        _ => None,
    }
}
