//! Endpoints of the product's own interface whose answers are late copies, or no answers.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use chestnutloft_core::state::{EndpointAnnouncement, EndpointLoad};
use chestnutloft_solo::client::{ClientResponse, SampleClient};
use chestnutloft_solo::cluster::{ClusterSettings, SoloCluster};
use chestnutloft_solo::{example, sample};
use chestnutloft_standin::announcer::EndpointAnnouncer;

/// Answers each request with its path, after a second copy of the answer before.
async fn answer_twice(mut stream: TcpStream) -> std::io::Result<()> {
    let mut last_answer = Vec::new();
    loop {
        let mut request = vec![0; 16 * 1024];
        let length = stream.read(&mut request).await?;
        if length == 0 {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&request[..length]);
        let path = text.split(' ').nth(1).unwrap_or_default();
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{path}",
            path.len()
        );
        stream.write_all(&last_answer).await?;
        stream.write_all(answer.as_bytes()).await?;
        last_answer = answer.into_bytes();
    }
}

/// Answers each request with `status`.
async fn answer_with(mut stream: TcpStream, status: &str) -> std::io::Result<()> {
    let mut request = vec![0; 16 * 1024];
    while stream.read(&mut request).await? > 0 {
        let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
        stream.write_all(answer.as_bytes()).await?;
    }
    Ok(())
}

/// Starts an endpoint that handles each connection with `answer`.
async fn start_endpoint<F>(answer: impl Fn(TcpStream) -> F + Send + 'static) -> SocketAddr
where
    F: Future<Output = std::io::Result<()>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream));
        }
    });
    address
}

fn announcement(address: SocketAddr) -> EndpointAnnouncement {
    EndpointAnnouncement {
        endpoint: "order-svc-raw".parse().expect("an id"),
        service: "order-svc".parse().expect("an id"),
        domain: "hokkaido-east".parse().expect("an id"),
        incarnation: 1,
        sequence: 0,
        address: address.to_string(),
        versions: std::collections::BTreeSet::new(),
        slots: 64,
        is_leaving: false,
        load: EndpointLoad::default(),
    }
}

/// A cluster whose only order service is the one at `address`, once the others have left.
async fn start_cluster(
    data: &tempfile::TempDir,
    address: SocketAddr,
) -> (SoloCluster, EndpointAnnouncer) {
    let mut plan = sample::shorten_rollouts(example::plan().expect("the example plan is valid"));
    plan.rollouts.clear();
    let settings = ClusterSettings::small(data.path(), plan);
    let cluster = SoloCluster::start(&settings).await.expect("starts");
    for endpoint in &cluster.plain_services {
        endpoint.announcer.set_leaving();
    }
    let announcer = EndpointAnnouncer::start(
        announcement(address),
        cluster.entry_addresses(),
        Duration::from_millis(100),
        |_| {},
    );
    (cluster, announcer)
}

/// Repeats a request until the response is as expected, for about 10 s.
async fn wait_for_response(
    cluster: &SoloCluster,
    client: &SampleClient,
    is_expected: impl Fn(&ClientResponse) -> bool,
) {
    for _ in 0..500 {
        if is_expected(&look_up(cluster, client, "/start").await) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the endpoint gets no requests");
}

async fn look_up(cluster: &SoloCluster, client: &SampleClient, path: &str) -> ClientResponse {
    let entry = cluster.entry_addresses()[0];
    let path = format!("/order-svc{path}");
    client
        .call_plain_service(entry, "GET", &path, None, "")
        .await
}

/// Guards against a late second answer that is taken for the answer to the next request.
#[tokio::test(flavor = "multi_thread")]
async fn no_caller_gets_an_answer_to_another_request() {
    let data = tempfile::tempdir().expect("a folder");
    let address = start_endpoint(answer_twice).await;
    let (cluster, _announcer) = start_cluster(&data, address).await;
    let client = SampleClient::default();
    wait_for_response(&cluster, &client, |response| response.text == "/start").await;

    let mut served = 0;
    for number in 0..40 {
        let path = format!("/orders/{number}");
        let response = look_up(&cluster, &client, &path).await;
        if response.status == 200 {
            assert_eq!(response.text, path);
            served += 1;
        }
    }

    assert!(served > 0, "no request was served by the endpoint");
    cluster.shut_down().await;
}

/// Guards against a status that ends no request, as 101 does, being passed on as its answer.
#[tokio::test(flavor = "multi_thread")]
async fn status_that_ends_no_request_is_a_failure_of_the_endpoint() {
    for status in ["101 Switching Protocols", "600 Six"] {
        let data = tempfile::tempdir().expect("a folder");
        let address = start_endpoint(move |stream| answer_with(stream, status)).await;
        let (cluster, _announcer) = start_cluster(&data, address).await;
        let client = SampleClient::default();
        wait_for_response(&cluster, &client, |response| response.status != 200).await;

        let response = look_up(&cluster, &client, "/orders/1").await;

        assert!(
            (502..=504).contains(&response.status),
            "{status}: {response:?}"
        );
        assert!(response.refusal["error"].is_object(), "{status}");
        cluster.shut_down().await;
    }
}
