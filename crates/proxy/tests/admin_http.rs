//! Admin HTTP: requests and responses, limits on callers, and the metrics.

mod support;

use asterramp_proxy::protocol::http_server::{HttpRequest, HttpStatus, parse};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};
use support::{
    LineConnection, OPEN_LINE, ProxyHarness, TIMEOUT, http_call, metric_value, read_response,
    wait_until,
};
use test_case::test_case;

const VALID_REQUEST: &str = "GET /ops/stats?of=all HTTP/1.1\r\nHost: a\r\nAccept: */*\r\n\r\n";

#[test_case("GET / HTTP/1.1\r\n\r\n", 400; "no host")]
#[test_case("GET / HTTP/1.1\r\nHost: a\r\nhost: b\r\n\r\n", 400; "two hosts")]
#[test_case("GET / HTTP/1.0\r\nHost: a\r\n\r\n", 505; "another version")]
#[test_case("GET  / HTTP/1.1\r\nHost: a\r\n\r\n", 400; "four words")]
#[test_case("get / HTTP/1.1\r\nHost: a\r\n\r\n", 400; "no method")]
#[test_case("GET ops HTTP/1.1\r\nHost: a\r\n\r\n", 400; "no path")]
#[test_case("GET / HTTP/1.1\r\nHost a\r\n\r\n", 400; "no colon")]
#[test_case("GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400; "a space in a header name")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", 400; "invalid length")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400; "two lengths")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999999\r\n\r\n", 413; "long body")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", 411; "chunked body")]
#[test_case("GET /ops/nothing HTTP/1.1\r\nHost: a\r\n\r\n", 404; "unknown path")]
#[test_case("POST /ops/stats HTTP/1.1\r\nHost: a\r\n\r\n", 405; "wrong method")]
#[test_case("GET /ops/drain/start HTTP/1.1\r\nHost: a\r\n\r\n", 405; "wrong method for a drain")]
#[test_case(VALID_REQUEST, 200; "valid")]
fn a_connection_gets_one_response_and_a_close(text: &str, status: u16) {
    let proxy = ProxyHarness::with_admin_http(1);
    let mut stream = TcpStream::connect(proxy.admin_http).unwrap();
    // A pipelined second request is ignored.
    stream
        .write_all([text, VALID_REQUEST].concat().as_bytes())
        .unwrap();
    assert_eq!(read_response(stream).0, status);
}

#[test]
fn a_request_is_parsed_once_it_is_complete_and_not_before() {
    let text = "POST /ops/drain/stop HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";
    (0..text.len()).for_each(|n| assert_eq!(parse(&text.as_bytes()[..n]), Ok(None), "cut at {n}"));
    assert_eq!(
        parse(text.as_bytes()),
        Ok(Some(HttpRequest {
            method: "POST",
            path: "/ops/drain/stop"
        }))
    );
    assert_eq!(parse(&[b'x'; 5_000]), Err(HttpStatus::HeaderFieldsTooLarge));
    assert_eq!(
        parse(b"GET \xff HTTP/1.1\r\nHost: a\r\n\r\n"),
        Err(HttpStatus::BadRequest("the head is not text"))
    );
}

#[test]
fn idle_callers_and_callers_that_never_read_do_not_block_others() {
    let proxy = ProxyHarness::with_admin_http(1);
    let send_request = |text: &str| {
        let mut stream = TcpStream::connect(proxy.admin_http).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        stream
    };
    let _clients: Vec<LineConnection> = (0..400).map(|_| proxy.connect("")).collect();
    let incomplete = send_request("GET /ops/stats HT");
    let _idle: Vec<TcpStream> = (0..60)
        .map(|n| send_request(["", "GET /ops/re", VALID_REQUEST][n % 3]))
        .collect();
    let started_at = Instant::now();
    assert_eq!(http_call(proxy.admin_http, "GET /ops/readiness").0, 200);
    assert!(
        started_at.elapsed() < Duration::from_millis(500),
        "{:?}",
        started_at.elapsed()
    );
    assert_eq!(
        read_response(incomplete).0,
        0,
        "the connection that was idle longest was not closed first"
    );
    assert_eq!(
        read_response(send_request("GET /ops/stats HT")).0,
        408,
        "an incomplete request did not time out"
    );
    let truncated = send_request("GET /ops/stats HT");
    truncated.shutdown(Shutdown::Write).unwrap();
    assert_eq!(read_response(truncated).0, 400);
}

/// How a session ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    ClosedByServer,
    ResetByClient,
    Migrated,
    Rejected,
    ClientLeavesBeforeResponse,
    ClientSendsBeforeResponse,
}

/// How many sessions of a listener succeeded, were rejected and failed, by the metrics.
fn ended_sessions(proxy: &ProxyHarness, listener: &str) -> [f64; 3] {
    ["success", "busy", "failure"].map(|code| {
        metric_value(
            proxy.admin_http,
            &format!("svc_calls_total{{tier=\"{listener}\",code=\"{code}\"}}"),
        )
    })
}

/// Ends a session whose request has just reached a server, and waits until it is no longer in flight.
fn end_session(
    ending: Ending,
    proxy: &ProxyHarness,
    mut client: LineConnection,
    mut server: LineConnection,
) {
    let open = |client: &mut LineConnection, server: &mut LineConnection| {
        server.send("UP r\r\n");
        assert_eq!(client.read_line(), "UP r");
    };
    match ending {
        Ending::ClosedByServer => {
            open(&mut client, &mut server);
            server.send("BYE\r\n");
        }
        Ending::ResetByClient => {
            open(&mut client, &mut server);
            client.close("RST", &mut server);
        }
        Ending::Migrated => {
            open(&mut client, &mut server);
            assert_eq!(http_call(proxy.admin_http, "POST /ops/drain/start").0, 200);
            assert_eq!(client.read_line(), "MOVE");
        }
        Ending::Rejected => {
            server.send("BUSY\r\n");
            proxy.accept_at_any(&[0, 1]).0.send("BUSY\r\n");
            assert!(client.read_line().starts_with("BUSY"));
        }
        Ending::ClientLeavesBeforeResponse => client.close("FIN", &mut server),
        Ending::ClientSendsBeforeResponse => client.send("early\r\n"),
    }
    wait_until("the session has ended", || {
        metric_value(proxy.admin_http, "svc_inflight") == 0.0
    });
}

/// For each ending, the numbers of [`ended_sessions`] and of attempts that reached a server.
#[test_case(Ending::ClosedByServer, [1.0, 0.0, 0.0], 1.0)]
#[test_case(Ending::ResetByClient, [1.0, 0.0, 0.0], 1.0)]
#[test_case(Ending::Migrated, [1.0, 0.0, 0.0], 1.0)]
#[test_case(Ending::Rejected, [0.0, 1.0, 0.0], 2.0)]
#[test_case(Ending::ClientLeavesBeforeResponse, [0.0, 0.0, 1.0], 1.0)]
#[test_case(Ending::ClientSendsBeforeResponse, [0.0, 0.0, 1.0], 1.0)]
fn every_session_is_counted_once_and_none_stays_in_flight(
    ending: Ending,
    counts: [f64; 3],
    attempts: f64,
) {
    let proxy = ProxyHarness::with_admin_http(2);
    let metric = |name: &str| metric_value(proxy.admin_http, name);
    assert_eq!(
        (
            ended_sessions(&proxy, "feed"),
            ended_sessions(&proxy, "order")
        ),
        ([0.0; 3], [0.0; 3]),
        "the counters are not zero at the start"
    );
    assert_eq!(
        (metric("svc_hosts_listed"), metric("svc_hosts_down")),
        (2.0, 0.0)
    );
    assert_eq!(metric("svc_place_state{place=\"b\",state=\"whole\"}"), 1.0);
    let client = proxy.connect(OPEN_LINE);
    let (server, _) = proxy.accept_at_any(&[0, 1]);
    assert_eq!(
        (metric("svc_inflight"), metric("svc_backend_calls_total")),
        (1.0, 1.0)
    );
    end_session(ending, &proxy, client, server);
    assert_eq!(
        (
            ended_sessions(&proxy, "feed"),
            ended_sessions(&proxy, "order")
        ),
        (counts, [0.0; 3])
    );
    assert_eq!(metric("svc_backend_calls_total"), attempts);
}
