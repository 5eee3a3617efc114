//! Parsing of statements, the column and message of parse errors, and evaluation of `show`.

use std::time::Duration;

use swiftshunt_query::{
    Comparison, Condition, Direction, DrainSubject, ExplainSubject, Ordering, Show, Statement,
    Table, TableName, Value, parse, select,
};
use test_case::test_case;

fn show(table: TableName) -> Show {
    Show {
        table,
        conditions: Vec::new(),
        ordering: None,
        limit: None,
    }
}

#[test_case("show nodes" => Statement::Show(show(TableName::Nodes)); "show without clauses")]
#[test_case("  SHOW\tjobs ; " => Statement::Show(show(TableName::Jobs)); "keywords in any case")]
#[test_case("cancel job batch_1f" => Statement::CancelJob { job: "batch_1f".into() }; "cancel")]
#[test_case("drain worker engine-0" => Statement::Drain { subject: DrainSubject::Worker, id: "engine-0".into() }; "drain")]
#[test_case("explain submission sub_1" => Statement::Explain { subject: ExplainSubject::Submission, id: "sub_1".into() }; "explain")]
#[test_case("create job for ruhuna input file-1 within 6h" => Statement::CreateJob { tenant: "ruhuna".into(), input: "file-1".into(), within: Duration::from_secs(21600) }; "create job")]
#[test_case("create event monday pool stol-llm start +90s lasting 15m requests_per_second 40" => Statement::CreateEvent { name: "monday".into(), pool: "stol-llm".into(), start: "+90s".into(), lasting: Duration::from_secs(900), requests_per_second: 40 }; "create event")]
#[test_case("create target t pool p model 'm 1' replicas 2 ready by 2026-12-07T07:00:00Z" => Statement::CreateTarget { name: "t".into(), pool: "p".into(), model: "m 1".into(), replicas: 2, ready_by: "2026-12-07T07:00:00Z".into() }; "create target")]
#[test_case("set job b deadline 90m" => Statement::SetJobDeadline { job: "b".into(), within: Duration::from_secs(5400) }; "set deadline")]
fn parses_a_statement(text: &str) -> Statement {
    parse(text).expect("the statement should be parsed")
}

#[test]
fn parses_every_clause_of_show() {
    let statement = parse(
        "show jobs where status = 'in progress' and done >= 3 order by deadline desc limit 5",
    );
    let expected = Show {
        table: TableName::Jobs,
        conditions: vec![
            Condition {
                column: "status".into(),
                comparison: Comparison::Equal,
                value: "in progress".into(),
            },
            Condition {
                column: "done".into(),
                comparison: Comparison::GreaterOrEqual,
                value: "3".into(),
            },
        ],
        ordering: Some(Ordering {
            column: "deadline".into(),
            direction: Direction::Descending,
        }),
        limit: Some(5),
    };
    assert_eq!(statement, Ok(Statement::Show(expected)));
}

#[test_case("show nods", 6, "a table"; "unknown table")]
#[test_case("cancel jobx", 1, "`cancel job`"; "word that starts with a keyword")]
#[test_case("show jobs limit many", 17, "a number"; "limit that is not a number")]
#[test_case("set job b deadline soon", 20, "a duration"; "deadline that is not a duration")]
#[test_case("", 1, "`show`"; "empty text")]
fn rejects_with_column_and_expectation(text: &str, column: usize, expectation: &str) {
    let error = parse(text).expect_err("the statement should be rejected");
    assert_eq!(error.column, column, "{error}");
    assert!(error.message.contains(expectation), "{error}");
}

fn table() -> Table {
    let mut table = Table::new(&["id", "done"]);
    for (id, done) in [("a", 7_u32), ("b", 12), ("c", 3)] {
        table.push(vec![Value::from(id), Value::from(done)]);
    }
    table
}

#[test_case("show jobs where done > 3 order by done desc" => vec!["b", "a"]; "numbers compare as numbers")]
#[test_case("show jobs where id contains c" => vec!["c"]; "contains")]
#[test_case("show jobs order by id limit 2" => vec!["a", "b"]; "limit")]
fn select_applies_the_clauses_of_show(text: &str) -> Vec<String> {
    let Ok(Statement::Show(show)) = parse(text) else {
        panic!("not parsed as a show statement: {text}");
    };
    let selected = select(&show, table()).expect("all columns should be known");
    selected.rows.iter().map(|row| row[0].to_string()).collect()
}

#[test]
fn the_error_for_an_unknown_column_names_it_and_the_known_columns() {
    let Ok(Statement::Show(show)) = parse("show jobs where owner = x") else {
        panic!("`show jobs where owner = x` was not parsed as a show statement");
    };
    let error = select(&show, table()).expect_err("the column `owner` should be unknown");
    assert_eq!(
        error.to_string(),
        "no column `owner`; expected one of id, done"
    );
}
