//! The claims on a simulated network, over many seeds; and for each claim, a defect that it catches.
//!
//! `AGREED_SEEDS=1000` plays more seeds, `AGREED_SEED=17` plays that one alone.

mod net;

use net::claims::{BACK, Broken, DEATH, HALF, LEVEL, LOST, MINORITY, UNAGREED};
use net::parts::Defect;
use net::plays::{Account, Death, leader_dies, pause, regions_apart, storm};

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn seeds(short: u64) -> std::ops::Range<u64> {
    match number("AGREED_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("AGREED_SEEDS").unwrap_or(short),
    }
}

/// Ticks after which all are level again when the regions meet: 5 s.
const TOGETHER_TICKS: u64 = 50;

/// Seeds of storms that once broke a claim. 410: two voters had promised more than the leader's ballot to a voter that
/// went away, and waited for it for ever.
const HARD: [u64; 1] = [410];

/// Plays all seeds; a failure says how to play it again.
fn sound<T>(name: &str, short: u64, play: impl Fn(u64) -> Result<T, Broken>) -> Vec<T> {
    let played = seeds(short).map(|seed| {
        play(seed).unwrap_or_else(|Broken { claim, how }| {
            panic!("'{claim}': {how}; again: AGREED_SEED={seed} cargo test -p calicolb-consensus --test network {name}")
        })
    });
    played.collect()
}

#[test]
fn storms() {
    let mut accounts = sound("storms", 12, |seed| storm(seed, Defect::None));
    if number("AGREED_SEED").is_none() {
        accounts.extend(
            HARD.map(|seed| storm(seed, Defect::None).unwrap_or_else(|broken| panic!("{seed}: {broken:?}"))),
        );
    }
    let sum = |of: fn(&Account) -> u64| accounts.iter().map(of).sum::<u64>();
    let level = accounts.iter().map(|account| account.level_ticks).max().unwrap_or(0);
    let (agreed, void) = (sum(|a| a.agreed), sum(|a| a.void));
    let (unknown, tightened) = (sum(|a| a.unknown), sum(|a| a.tightened));
    println!(
        "{} storms: {agreed} agreed, {void} void, {unknown} unknown, tightened {tightened} times, level in {level} ticks",
        accounts.len()
    );
    assert!(
        agreed > 0 && (accounts.len() < 10 || (void > 0 && unknown > 0 && tightened > 0)),
        "not much of a storm"
    );
}

#[test]
fn regions() {
    let accounts = sound("regions", 12, |seed| regions_apart(seed, Defect::None));
    let level = accounts.iter().map(|account| account.level_ticks).max().unwrap_or(0);
    println!("regions together again: level in at most {level} ticks");
    assert!(level <= TOGETHER_TICKS, "{level} ticks");
}

#[test]
fn pauses() {
    sound("pauses", 6, |seed| pause(seed, Defect::None));
}

#[test]
fn deaths() {
    for death in [Death::Process, Death::TwoProcesses, Death::Machine] {
        let ticks = sound("deaths", 12, |seed| leader_dies(seed, Defect::None, death));
        println!("{death:?}: in force everywhere after at most {:?} ticks", ticks.iter().max());
    }
}

/// A defect is caught by one of these claims, on some seed of a play.
fn caught<T>(defect: Defect, claims: &[&str], play: impl Fn(u64, Defect) -> Result<T, Broken>) {
    let mut broken = (0..40).filter_map(|seed| Some((seed, play(seed, defect).err()?)));
    let found = broken.find(|(_, broken)| claims.contains(&broken.claim));
    println!("{defect:?}: {found:?}");
    assert!(found.is_some(), "{defect:?} isn't caught by {claims:?}");
}

fn killed(seed: u64, defect: Defect) -> Result<u64, Broken> {
    leader_dies(seed, defect, Death::Process)
}

#[test]
fn a_voter_that_acknowledges_early_is_caught() {
    caught(Defect::AcknowledgesEarly, &[LOST], storm);
}

#[test]
fn a_voter_that_shows_what_isnt_decided_is_caught() {
    caught(Defect::ShowsUndecided, &[LOST, UNAGREED, BACK], storm);
}

#[test]
fn a_store_that_forgets_is_caught() {
    caught(Defect::StoreForgets, &[LOST, BACK], storm);
}

#[test]
fn a_store_that_never_syncs_is_caught() {
    caught(Defect::StoreNeverSyncs, &[LOST, BACK], storm);
}

#[test]
fn a_voter_that_always_claims_a_majority_is_caught() {
    caught(Defect::AlwaysMajority, &[MINORITY], regions_apart);
}

#[test]
fn a_pause_that_goes_unnoticed_is_caught() {
    caught(Defect::PauseUnnoticed, &[MINORITY], pause);
}

#[test]
fn voters_that_are_slow_are_caught() {
    caught(Defect::SlowTicks, &[DEATH], killed);
}

#[test]
fn a_learner_that_takes_any_delta_is_caught() {
    caught(Defect::AnyDelta, &[UNAGREED], storm);
}

#[test]
fn a_learner_that_takes_a_change_key_by_key_is_caught() {
    caught(Defect::KeyByKey, &[HALF], storm);
}

#[test]
fn a_learner_that_goes_back_is_caught() {
    caught(Defect::GoesBack, &[BACK], storm);
}

#[test]
fn a_learner_that_never_asks_is_caught() {
    caught(Defect::NeverAsks, &[LEVEL], storm);
}
