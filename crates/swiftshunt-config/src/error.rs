//! Errors of settings files and fleet configurations, with the file, the place in it and the reason.

use derive_more::{Display, Error};

/// Why a settings file or a fleet configuration was rejected.
#[derive(Debug, Display, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[display("{file}: cannot be read: {source}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text is not TOML, or a key is unknown, missing or of the wrong type.
    #[display("{file}:{line}: {reason}")]
    Malformed {
        /// Name of the file, or of the source of the text.
        file: String,
        /// Line of the error, counted from 1.
        line: usize,
        /// The parser's message, followed by the text of the line.
        reason: String,
    },
    /// A value has the right type but is not allowed.
    #[display("{file}: {field}: {reason}")]
    Invalid {
        /// Name of the file, or of the source of the text.
        file: String,
        /// Full path of the field, such as `tenants[0].name`.
        field: String,
        /// Why the value is not allowed.
        reason: String,
    },
}

impl ConfigError {
    pub(crate) fn malformed(file: &str, text: &str, error: &toml::de::Error) -> Self {
        let start = error.span().map_or(0, |span| span.start);
        let line = text
            .get(..start)
            .map_or(1, |head| head.matches('\n').count() + 1);
        let key = text.lines().nth(line - 1).unwrap_or_default().trim();
        Self::Malformed {
            file: file.to_owned(),
            line,
            reason: format!("{} (at `{key}`)", error.message()),
        }
    }

    pub(crate) fn invalid(file: &str, field: &str, reason: impl Into<String>) -> Self {
        Self::Invalid {
            file: file.to_owned(),
            field: field.to_owned(),
            reason: reason.into(),
        }
    }
}
