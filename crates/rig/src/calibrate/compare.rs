//! The hollow fleet held against real processes: by function, messages and bytes, and processor time on control.

use super::counts::{FUNCTIONS, Flow, Traffic};
use super::direct::Measured;
use super::play::Real;
use calicolb_hollow::Account;
use serde::Serialize;

/// Counts of messages and bytes are alike within this part of the real figure, ...
pub const COUNTS_ALIKE: f64 = 0.1;
/// ... and processor time within this one.
pub const CPU_ALIKE: f64 = 0.3;

/// One function.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Its name.
    pub function: &'static str,
    /// What real processes exchanged.
    pub real: Traffic,
    /// What the hollow fleet exchanged.
    pub hollow: Traffic,
    /// Hollow by real; `None`: there were none.
    pub messages_ratio: Option<f64>,
    /// See above.
    pub bytes_ratio: Option<f64>,
    /// Both are within [`COUNTS_ALIKE`], or both fleets had none.
    pub alike: bool,
}

/// Processor time on control, in milliseconds a second, mean of all schedulers.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Cpu {
    /// Real: what an idle process uses, and each message heard at what it costs one by itself.
    pub real_control: f64,
    /// Of that: the idle process, and what is heard or probed.
    pub real_idle: f64,
    /// See above.
    pub real_heard: f64,
    /// Hollow: the module's time on control events.
    pub hollow_control: f64,
    /// Hollow by real.
    pub ratio: Option<f64>,
    /// It is within [`CPU_ALIKE`].
    pub alike: bool,
    /// Real: all that the process does, jobs included.
    pub real_all: f64,
}

/// All of it.
#[derive(Clone, Debug, Serialize)]
pub struct Compared {
    /// By function.
    pub functions: Vec<Row>,
    /// Processor time.
    pub cpu: Cpu,
    /// Jobs and starts: hollow by real.
    pub jobs_ratio: Option<f64>,
    /// See above.
    pub started_ratio: Option<f64>,
}

fn ratio(hollow: f64, real: f64) -> Option<f64> {
    (real > 0.0).then(|| hollow / real)
}

fn alike(ratio: Option<f64>, within: f64) -> bool {
    ratio.is_some_and(|ratio| (ratio - 1.0).abs() <= within)
}

/// Holds plays of the same plans against each other, all together; `one`: what messages cost one process by itself, at the
/// same size.
pub fn compare(plays: &[(&Real, &Account)], one: &Measured) -> Compared {
    let sum = |of: &dyn Fn(&(&Real, &Account)) -> f64| plays.iter().map(of).sum::<f64>();
    let row = |function: &'static str| {
        let add = |sum: Traffic, messages: u64, bytes: u64| sum.plus(Traffic { messages, bytes });
        let (mut real, mut hollow) = (Traffic::default(), Traffic::default());
        for (played, account) in plays {
            real = real.plus(played.traffic.get(function).copied().unwrap_or_default());
            hollow = account.traffic.get(function).map_or(hollow, |of| add(hollow, of.messages, of.bytes));
        }
        let messages_ratio = ratio(hollow.messages as f64, real.messages as f64);
        let bytes_ratio = ratio(hollow.bytes as f64, real.bytes as f64);
        let none = real.messages == 0 && hollow.messages == 0;
        let both = alike(messages_ratio, COUNTS_ALIKE) && alike(bytes_ratio, COUNTS_ALIKE);
        Row { function, real, hollow, messages_ratio, bytes_ratio, alike: none || both }
    };
    let heard = [
        (Flow::TalkPassed, one.talk_heard),
        (Flow::TroublesPassed, one.trouble_heard),
        (Flow::GreetingsPassed, one.greeting_heard),
        (Flow::WatchChanges, one.list_change),
        (Flow::WatchWhole, one.whole_list),
        (Flow::ProbesAsked, one.probe),
    ];
    let seconds = sum(&|(real, _)| real.seconds * f64::from(real.processes)).max(1e-9);
    let heard =
        heard.map(|(flow, cost)| sum(&|(real, _)| real.counts.of(flow).messages as f64) * cost.cpu_us);
    let real_heard = heard.iter().sum::<f64>() / 1e3 / seconds;
    let real_control = one.idle_cpu_ms_per_s + real_heard;
    let mean = |of: &dyn Fn(&(&Real, &Account)) -> f64| sum(of) / plays.len().max(1) as f64;
    let hollow_control = mean(&|(_, hollow)| hollow.control_cpu_ms_per_s_mean);
    let cpu_ratio = ratio(hollow_control, real_control);
    Compared {
        functions: FUNCTIONS.iter().map(|(function, _)| row(function)).collect(),
        cpu: Cpu {
            real_control,
            real_idle: one.idle_cpu_ms_per_s,
            real_heard,
            hollow_control,
            ratio: cpu_ratio,
            alike: alike(cpu_ratio, CPU_ALIKE),
            real_all: mean(&|(real, _)| real.on_cpu_ms_per_s.mean),
        },
        jobs_ratio: ratio(sum(&|(_, hollow)| hollow.jobs as f64), sum(&|(real, _)| real.jobs as f64)),
        started_ratio: ratio(
            sum(&|(_, hollow)| hollow.started as f64),
            sum(&|(real, _)| real.started as f64),
        ),
    }
}
