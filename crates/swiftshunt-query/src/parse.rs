//! Parser of the operator language. The grammar is in `statement.pest`.

use std::time::Duration;

use derive_more::{Display, Error};
use pest::Parser;
use pest::error::{ErrorVariant, LineColLocation};
use pest::iterators::{Pair, Pairs};

use crate::{
    Comparison, Condition, Direction, DrainSubject, ExplainSubject, Ordering, Show, Statement,
    TableName,
};

#[allow(missing_docs)]
mod grammar {
    #[derive(pest_derive::Parser)]
    #[grammar = "statement.pest"]
    pub struct StatementParser;
}

use grammar::{Rule, StatementParser};

/// The reason why a statement cannot be parsed, and its column.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("column {column}: {message}")]
pub struct ParseError {
    /// Column of the error, counted from 1.
    pub column: usize,
    /// What the parser expected at that column, or why the text there is invalid.
    pub message: String,
}

/// Parses one statement.
pub fn parse(text: &str) -> Result<Statement, ParseError> {
    let mut pairs = StatementParser::parse(Rule::statement, text).map_err(|error| ParseError {
        column: match error.line_col {
            LineColLocation::Pos((_, column)) | LineColLocation::Span((_, column), _) => column,
        },
        message: describe(&error.variant),
    })?;
    let statement = pairs.next().ok_or_else(|| ParseError {
        column: 1,
        message: "a statement is empty".to_owned(),
    })?;
    build(statement)
}

fn build(statement: Pair<'_, Rule>) -> Result<Statement, ParseError> {
    let rule = statement.as_rule();
    let mut parts = Parts {
        column: statement.as_span().start() + 1,
        pairs: statement.into_inner(),
    };
    match rule {
        Rule::show => build_show(parts),
        Rule::explain => Ok(Statement::Explain {
            subject: explain_subject(&parts.text()?),
            id: parts.text()?,
        }),
        Rule::cancel => Ok(Statement::CancelJob { job: parts.text()? }),
        Rule::drain => Ok(Statement::Drain {
            subject: drain_subject(&parts.text()?),
            id: parts.text()?,
        }),
        Rule::create_event => Ok(Statement::CreateEvent {
            name: parts.text()?,
            pool: parts.text()?,
            start: parts.text()?,
            lasting: parts.duration()?,
            requests_per_second: parts.number()?,
        }),
        Rule::create_target => Ok(Statement::CreateTarget {
            name: parts.text()?,
            pool: parts.text()?,
            model: parts.text()?,
            replicas: parts.number()?,
            ready_by: parts.text()?,
        }),
        Rule::create_job => Ok(Statement::CreateJob {
            tenant: parts.text()?,
            input: parts.text()?,
            within: parts.duration()?,
        }),
        Rule::drop_event => Ok(Statement::DropEvent {
            name: parts.text()?,
        }),
        Rule::drop_target => Ok(Statement::DropTarget {
            name: parts.text()?,
        }),
        Rule::set_job => Ok(Statement::SetJobDeadline {
            job: parts.text()?,
            within: parts.duration()?,
        }),
        other => Err(ParseError {
            column: parts.column,
            message: format!("{} cannot stand alone", rule_name(other)),
        }),
    }
}

/// The remaining parts of a statement or clause, in order.
struct Parts<'i> {
    /// Column of the part read last, counted from 1; the start of the statement or clause before the first part.
    column: usize,
    pairs: Pairs<'i, Rule>,
}

impl<'i> Parts<'i> {
    fn next(&mut self) -> Result<Pair<'i, Rule>, ParseError> {
        let pair = self.pairs.next().ok_or_else(|| ParseError {
            column: self.column,
            message: "the statement is incomplete".to_owned(),
        })?;
        self.column = pair.as_span().start() + 1;
        Ok(pair)
    }

    fn text(&mut self) -> Result<String, ParseError> {
        Ok(text_of(self.next()?))
    }

    fn number(&mut self) -> Result<u64, ParseError> {
        let pair = self.next()?;
        pair.as_str().trim().parse().map_err(|_| ParseError {
            column: self.column,
            message: "the number is too large".to_owned(),
        })
    }

    fn duration(&mut self) -> Result<Duration, ParseError> {
        let pair = self.next()?;
        parse_duration(pair.as_str().trim()).ok_or_else(|| ParseError {
            column: self.column,
            message: "the duration is too long".to_owned(),
        })
    }
}

fn build_show(mut parts: Parts<'_>) -> Result<Statement, ParseError> {
    let table = table_name(&parts.text()?);
    let mut show = Show {
        table,
        conditions: Vec::new(),
        ordering: None,
        limit: None,
    };
    while let Ok(clause) = parts.next() {
        let rule = clause.as_rule();
        let mut inner = Parts {
            column: clause.as_span().start() + 1,
            pairs: clause.into_inner(),
        };
        match rule {
            Rule::where_clause => show.conditions = conditions(inner)?,
            Rule::order_clause => {
                show.ordering = Some(Ordering {
                    column: inner.text()?,
                    direction: inner
                        .text()
                        .map_or(Direction::Ascending, |text| direction(&text)),
                });
            }
            _ => show.limit = Some(inner.number()?),
        }
    }
    Ok(Statement::Show(show))
}

fn conditions(mut parts: Parts<'_>) -> Result<Vec<Condition>, ParseError> {
    let mut conditions = Vec::new();
    while let Ok(condition) = parts.next() {
        let mut inner = Parts {
            column: condition.as_span().start() + 1,
            pairs: condition.into_inner(),
        };
        conditions.push(Condition {
            column: inner.text()?,
            comparison: comparison(&inner.text()?),
            value: inner.text()?,
        });
    }
    Ok(conditions)
}

fn text_of(pair: Pair<'_, Rule>) -> String {
    match pair.as_rule() {
        Rule::value | Rule::quoted => pair.into_inner().next().map(text_of).unwrap_or_default(),
        Rule::quoted_text => pair.as_str().to_owned(),
        _ => pair.as_str().trim().to_owned(),
    }
}

fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.trim_end_matches(|letter: char| letter.is_ascii_alphabetic());
    let count: u64 = digits.parse().ok()?;
    let unit_ms: u64 = match &text[digits.len()..] {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => 86_400_000,
    };
    Some(Duration::from_millis(count.checked_mul(unit_ms)?))
}

fn direction(text: &str) -> Direction {
    if text.eq_ignore_ascii_case("desc") {
        Direction::Descending
    } else {
        Direction::Ascending
    }
}

fn comparison(text: &str) -> Comparison {
    match text {
        "=" => Comparison::Equal,
        "!=" => Comparison::NotEqual,
        "<" => Comparison::Less,
        "<=" => Comparison::LessOrEqual,
        ">" => Comparison::Greater,
        ">=" => Comparison::GreaterOrEqual,
        _ => Comparison::Contains,
    }
}

fn table_name(text: &str) -> TableName {
    match text.to_ascii_lowercase().as_str() {
        "nodes" => TableName::Nodes,
        "workers" => TableName::Workers,
        "jobs" => TableName::Jobs,
        "items" => TableName::Items,
        "events" => TableName::Events,
        "targets" => TableName::Targets,
        "partitions" => TableName::Partitions,
        "submissions" => TableName::Submissions,
        "orders" => TableName::Orders,
        _ => TableName::Configuration,
    }
}

fn explain_subject(text: &str) -> ExplainSubject {
    match text.to_ascii_lowercase().as_str() {
        "request" => ExplainSubject::Request,
        "job" => ExplainSubject::Job,
        "worker" => ExplainSubject::Worker,
        "order" => ExplainSubject::Order,
        "partition" => ExplainSubject::Partition,
        "target" => ExplainSubject::Target,
        _ => ExplainSubject::Submission,
    }
}

fn drain_subject(text: &str) -> DrainSubject {
    if text.eq_ignore_ascii_case("node") {
        DrainSubject::Node
    } else {
        DrainSubject::Worker
    }
}

fn describe(variant: &ErrorVariant<Rule>) -> String {
    match variant {
        ErrorVariant::ParsingError { positives, .. } => {
            let names: Vec<&str> = positives.iter().map(|rule| rule_name(*rule)).collect();
            format!("expected {}", names.join(" or "))
        }
        ErrorVariant::CustomError { message } => message.clone(),
    }
}

fn rule_name(rule: Rule) -> &'static str {
    match rule {
        Rule::EOI => "the end of the statement",
        Rule::show => "`show`",
        Rule::explain => "`explain`",
        Rule::cancel => "`cancel job`",
        Rule::drain => "`drain`",
        Rule::create_event => {
            "`create event NAME pool POOL start TIME lasting DURATION requests_per_second N`"
        }
        Rule::create_target => {
            "`create target NAME pool POOL model MODEL replicas N ready by TIME`"
        }
        Rule::create_job => "`create job for TENANT input FILE within DURATION`",
        Rule::drop_event => "`drop event NAME`",
        Rule::drop_target => "`drop target NAME`",
        Rule::set_job => "`set job ID deadline DURATION`",
        Rule::table => {
            "a table (nodes, workers, jobs, items, events, targets, configuration, partitions, submissions, orders)"
        }
        Rule::subject => {
            "`request`, `job`, `worker`, `order`, `submission`, `partition` or `target`"
        }
        Rule::drain_subject => "`node` or `worker`",
        Rule::where_clause => "`where`",
        Rule::order_clause => "`order by`",
        Rule::limit_clause => "`limit`",
        Rule::condition => "a condition (COLUMN = VALUE)",
        Rule::column => "a column",
        Rule::comparison => "`=`, `!=`, `<`, `<=`, `>`, `>=` or `contains`",
        Rule::direction => "`asc` or `desc`",
        Rule::number => "a number",
        Rule::duration => "a duration (such as 90s, 15m, 24h)",
        Rule::value | Rule::identifier | Rule::quoted | Rule::quoted_text => {
            "a name or a 'quoted value'"
        }
        Rule::statement => "a statement",
        Rule::space => "a space",
        Rule::word_end => "the end of the word",
    }
}
