//! What processes of a fleet say to one another: a line of JSON each, with the number of its form and the name of its fleet. The one
//! home of these messages; keepers, agents, the command line and the lab read and write them here. No sockets, but for `client`, the
//! plain one of who asks a question and waits.
//!
//! A message of another fleet, of a form that is not known here, or that makes no sense is refused with its reason, and whoever
//! reads it counts that. Nothing of it takes effect.
pub mod client;
pub mod search;

use std::collections::BTreeMap;

use notchspool_commands::command_log::CommandState;
use notchspool_commands::{CommandKind, Epoch, InstanceId, Outcome, Revision};
use notchspool_consensus::{Request, Response, Token};
use serde::{Deserialize, Serialize};

/// The form that is written. Read are this one and those in `READ`.
pub const FORM: u32 = 1;
pub const READ: [u32; 1] = [1];

/// Bytes of one line at the most: a voter's whole disk has to fit.
pub const LONGEST: usize = 8 * 1024 * 1024;
/// Of what agents and operators send.
pub const SHORT: usize = 64 * 1024;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Message {
    pub form: u32,
    pub fleet: String,
    /// Who sends it, by name.
    pub from: String,
    /// Chosen by who asks; the answer carries it too. Nought for what is no answer and wants none.
    pub no: u64,
    pub body: Body,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Body {
    /// To a voter, and back.
    Ask(Request),
    Answer(Response),
    /// An agent begins a life. `life` is drawn at its start: asked twice, it is one life.
    Register {
        zone: String,
        life: u64,
        report: Report,
    },
    Registered {
        id: InstanceId,
        epoch: Epoch,
        token: Token,
        again_us: i64,
    },
    /// An agent lives on.
    Renew {
        id: InstanceId,
        epoch: Epoch,
        report: Report,
    },
    Renewed {
        token: Token,
        again_us: i64,
    },
    /// It has to register anew: it is not known, was declared gone, or another life has its name.
    Anew {
        fenced: bool,
    },
    /// To an agent: do this, under this token.
    Do {
        token: Token,
        job: String,
        epoch: Epoch,
        revision: Revision,
        act: CommandKind,
    },
    /// An agent did, or says why not.
    Did {
        id: InstanceId,
        epoch: Epoch,
        revision: Revision,
        outcome: Outcome,
    },
    /// An agent ends, as it was told: it is gone at once, and nobody's sight is to blame.
    Leave {
        id: InstanceId,
        epoch: Epoch,
    },
    /// An operator's order. `id` is the client's: the same again is the same order.
    Order(Order),
    Taken {
        revision: Revision,
        whom: usize,
    },
    /// Operators' questions.
    Instances,
    InstancesAre {
        token: Token,
        instances: Vec<Instance>,
        guarded: bool,
    },
    Orders {
        last: usize,
    },
    OrdersAre {
        orders: Vec<Ordered>,
    },
    Look {
        revision: Revision,
    },
    /// Who owns, and what this keeper is.
    Owner,
    OwnerIs(Keeper),
    /// The owner lets go, or it is asked of who is none.
    LetGo,
    Done,
    /// Not here: at the keeper of this place, if one is known.
    Elsewhere {
        place: Option<u16>,
    },
    /// Not now: come back after this.
    Later {
        after_us: i64,
    },
    Refused {
        why: String,
    },
}

/// How an agent is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    pub program: String,
    /// Txns since its start: answered as settled, answered otherwise.
    pub settled: u64,
    pub other: u64,
    pub in_hand: u64,
    /// Clients are sent away.
    pub away: bool,
    /// The newest version of a server list that it routes by, over its pools.
    pub list: u64,
    /// The largest token it has seen.
    pub seen: Token,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    pub id: String,
    pub author: String,
    pub act: CommandKind,
    pub whom: Whom,
    pub within_us: i64,
    /// Out at once at the most, of a zone and of the whole; none: as the keepers' files say.
    pub part: Option<f64>,
    /// Only if this is the last revision on its subject at all who are meant.
    pub on: Option<Revision>,
}

/// Whom an order means; every part that is given has to fit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Whom {
    /// Names, or beginnings of names that end in `*`.
    pub names: Vec<String>,
    pub zones: Vec<String>,
    /// All there are; else one of the others has to be given.
    pub all: bool,
}

impl Whom {
    pub fn means(&self, name: &str, zone: &str) -> bool {
        let fits = |word: &String| match word.strip_suffix('*') {
            Some(start) => name.starts_with(start),
            None => name == word,
        };
        let named = self.names.is_empty() || self.names.iter().any(fits);
        let there = self.zones.is_empty() || self.zones.iter().any(|z| z == zone);
        (self.all || !self.names.is_empty() || !self.zones.is_empty()) && named && there
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    pub id: InstanceId,
    pub name: String,
    pub zone: String,
    pub epoch: Epoch,
    /// `live`, `held` or `gone`.
    pub standing: String,
    /// Since it was heard last, if this owner has heard it.
    pub heard_us: Option<i64>,
    pub report: Report,
    /// The last order on its service, and where that stands.
    pub service: Option<(Revision, CommandKind, CommandState)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ordered {
    pub revision: Revision,
    pub id: String,
    pub author: String,
    pub act: CommandKind,
    pub part: f64,
    /// Till its deadline; below nothing: it is over.
    pub left_us: i64,
    /// Why no more of them are told.
    pub halted: Option<String>,
    /// How many stand where; and who, where one order is looked at.
    pub counts: BTreeMap<String, usize>,
    pub states: Vec<(String, CommandState)>,
}

/// A keeper, as it says itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keeper {
    pub name: String,
    pub place: u16,
    pub program: String,
    /// `votes`, `blank` (lost its disk, not readmitted yet) or `ill` (can't write to it).
    pub voter: String,
    /// The owner it knows of: name, place, token.
    pub owner: Option<(String, u16, Token)>,
    /// It is that owner, and its lease runs.
    pub owns: bool,
    pub instances: usize,
    pub writes: u64,
    pub refused: BTreeMap<String, u64>,
}

/// Why a line is no message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wrong {
    TooLong,
    /// Of a form that is not known here.
    Form(u32),
    /// Of another fleet.
    Fleet(String),
    /// What can't be read of it, and where.
    Senseless(String),
}

impl Wrong {
    /// The name of its counter.
    pub fn counted(&self) -> &'static str {
        match self {
            Wrong::TooLong => "too_long",
            Wrong::Form(_) => "other_form",
            Wrong::Fleet(_) => "other_fleet",
            Wrong::Senseless(_) => "senseless",
        }
    }
}

impl std::fmt::Display for Wrong {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Wrong::TooLong => write!(f, "the line is too long"),
            Wrong::Form(form) => write!(f, "form {form} is not known here; there are {READ:?}"),
            Wrong::Fleet(name) => write!(f, "it is of fleet `{name}`"),
            Wrong::Senseless(why) => write!(f, "{why}"),
        }
    }
}

/// What any form has.
#[derive(Deserialize)]
struct Outer {
    form: u32,
    fleet: String,
}

impl Message {
    pub fn new(fleet: &str, from: &str, no: u64, body: Body) -> Message {
        Message { form: FORM, fleet: fleet.into(), from: from.into(), no, body }
    }
    /// With the end of its line.
    pub fn written(&self) -> String {
        serde_json::to_string(self).unwrap_or_default() + "\n"
    }
    /// Reads a line, with or without its end.
    pub fn read(line: &[u8], fleet: &str) -> Result<Message, Wrong> {
        if line.len() > LONGEST {
            return Err(Wrong::TooLong);
        }
        let senseless = |e: serde_json::Error| Wrong::Senseless(e.to_string());
        let outer: Outer = serde_json::from_slice(line).map_err(senseless)?;
        if !READ.contains(&outer.form) {
            return Err(Wrong::Form(outer.form));
        }
        if outer.fleet != fleet {
            return Err(Wrong::Fleet(outer.fleet.chars().take(64).collect()));
        }
        let message: Message = serde_json::from_slice(line).map_err(senseless)?;
        message.sense()?;
        Ok(message)
    }
    /// What no type says.
    fn sense(&self) -> Result<(), Wrong> {
        let wrong = |why: &str| Err(Wrong::Senseless(format!("message {} of {}: {why}", self.no, self.from)));
        let name = |name: &str| {
            !name.is_empty()
                && name.len() <= 64
                && name.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c))
        };
        if !name(&self.from) {
            return wrong("field `from` is no name");
        }
        match &self.body {
            Body::Register { zone, .. } if zone.len() > 64 => wrong("field `zone` is too long"),
            Body::Order(order) => {
                let part = order.part.unwrap_or(1.0);
                if !(1..=3_600_000_000).contains(&order.within_us) {
                    wrong("field `within_us` must lie between 1 and an hour")
                } else if !(part > 0.0 && part <= 1.0) {
                    wrong("field `part` must be over 0 and at most 1")
                } else if order.id.is_empty() || order.id.len() > 64 {
                    wrong("field `id` must have 1 to 64 characters")
                } else if order.author.len() > 64 {
                    wrong("field `author` is too long")
                } else {
                    Ok(())
                }
            }
            _ => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case("{\"form\":2,\"fleet\":\"f\",\"news\":1}", "other_form")]
    #[case("{\"form\":1,\"fleet\":\"g\",\"from\":\"a\",\"no\":1,\"body\":\"owner\"}", "other_fleet")]
    #[case("{\"form\":1,\"fleet\":\"f\",\"from\":\"a\",\"no\":1,\"body\":\"wrong\"}", "senseless")]
    #[case("{\"form\":1,\"fleet\":\"f\",\"from\":\"a b\",\"no\":1,\"body\":\"owner\"}", "senseless")]
    #[case("{\"form\":1,\"fleet\":\"f\",\"from\":\"a\",\"no\":-1,\"body\":\"owner\"}", "senseless")]
    #[case("{\"form\":1,\"fleet\":\"f\"", "senseless")]
    #[case("", "senseless")]
    fn what_makes_no_sense_is_refused_with_its_reason(#[case] line: &str, #[case] why: &str) {
        assert_eq!(Message::read(line.as_bytes(), "f").expect_err("refused").counted(), why);
    }

    #[test]
    fn an_order_without_sense_is_refused_by_its_field() {
        let order = |part, within_us| Order {
            id: "a".into(),
            author: "b".into(),
            act: CommandKind::Drain,
            whom: Whom { all: true, ..Whom::default() },
            within_us,
            part: Some(part),
            on: None,
        };
        for (part, within, field) in
            [(0.0, 1, "part"), (1.5, 1, "part"), (-1.0, 1, "part"), (1.0, 0, "within_us")]
        {
            let text = Message::new("f", "cli", 1, Body::Order(order(part, within))).written();
            let wrong = Message::read(text.as_bytes(), "f").expect_err("refused").to_string();
            assert!(wrong.contains(field), "{wrong}");
        }
        // What is no number can't be written as one: it comes as none.
        let text = Message::new("f", "cli", 1, Body::Order(order(f64::NAN, 1))).written();
        let read = Message::read(text.as_bytes(), "f").expect("an order without a part");
        assert!(matches!(read.body, Body::Order(Order { part: None, .. })), "{read:?}");
        let sound = Message::new("f", "cli", 1, Body::Order(order(0.5, 5)));
        assert_eq!(Message::read(sound.written().as_bytes(), "f"), Ok(sound));
    }

    #[test]
    fn whom_means_who_fits_every_part() {
        let whom = |names: &[&str], zones: &[&str], all| Whom {
            names: names.iter().map(|n| (*n).into()).collect(),
            zones: zones.iter().map(|z| (*z).into()).collect(),
            all,
        };
        assert!(whom(&["n1", "m*"], &[], false).means("m7", "a"));
        assert!(!whom(&["n1"], &[], false).means("n11", "a"));
        assert!(!whom(&["n*"], &["b"], false).means("n1", "a"));
        assert!(whom(&[], &["a"], false).means("n1", "a"));
        assert!(!whom(&[], &[], false).means("n1", "a"), "nobody is meant by nothing");
        assert!(whom(&[], &[], true).means("n1", "a"));
    }

    proptest! {
        #[test]
        fn any_bytes_are_a_message_or_a_reason(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            let _ = Message::read(&bytes, "f");
        }
        #[test]
        fn a_spoilt_message_is_a_message_or_a_reason(at in 0usize..120, byte in any::<u8>()) {
            let mut line = Message::new("f", "n1", 3, Body::Register { zone: "a".into(), life: 7, report: Report::default() })
                .written().into_bytes();
            let at = at % line.len();
            line[at] = byte;
            let _ = Message::read(&line, "f");
        }
    }
}
