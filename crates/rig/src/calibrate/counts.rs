//! What the stand-ins have seen on the wire, by flow and by control function.

use serde::Serialize;
use std::collections::BTreeMap;

/// Messages, and the bytes of these: head and body of an HTTP message, payload of a datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// How many.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl Traffic {
    /// The sum of both.
    pub fn plus(self, other: Traffic) -> Traffic {
        Traffic { messages: self.messages + other.messages, bytes: self.bytes + other.bytes }
    }
}

/// Messages of one kind that go one way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Flow {
    /// `GET /discovery/hosts`.
    #[serde(rename = "list_asked")]
    ListRequested,
    /// The whole list, or that discovery is awaiting_answer, whatever was asked.
    ListAnswered,
    /// `GET /discovery/hosts?watch=1&from=N`.
    #[serde(rename = "watch_asked")]
    WatchRequested,
    /// The head of a watch and the changes that it begins with.
    WatchOpened,
    /// Changes on an open watch.
    WatchChanges,
    /// The whole list on a watch, with the head if it begins with that.
    #[serde(rename = "watch_whole")]
    WatchFullList,
    /// The empty line on a watch on which nothing changes.
    #[serde(rename = "watch_beats")]
    WatchKeepalives,
    /// Loads that a scheduler has sent, and those that were passed on to another.
    #[serde(rename = "talk_sent")]
    LoadsSent,
    /// See above.
    #[serde(rename = "talk_passed")]
    LoadsPassed,
    /// The same of greetings.
    #[serde(rename = "greetings_sent")]
    HellosSent,
    /// See above.
    #[serde(rename = "greetings_passed")]
    HellosPassed,
    /// The same of troubles.
    #[serde(rename = "troubles_sent")]
    FaultReportsSent,
    /// See above.
    #[serde(rename = "troubles_passed")]
    FaultReportsPassed,
    /// The same of questions how fresh a list is, and of the answers. The hollow fleet has none of these.
    FreshnessSent,
    /// See above.
    FreshnessPassed,
    /// Datagrams of no known shape.
    UnknownSent,
    /// See above.
    UnknownPassed,
    /// `GET /metrics/load` or `GET /alive`.
    #[serde(rename = "probes_asked")]
    ProbesRequested,
    /// The answers to these.
    ProbesAnswered,
    /// Attempts that reached a worker.
    AttemptsSent,
    /// What the worker answered at once.
    AttemptsAnswered,
    /// `DELETE /jobs/ID`.
    #[serde(rename = "give_ups_sent")]
    CancelsSent,
    /// The answers to these.
    #[serde(rename = "give_ups_answered")]
    CancelsAnswered,
    /// Call-callback_queues of workers.
    #[serde(rename = "news_sent")]
    CallbacksSent,
    /// The answers to these.
    #[serde(rename = "news_answered")]
    CallbacksAnswered,
    /// Jobs that clients submitted.
    JobsSent,
    /// What clients were answered.
    JobsAnswered,
}

/// The control functions, as the hollow fleet counts them: key, and the flows that make it up.
pub const FUNCTIONS: [(&str, &[Flow]); 6] = [
    // As there: every call, and every whole list, however it comes.
    ("list", &[Flow::ListRequested, Flow::ListAnswered, Flow::WatchRequested, Flow::WatchFullList]),
    ("watch", &[Flow::WatchOpened, Flow::WatchChanges, Flow::WatchKeepalives]),
    ("talk", &[Flow::LoadsSent, Flow::LoadsPassed]),
    ("greetings", &[Flow::HellosSent, Flow::HellosPassed]),
    ("troubles", &[Flow::FaultReportsSent, Flow::FaultReportsPassed]),
    ("probes", &[Flow::ProbesRequested, Flow::ProbesAnswered]),
];

/// All that was counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// By flow.
    pub flows: BTreeMap<Flow, Traffic>,
    /// All datagrams that reached the relay, whatever their shape.
    pub relay_in: Traffic,
    /// All datagrams that the relay passed on.
    pub relay_out: Traffic,
    /// The longest datagram, in bytes.
    pub datagram_longest: usize,
}

impl Counts {
    /// One message of this many bytes.
    pub fn add(&mut self, flow: Flow, bytes: usize) {
        let traffic = self.flows.entry(flow).or_default();
        *traffic = traffic.plus(Traffic { messages: 1, bytes: bytes as u64 });
    }

    /// What was counted of a flow.
    pub fn of(&self, flow: Flow) -> Traffic {
        self.flows.get(&flow).copied().unwrap_or_default()
    }

    /// What was counted of these flows.
    pub fn sum(&self, flows: &[Flow]) -> Traffic {
        flows.iter().fold(Traffic::default(), |sum, &flow| sum.plus(self.of(flow)))
    }

    /// The control functions by name, in and out together.
    pub fn by_function(&self) -> BTreeMap<&'static str, Traffic> {
        FUNCTIONS.iter().map(|(name, flows)| (*name, self.sum(flows))).collect()
    }

    /// What was counted since `before`; the longest datagram is that of all the time.
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
