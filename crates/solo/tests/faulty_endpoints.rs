//! Endpoints of the product's own interface that send a second copy of an answer, late, on a
//! connection that is in use again.

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

async fn start_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_twice(stream));
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

/// A cluster whose only order service is the one at `address`.
async fn start_cluster(data: &tempfile::TempDir) -> (SoloCluster, EndpointAnnouncer) {
    let mut plan = sample::shorten_rollouts(example::plan().expect("the example plan is valid"));
    plan.rollouts.clear();
    let settings = ClusterSettings::small(data.path(), plan);
    let cluster = SoloCluster::start(&settings).await.expect("starts");
    for endpoint in &cluster.plain_services {
        endpoint.announcer.set_leaving();
    }
    let address = start_endpoint().await;
    let announcer = EndpointAnnouncer::start(
        announcement(address),
        cluster.entry_addresses(),
        Duration::from_millis(100),
        |_| {},
    );
    (cluster, announcer)
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
    let (cluster, _announcer) = start_cluster(&data).await;
    let client = SampleClient::default();
    for _ in 0..500 {
        if look_up(&cluster, &client, "/start").await.text == "/start" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

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
