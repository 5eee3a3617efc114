//! Online requests: streams answers from engines to callers and resumes them when an engine fails.

mod answer;
mod openai;

pub(crate) use answer::{AnswerRequest, AnswerStream, AnswerText, collect, start};
pub(crate) use openai::{
    ChatRequest, CompletionRequest, chat_chunk, chat_completion, chat_usage_chunk,
    completion_chunk, text_completion,
};
