//! A coordinator that speaks the platform's protocols, in front of mock engines with the line protocol and a mock engine list.

use super::engine_list::{instances, EngineList};
use super::line_engine;
use super::{example_configuration, post, Coordinator, Response};
use driftfront_engine_registry::fnv1a_64;
use driftfront_mock_servers::request_log::RequestLog;
use std::net::SocketAddr;
use std::sync::Arc;

/// A coordinator, its engines and its engine list.
pub struct Site {
    /// The coordinator.
    pub coordinator: Coordinator,
    /// The log of requests that the engines received.
    pub request_log: Arc<RequestLog>,
    /// The addresses of the engines, which the list names `e0`, `e1` and so on.
    pub engines: Vec<SocketAddr>,
    /// The engine list.
    pub list: EngineList,
}

/// Returns the platform's configuration of a coordinator with an engine list at this address.
pub fn config(list: SocketAddr) -> String {
    example_configuration()
        .replace("127.0.0.1:8123", "127.0.0.1:0")
        .replace(
            "\"front\": \"clickhouse\"",
            &format!("\"coordinator\": \"{list}\""),
        )
        .replace("\"membership\"", "\"unknown\"")
}

impl Site {
    /// Starts a site with this number of engines and waits until its coordinator is ready.
    pub fn start(engines: usize) -> Site {
        Site::with_config(engines, |config| config)
    }

    /// Like [`Site::start`], with a configuration changed by `edit`.
    pub fn with_config(engines: usize, edit: impl Fn(String) -> String) -> Site {
        Site::start_with(engines, |config| Coordinator::start(&edit(config)))
    }

    /// Like [`Site::start`], with a coordinator started by `start` from the configuration.
    pub fn start_with(engines: usize, start: impl FnOnce(String) -> Coordinator) -> Site {
        let request_log = Arc::new(RequestLog::default());
        let engines = line_engine::engines(engines, &request_log);
        Site::with_engines(request_log, engines, start)
    }

    /// Like [`Site::start_with`], with engines that are already running.
    pub fn with_engines(
        request_log: Arc<RequestLog>,
        engines: Vec<SocketAddr>,
        start: impl FnOnce(String) -> Coordinator,
    ) -> Site {
        let list = EngineList::start();
        let site = Site {
            request_log,
            coordinator: start(config(list.addr)),
            list,
            engines,
        };
        site.publish(&vec!["ready"; site.engines.len()], "");
        site.coordinator.wait_until_ready();
        site
    }

    /// Publishes the engines' phases. `more` is appended to the members of the event's JSON object.
    pub fn publish(&self, phases: &[&str], more: &str) {
        self.list.publish(&instances(&self.engines, phases), more);
    }

    /// Sends a request and waits for its response.
    pub fn request(&self, class: &str, client_timeout_ms: u32, statement: &str) -> Response {
        let id = fnv1a_64(statement.as_bytes());
        let headers = format!(
            "X-Call-Id: {id:016x}\r\nX-Patience-Ms: {client_timeout_ms}\r\nX-Entity: 000000000000000a\r\n"
        );
        let target = format!("/ops/{class}");
        post(self.coordinator.addr, &target, &headers, statement)
    }
}
