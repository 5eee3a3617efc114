//! `/v1/files`: uploads of files, and reads of their metadata and content.

use std::sync::Arc;
use std::time::Duration;

use futures_util::stream;
use serde_json::{Value, json};
use swiftshunt_backends::log_service::LogError;
use swiftshunt_http::{Call, Reply};
use swiftshunt_types::{ErrorKind, Failure, FileId, TenantName};

use super::auth::admit;
use crate::batch::{FileError, FileInfo, FilePurpose, read_content, read_info, store};
use crate::clock::unix_seconds;
use crate::context::{Context, random_u64};

/// `Retry-After` of failures of the log.
const RETRY_AFTER: Duration = Duration::from_secs(2);
/// Allowance for the form data around the file in an upload, in bytes.
const FORM_OVERHEAD: usize = 64 * 1024;

/// Stores the file of an upload form.
pub(super) async fn upload(context: Arc<Context>, mut call: Call) -> Result<Reply, Failure> {
    let admitted = admit(&context, &call)?;
    let form = read_form(&context, &mut call).await?;
    let tenant = admitted.tenant.name.clone();
    let info = store_file(&context, &tenant, &form.name, &form.content).await?;
    Ok(Reply::json(&render(&info)))
}

/// Stores the input of a job as a new file of `tenant`.
pub(super) async fn store_file(
    context: &Context,
    tenant: &TenantName,
    name: &str,
    content: &str,
) -> Result<FileInfo, Failure> {
    let lines = u32::try_from(content.lines().count()).unwrap_or(u32::MAX);
    let info = FileInfo {
        id: FileId(format!("file-{:016x}{:016x}", random_u64(), random_u64())),
        tenant: tenant.clone(),
        name: name.to_owned(),
        purpose: FilePurpose::Batch,
        created: unix_seconds(),
        bytes: content.len() as u64,
        lines,
    };
    store(&*context.log, &info, content)
        .await
        .map_err(failure)?;
    Ok(info)
}

/// Answers with the metadata of a file of the tenant.
pub(super) async fn info(context: Arc<Context>, call: Call) -> Result<Reply, Failure> {
    let admitted = admit(&context, &call)?;
    let id = FileId(call.path_parameter("id")?);
    let info = own_file(&context, &admitted.tenant.name, &id).await?;
    Ok(Reply::json(&render(&info)))
}

/// Answers with the content of a file of the tenant. For the output of a running job, these are the
/// results that have been written so far.
pub(super) async fn content(context: Arc<Context>, call: Call) -> Result<Reply, Failure> {
    let admitted = admit(&context, &call)?;
    let id = FileId(call.path_parameter("id")?);
    let tenant = &admitted.tenant.name;
    let is_own_output = super::batches::owns_output(&context, tenant, &id).await?;
    if !is_own_output {
        own_file(&context, tenant, &id).await?;
    }
    let text = read_content(&*context.log, &id).await.map_err(failure)?;
    Ok(Reply::bytes("application/jsonl", text))
}

/// Reads the metadata of a file; `NotFound` if it belongs to another tenant.
pub(super) async fn own_file(
    context: &Context,
    tenant: &TenantName,
    id: &FileId,
) -> Result<FileInfo, Failure> {
    let info = read_info(&*context.log, id).await.map_err(failure)?;
    if info.tenant != *tenant {
        return Err(failure(FileError::NotFound));
    }
    Ok(info)
}

fn render(info: &FileInfo) -> Value {
    json!({
        "id": info.id,
        "object": "file",
        "bytes": info.bytes,
        "created_at": info.created,
        "filename": info.name,
        "purpose": info.purpose,
        "status": "processed",
    })
}

fn failure(error: FileError) -> Failure {
    match error {
        FileError::NotFound => Failure::not_run(ErrorKind::NotFound, "no such file"),
        FileError::Log {
            source: source @ LogError::AnswerLost { .. },
        } => {
            let message = format!("the log did not answer: {source}");
            Failure::unknown(ErrorKind::Unavailable, message).with_retry_after(RETRY_AFTER)
        }
        error => {
            let message = format!("files cannot be read or stored at the moment: {error}");
            Failure::not_run(ErrorKind::Unavailable, message).with_retry_after(RETRY_AFTER)
        }
    }
}

/// The file of an upload form.
struct Form {
    name: String,
    content: String,
}

/// Reads the fields `file` and `purpose` of an upload; fails unless the purpose is `batch` and the file
/// has content.
async fn read_form(context: &Context, call: &mut Call) -> Result<Form, Failure> {
    let content_type = call.header("content-type").unwrap_or_default().to_owned();
    let boundary = multer::parse_boundary(content_type).map_err(malformed)?;
    let limit = context.settings.limits.file_bytes;
    let body = call.body(limit + FORM_OVERHEAD).await?;
    let chunks = stream::iter([Ok::<_, std::io::Error>(body)]);
    let mut multipart = multer::Multipart::new(chunks, boundary);
    let mut file = None;
    let mut purpose = None;
    while let Some(field) = multipart.next_field().await.map_err(malformed)? {
        match field.name() {
            Some("file") => {
                let name = field.file_name().unwrap_or("items.jsonl").to_owned();
                let content = field.text().await.map_err(malformed)?;
                file = Some(Form { name, content });
            }
            Some("purpose") => purpose = Some(field.text().await.map_err(malformed)?),
            _ => {}
        }
    }
    if purpose.as_deref() != Some("batch") {
        let message = "`purpose` must be `batch`";
        return Err(Failure::not_run(ErrorKind::InvalidRequest, message).with_param("purpose"));
    }
    let form = file.ok_or_else(|| {
        Failure::not_run(ErrorKind::InvalidRequest, "the form has no `file`").with_param("file")
    })?;
    if form.content.trim().is_empty() {
        let message = "the file holds no items";
        return Err(Failure::not_run(ErrorKind::InvalidRequest, message).with_param("file"));
    }
    Ok(form)
}

fn malformed(error: multer::Error) -> Failure {
    Failure::not_run(
        ErrorKind::InvalidRequest,
        format!("the form cannot be read: {error}"),
    )
}
