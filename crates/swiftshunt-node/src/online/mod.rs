//! Online answers: one whole answer to each caller, whatever happens to the engines that give it.

mod answer;
mod openai;

pub(crate) use answer::{AnswerRequest, AnswerStream, CompleteAnswer, collect, start};
pub(crate) use openai::{
    ChatRequest, CompletionRequest, chat_chunk, chat_completion, chat_usage_chunk,
    completion_chunk, text_completion,
};
