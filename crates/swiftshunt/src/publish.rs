//! The `swiftshunt publish` command, which publishes a fleet configuration, or writes or withdraws the
//! evacuation of a zone.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use serde_json::{Value, json};
use swiftshunt_config::parse_fleet_configuration;
use swiftshunt_http::{HttpClient, HttpError, HttpRequest, JSON};

use crate::control::{TOKEN_VARIABLE, message_of, token};
use crate::evacuation::{self, EvacuationChange};
use crate::{EXIT_REFUSED, EXIT_UNREACHABLE, EXIT_USAGE, fail, runtime};

/// publish a fleet configuration, or write or withdraw the evacuation of a zone
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "publish",
    example = "{command_name} --node 127.0.0.1:8080 --base 0 examples/stolnica-fleet.toml",
    example = "{command_name} --log 127.0.0.1:7000 --evacuate suva-a",
    example = "{command_name} --log 127.0.0.1:7000 --withdraw suva-a",
    note = "Without --base the change is based on the version in force. If somebody else publishes first, the change is refused and nothing of it takes effect."
)]
pub(crate) struct PublishArguments {
    /// address of a node's caller interface
    #[argh(option)]
    node: Option<SocketAddr>,
    /// address of the platform's log, for the evacuation of a zone
    #[argh(option)]
    log: Option<SocketAddr>,
    /// the zone to evacuate: its workers receive no new requests or items
    #[argh(option)]
    evacuate: Option<String>,
    /// the zone whose evacuation is withdrawn
    #[argh(option)]
    withdraw: Option<String>,
    /// the operator's bearer token
    #[argh(option)]
    token: Option<String>,
    /// the version of the configuration that the change is based on
    #[argh(option)]
    base: Option<u64>,
    /// path of the fleet configuration file
    #[argh(positional)]
    file: Option<String>,
}

const CONFIGURATION_PATH: &str = "/v1/operator/configuration";
/// Time limit of one request to the node.
const TIMEOUT: Duration = Duration::from_secs(15);

pub(crate) fn run(arguments: &PublishArguments) -> ExitCode {
    let PublishArguments {
        node,
        log,
        evacuate,
        withdraw,
        base,
        file,
        ..
    } = arguments;
    let has_configuration_flags = base.is_some() || arguments.token.is_some();
    match (node, file, log, evacuate, withdraw) {
        (Some(node), Some(file), None, None, None) => publish_file(arguments, *node, file),
        (None, None, Some(log), Some(zone), None) if !has_configuration_flags => {
            evacuation::run(*log, EvacuationChange::Evacuate, zone)
        }
        (None, None, Some(log), None, Some(zone)) if !has_configuration_flags => {
            evacuation::run(*log, EvacuationChange::Withdraw, zone)
        }
        _ => fail(
            EXIT_USAGE,
            "give --node and a file, or --log and either --evacuate or --withdraw with a zone",
        ),
    }
}

fn publish_file(arguments: &PublishArguments, node: SocketAddr, file: &str) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return fail(EXIT_USAGE, format!("{file}: cannot be read: {error}")),
    };
    if let Err(error) = parse_fleet_configuration(file, &text) {
        return fail(EXIT_USAGE, error);
    }
    let Some(token) = token(arguments.token.as_ref()) else {
        return fail(
            EXIT_USAGE,
            format!("no token: give --token or set {TOKEN_VARIABLE}"),
        );
    };
    let runtime = match runtime() {
        Ok(runtime) => runtime,
        Err(error) => return fail(EXIT_USAGE, error),
    };
    match runtime.block_on(publish(node, arguments.base, &token, &text)) {
        Ok(version) => {
            println!("version {version} is in force");
            ExitCode::SUCCESS
        }
        Err(HttpError::Status { body, .. }) => fail(EXIT_REFUSED, message_of(&body)),
        Err(error) => fail(EXIT_UNREACHABLE, error),
    }
}

async fn publish(
    node: SocketAddr,
    base: Option<u64>,
    token: &str,
    text: &str,
) -> Result<u64, HttpError> {
    let client = HttpClient::new(None);
    let base = match base {
        Some(base) => base,
        None => {
            let request = HttpRequest::get(node, CONFIGURATION_PATH);
            request_version(&client, request, token).await?
        }
    };
    let body = json!({ "base": base, "toml": text }).to_string();
    let request = HttpRequest::post(node, CONFIGURATION_PATH, JSON, body);
    request_version(&client, request, token).await
}

/// Sends a request and returns the configuration version that its response contains.
async fn request_version(
    client: &HttpClient,
    request: HttpRequest,
    token: &str,
) -> Result<u64, HttpError> {
    let address = request.address;
    let request = request.with_header("authorization", format!("Bearer {token}"));
    let answer = client.expect_success(request, TIMEOUT).await?;
    let parsed: Option<Value> = serde_json::from_slice(&answer.body).ok();
    let version = parsed.and_then(|value| value["version"].as_u64());
    version.ok_or_else(|| HttpError::Unreadable {
        address,
        reason: "the response contains no configuration version".to_owned(),
    })
}
