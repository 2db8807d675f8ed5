//! Property test: random valid event streams, checked against the four dispatcher rules by an independent checker
//! (`common::rule_checker`). Each stream is run twice and must give the same actions.

mod common;

use common::rule_checker::{run_stream, step};
use common::variants;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[test]
fn random_streams_break_no_rule_and_are_deterministic() {
    for (variant, settings) in variants().into_iter().enumerate() {
        let config = Config { cases: 150, failure_persistence: None, ..Config::default() };
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[variant as u8 + 1; 32]);
        let mut runner = TestRunner::new_with_rng(config, rng);
        let streams = proptest::collection::vec(step(), 50..400);
        let checked = runner.run(&streams, |steps| {
            let first = run_stream(settings.clone(), 3, &steps);
            prop_assert_eq!(first, run_stream(settings.clone(), 3, &steps));
            Ok(())
        });
        checked.unwrap_or_else(|failure| panic!("settings variant {variant}: {failure}"));
    }
}
