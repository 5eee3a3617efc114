//! The JSON and base64 that the store needs.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Table(members) => members
                .iter()
                .find(|(key, _)| key == name)
                .map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Self::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

/// Parses a JSON document; `None` if it is malformed.
pub fn parse(bytes: &[u8]) -> Option<Json> {
    let text: Vec<char> = std::str::from_utf8(bytes).ok()?.chars().collect();
    let mut at = 0;
    value(&text, &mut at)
}

fn skip(text: &[char], at: &mut usize) {
    while text.get(*at).is_some_and(|sign| sign.is_whitespace()) {
        *at += 1;
    }
}

fn value(text: &[char], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match text.get(*at)? {
        '{' => {
            let mut members = Vec::new();
            *at += 1;
            loop {
                skip(text, at);
                if text.get(*at)? == &'}' {
                    *at += 1;
                    return Some(Json::Table(members));
                }
                if text.get(*at)? == &',' {
                    *at += 1;
                    continue;
                }
                let Json::Text(name) = value(text, at)? else {
                    return None;
                };
                skip(text, at);
                (text.get(*at)? == &':').then_some(())?;
                *at += 1;
                members.push((name, value(text, at)?));
            }
        }
        '[' => {
            let mut list = Vec::new();
            *at += 1;
            loop {
                skip(text, at);
                match text.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    ',' => *at += 1,
                    _ => list.push(value(text, at)?),
                }
            }
        }
        '"' => {
            *at += 1;
            let mut found = String::new();
            loop {
                let sign = *text.get(*at)?;
                *at += 1;
                match sign {
                    '"' => return Some(Json::Text(found)),
                    '\\' => {
                        let escaped = *text.get(*at)?;
                        *at += 1;
                        match escaped {
                            'n' => found.push('\n'),
                            'r' => found.push('\r'),
                            't' => found.push('\t'),
                            'u' => {
                                let hex: String = text.get(*at..*at + 4)?.iter().collect();
                                *at += 4;
                                let code = u32::from_str_radix(&hex, 16).ok()?;
                                found.push(char::from_u32(code).unwrap_or('?'));
                            }
                            other => found.push(other),
                        }
                    }
                    other => found.push(other),
                }
            }
        }
        _ => {
            let begin = *at;
            while text
                .get(*at)
                .is_some_and(|sign| !",]} \n\r\t".contains(*sign))
            {
                *at += 1;
            }
            let word: String = text[begin..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

/// Quotes a text.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for sign in text.chars() {
        match sign {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            sign if (sign as u32) < 0x20 => quoted.push_str(&format!("\\u{:04x}", sign as u32)),
            sign => quoted.push(sign),
        }
    }
    quoted.push('"');
    quoted
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= group.len() {
                text.push(DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
