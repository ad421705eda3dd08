//! A cluster of coordinators in front of one mock engine.

use super::program;
use driftfront_cluster_harness::ClusterHarness;
use driftfront_mock_servers::engine::{Engine, Options};
use driftfront_mock_servers::request_log::RequestLog;
use std::sync::Arc;

/// Starts the members of `script` in front of a new engine. The engine stops when it is dropped.
pub fn start_cluster(script: &str) -> (ClusterHarness, Engine) {
    let options = Options {
        name: "engine-1".into(),
        ..Options::default()
    };
    let engine = Engine::start(options, Arc::new(RequestLog::default()));
    let program = program();
    let harness = ClusterHarness::start(
        program.to_str().expect("the path is valid UTF-8"),
        &engine.addr().to_string(),
        script,
    );
    (harness, engine)
}
