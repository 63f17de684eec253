//! What an operator asks of a running agent: one line, without sockets. The words are those of the operators' page.

/// Bytes of one line, its end left out.
pub const LONGEST: usize = 512;

/// A call, read whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Whether this process is ready to serve.
    Status,
    /// Take a backend out, by the id that the list gives it.
    MaintOn(String),
    /// Put it back.
    MaintOff(String),
    /// Send clients away.
    Standby,
    /// Take clients again.
    Active,
}

impl Order {
    /// Reads a line with or without its end (LF or CRLF). What makes no sense comes back as the words to answer with.
    pub fn read(line: &[u8]) -> Result<Order, &'static str> {
        if line.len() > LONGEST + 2 {
            return Err("the line is too long");
        }
        let line = std::str::from_utf8(line).map_err(|_| "the line is not UTF-8")?;
        let mut words = line.split_ascii_whitespace();
        let word = words.next().ok_or("an empty line")?;
        let id = words.next();
        if words.next().is_some() {
            return Err("too many words");
        }
        match (word, id) {
            ("status", None) => Ok(Order::Status),
            ("standby", None) => Ok(Order::Standby),
            ("active", None) => Ok(Order::Active),
            ("maint-on", Some(id)) => Ok(Order::MaintOn(id.to_owned())),
            ("maint-off", Some(id)) => Ok(Order::MaintOff(id.to_owned())),
            ("maint-on" | "maint-off", None) => Err("the id of a backend is missing"),
            ("status" | "standby" | "active", Some(_)) => Err("this call takes no argument"),
            _ => Err("no such call; there are status, maint-on ID, maint-off ID, standby, active"),
        }
    }
    /// The counter of this call.
    pub fn counted(&self) -> &'static str {
        match self {
            Order::Status => "asked_status",
            Order::MaintOn(_) => "asked_maint_on",
            Order::MaintOff(_) => "asked_maint_off",
            Order::Standby => "asked_standby",
            Order::Active => "asked_active",
        }
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case(b"status", Ok(Order::Status))]
    #[case(b"status\n", Ok(Order::Status))]
    #[case(b"  standby \t\r\n", Ok(Order::Standby))]
    #[case(b"active\r\n", Ok(Order::Active))]
    #[case(b"maint-on s-1\n", Ok(Order::MaintOn("s-1".into())))]
    #[case(b"maint-off  s-1\r\n", Ok(Order::MaintOff("s-1".into())))]
    #[case(b"", Err("an empty line"))]
    #[case(b"\r\n", Err("an empty line"))]
    #[case(b"maint-on\n", Err("the id of a backend is missing"))]
    #[case(b"maint-on a b\n", Err("too many words"))]
    #[case(b"status now\n", Err("this call takes no argument"))]
    #[case(b"STATUS\n", Err("no such call; there are status, maint-on ID, maint-off ID, standby, active"))]
    #[case(b"\xff\xfe\n", Err("the line is not UTF-8"))]
    fn a_line_is_one_call_or_a_reason(#[case] line: &[u8], #[case] read: Result<Order, &str>) {
        assert_eq!(Order::read(line), read);
    }

    #[test]
    fn a_line_without_end_is_too_long() {
        assert_eq!(Order::read(&[b'a'; LONGEST + 3]), Err("the line is too long"));
    }
}
