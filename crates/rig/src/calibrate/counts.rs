//! Counts messages and bytes that the stand-ins exchange with schedulers, by flow and by control function.

use serde::Serialize;
use std::collections::BTreeMap;

/// A number of messages and their size. HTTP messages count head and body, datagrams their payload.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Total size in bytes.
    pub bytes: u64,
}

impl Traffic {
    /// Adds up messages and bytes.
    pub fn plus(self, other: Traffic) -> Traffic {
        Traffic { messages: self.messages + other.messages, bytes: self.bytes + other.bytes }
    }
}

/// One kind of message in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Flow {
    /// Request for the list: `GET /discovery/hosts`.
    #[serde(rename = "list_asked")]
    ListRequested,
    /// Answer with the full list, or any other answer of discovery that opens no watch (busy, unknown path).
    ListAnswered,
    /// Request for a watch: `GET /discovery/hosts?watch=1&from=N`.
    #[serde(rename = "watch_asked")]
    WatchRequested,
    /// Response head of a watch together with the changes since the requested version.
    WatchOpened,
    /// Changes on an open watch.
    WatchChanges,
    /// Full list on a watch, including the response head if the watch opens with it.
    #[serde(rename = "watch_whole")]
    WatchFullList,
    /// Empty line that keeps a watch open while nothing changes.
    #[serde(rename = "watch_beats")]
    WatchKeepalives,
    /// Load messages from a scheduler to the relay.
    #[serde(rename = "talk_sent")]
    LoadsSent,
    /// Load messages from the relay to a scheduler.
    #[serde(rename = "talk_passed")]
    LoadsPassed,
    /// Hello messages from a scheduler to the relay.
    #[serde(rename = "greetings_sent")]
    HellosSent,
    /// Hello messages from the relay to a scheduler.
    #[serde(rename = "greetings_passed")]
    HellosPassed,
    /// Fault reports from a scheduler to the relay.
    #[serde(rename = "troubles_sent")]
    FaultReportsSent,
    /// Fault reports from the relay to a scheduler.
    #[serde(rename = "troubles_passed")]
    FaultReportsPassed,
    /// Questions about the freshness of a list, and answers to them, from a scheduler to the relay. The hollow fleet
    /// sends none.
    FreshnessSent,
    /// Freshness questions and answers from the relay to a scheduler.
    FreshnessPassed,
    /// Datagrams of no known shape from a scheduler to the relay.
    UnknownSent,
    /// Datagrams of no known shape from the relay to a scheduler.
    UnknownPassed,
    /// Probes of a worker: `GET /metrics/load` or `GET /alive`.
    #[serde(rename = "probes_asked")]
    ProbesRequested,
    /// Answers to probes.
    ProbesAnswered,
    /// Attempts that reached a worker.
    AttemptsSent,
    /// Immediate answers of workers to attempts.
    AttemptsAnswered,
    /// Cancellations of an attempt: `DELETE /jobs/ID`.
    #[serde(rename = "give_ups_sent")]
    CancelsSent,
    /// Answers to cancellations.
    #[serde(rename = "give_ups_answered")]
    CancelsAnswered,
    /// Callbacks from workers to schedulers.
    #[serde(rename = "news_sent")]
    CallbacksSent,
    /// Answers to callbacks.
    #[serde(rename = "news_answered")]
    CallbacksAnswered,
    /// Jobs that clients submitted.
    JobsSent,
    /// Answers to clients.
    JobsAnswered,
}

/// Control functions as the hollow fleet counts them: the function's key and the flows that it consists of.
pub const FUNCTIONS: [(&str, &[Flow]); 6] = [
    // Like in the hollow fleet, `list` holds every request to discovery and every full list, also one on a watch.
    ("list", &[Flow::ListRequested, Flow::ListAnswered, Flow::WatchRequested, Flow::WatchFullList]),
    ("watch", &[Flow::WatchOpened, Flow::WatchChanges, Flow::WatchKeepalives]),
    ("talk", &[Flow::LoadsSent, Flow::LoadsPassed]),
    ("greetings", &[Flow::HellosSent, Flow::HellosPassed]),
    ("troubles", &[Flow::FaultReportsSent, Flow::FaultReportsPassed]),
    ("probes", &[Flow::ProbesRequested, Flow::ProbesAnswered]),
];

/// All traffic counted by the stand-ins.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Traffic by flow.
    pub flows: BTreeMap<Flow, Traffic>,
    /// All datagrams that the relay received, of any shape.
    pub relay_in: Traffic,
    /// All datagrams that the relay forwarded.
    pub relay_out: Traffic,
    /// Size of the longest datagram, in bytes.
    pub datagram_longest: usize,
}

impl Counts {
    /// Counts one message of `bytes` bytes.
    pub fn add(&mut self, flow: Flow, bytes: usize) {
        let traffic = self.flows.entry(flow).or_default();
        *traffic = traffic.plus(Traffic { messages: 1, bytes: bytes as u64 });
    }

    /// Returns the traffic of one flow.
    pub fn of(&self, flow: Flow) -> Traffic {
        self.flows.get(&flow).copied().unwrap_or_default()
    }

    /// Returns the total traffic of several flows.
    pub fn sum(&self, flows: &[Flow]) -> Traffic {
        flows.iter().fold(Traffic::default(), |sum, &flow| sum.plus(self.of(flow)))
    }

    /// Returns the traffic of each control function, both directions together.
    pub fn by_function(&self) -> BTreeMap<&'static str, Traffic> {
        FUNCTIONS.iter().map(|(name, flows)| (*name, self.sum(flows))).collect()
    }

    /// Returns the traffic counted since `before`. The longest datagram is taken over the whole run.
    pub fn since(&self, before: &Counts) -> Counts {
        let less = |now: Traffic, then: Traffic| Traffic {
            messages: now.messages.saturating_sub(then.messages),
            bytes: now.bytes.saturating_sub(then.bytes),
        };
        Counts {
            flows: self.flows.iter().map(|(&flow, &now)| (flow, less(now, before.of(flow)))).collect(),
            relay_in: less(self.relay_in, before.relay_in),
            relay_out: less(self.relay_out, before.relay_out),
            datagram_longest: self.datagram_longest,
        }
    }
}
