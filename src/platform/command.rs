//! Parses and validates commands of the platform's clients. The themed names of fields end here.

use crate::decision::{AccountId, Idempotency, RequestId};
use crate::platform::client_protocol::PlatformClientProtocol;
use crate::platform::upstream_protocol::FIELDS;
use crate::protocol::resp::RespError;
use std::ops::Range;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// The word of a command that names the account.
const ACCOUNT: usize = 1;
/// The word of a command that is the request's id.
const REQUEST_ID: usize = 2;
/// The most words of a command.
const MAX_WORDS: usize = 5;
/// The longest id or idempotency key, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Hexadecimal digits of an account.
const ACCOUNT_DIGITS: usize = 16;
/// Accounts are numbers below this.
const ACCOUNT_LIMIT: u64 = 1 << 33;

/// Why a command is not a valid request. The text goes to the client.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub(super) enum CommandError {
    /// Not RESP; what follows on the connection can't be parsed.
    #[error(transparent)]
    Resp(#[from] RespError),
    /// The command does not fit a buffer.
    #[error("command too long")]
    TooLong,
    /// The command is no request, or has too many words.
    #[error("unknown command")]
    UnknownCommand,
    /// The account is not 16 hexadecimal digits, or out of range.
    #[error("bad account")]
    Account,
    /// The id of the request is not 1 to 64 graphic characters.
    #[error("bad id")]
    RequestId,
    /// No class of this name is configured.
    #[error("unknown class")]
    UnknownClass,
    /// No plan of this name is configured.
    #[error("unknown plan")]
    UnknownPlan,
    /// The units or the limiters are absent or out of range.
    #[error("bad units, spread or first")]
    Units,
    /// The class is sent by the other command.
    #[error("the class goes with the other command")]
    WrongCommand,
    /// The class needs an idempotency key, and it is absent or malformed.
    #[error("bad k")]
    IdempotencyKey,
    /// The deadline is absent or 0.
    #[error("bad d")]
    Deadline,
}

/// The commands of requests.
#[derive(Clone, Copy, PartialEq)]
enum CommandKind {
    /// For classes that are not idempotent.
    Submit,
    /// For idempotent classes.
    Query,
}

impl CommandKind {
    fn parse(word: &str) -> Option<Self> {
        if word.eq_ignore_ascii_case("SVC.SUBMIT") {
            Some(Self::Submit)
        } else if word.eq_ignore_ascii_case("SVC.QUERY") {
            Some(Self::Query)
        } else {
            None
        }
    }
}

/// A valid request command.
pub(super) struct RequestCommand {
    pub(super) account: AccountId,
    pub(super) id: RequestId,
    /// Index of the class.
    pub(super) class: usize,
    /// Index of the plan.
    pub(super) plan: usize,
    /// The client's deadline, at most the longest of the class.
    pub(super) timeout: Duration,
    pub(super) units: f64,
    /// The number of limiters that the account's requests are spread over.
    pub(super) limiter_count: u32,
    /// The first of these limiters.
    pub(super) first_limiter: u32,
    /// Where the digits of the deadline are in the buffer.
    pub(super) deadline_at: Range<usize>,
}

/// The fields of a command, each none if it is absent or invalid.
#[derive(Default)]
struct Fields<'a> {
    class: Option<usize>,
    plan: Option<usize>,
    deadline_ms: Option<u64>,
    deadline_at: Range<usize>,
    idempotency_key: Option<&'a str>,
    units: Option<f64>,
    limiter_count: Option<u32>,
    first_limiter: Option<u32>,
}

impl PlatformClientProtocol {
    /// Parses and validates a request command.
    ///
    /// Guards against commands that no client of ours would send, under the name of a regular account: the decision
    /// module must not receive their plan, units or limiters, nor an upstream server the rest.
    pub(super) fn parse(
        &self,
        bytes: &[u8],
        words: &[Range<usize>],
    ) -> Result<RequestCommand, CommandError> {
        let word = |index: usize| text(&bytes[words[index].clone()]);
        let kind = CommandKind::parse(word(0)).ok_or(CommandError::UnknownCommand)?;
        if words.len() > MAX_WORDS {
            return Err(CommandError::UnknownCommand);
        }
        if !is_account(word(ACCOUNT)) {
            return Err(CommandError::Account);
        }
        if !is_name(word(REQUEST_ID)) {
            return Err(CommandError::RequestId);
        }
        let fields = self.parse_fields(word(FIELDS), words[FIELDS].start);
        let class = fields.class.ok_or(CommandError::UnknownClass)?;
        let plan = fields.plan.ok_or(CommandError::UnknownPlan)?;
        let units = fields.units.ok_or(CommandError::Units)?;
        let limiter_count = fields.limiter_count.ok_or(CommandError::Units)?;
        let first_limiter = fields.first_limiter.ok_or(CommandError::Units)?;
        let timeout = self.check_class(class, kind, &fields)?;
        Ok(RequestCommand {
            account: AccountId::from(word(ACCOUNT)),
            id: RequestId::from(word(REQUEST_ID)),
            class,
            plan,
            timeout,
            units,
            limiter_count,
            first_limiter,
            deadline_at: fields.deadline_at,
        })
    }

    /// Checks that a request of the class may be sent by this command with these fields. Returns its timeout.
    fn check_class(
        &self,
        class: usize,
        kind: CommandKind,
        fields: &Fields,
    ) -> Result<Duration, CommandError> {
        let class_settings = self.classes.get(class);
        let (max_timeout, idempotency) = *class_settings.ok_or(CommandError::UnknownClass)?;
        let expected_kind = match idempotency {
            Idempotency::Idempotent => CommandKind::Query,
            _ => CommandKind::Submit,
        };
        if kind != expected_kind {
            return Err(CommandError::WrongCommand);
        }
        let needs_key = matches!(idempotency, Idempotency::Keyed(_));
        if needs_key && !fields.idempotency_key.is_some_and(is_name) {
            return Err(CommandError::IdempotencyKey);
        }
        let deadline_ms = fields.deadline_ms.ok_or(CommandError::Deadline)?;
        Ok(Duration::from_millis(deadline_ms).min(max_timeout))
    }

    /// Parses `name=value` pairs that begin at `start` in the buffer; the last of a name counts.
    fn parse_fields<'a>(&self, pairs: &'a str, start: usize) -> Fields<'a> {
        let mut fields = Fields::default();
        let mut position = start;
        for pair in pairs.split(',') {
            let end = position + pair.len();
            match pair.split_once('=') {
                Some(("c", value)) => fields.class = self.names.class(value),
                Some(("t", value)) => fields.plan = self.names.plan(value),
                Some(("d", value)) => {
                    fields.deadline_ms = parse_if(value, |deadline_ms| *deadline_ms > 0);
                    fields.deadline_at = position + "d=".len()..end;
                }
                Some(("k", value)) => fields.idempotency_key = Some(value),
                Some(("units", value)) => {
                    fields.units =
                        parse_if(value, |units| *units > 0.0 && *units <= self.max_units);
                }
                Some(("spread", value)) => {
                    fields.limiter_count =
                        parse_if(value, |count| (1..=self.limiter_count).contains(count));
                }
                Some(("first", value)) => {
                    fields.first_limiter = parse_if(value, |first| *first < self.limiter_count);
                }
                _ => {}
            }
            position = end + ",".len();
        }
        fields
    }

    /// The class that a rejected command names, if it names one.
    pub(super) fn class_of_rejected(&self, fields: &[u8]) -> Option<usize> {
        String::from_utf8_lossy(fields)
            .split(',')
            .find_map(|pair| self.names.class(pair.strip_prefix("c=")?))
    }
}

fn text(word: &[u8]) -> &str {
    std::str::from_utf8(word).unwrap_or("")
}

fn parse_if<T: FromStr>(value: &str, is_valid: impl Fn(&T) -> bool) -> Option<T> {
    value.parse().ok().filter(is_valid)
}

/// Whether a word is an account: 16 hexadecimal digits, a number below 2^33.
fn is_account(word: &str) -> bool {
    let is_hexadecimal = word.bytes().all(|byte| byte.is_ascii_hexdigit());
    word.len() == ACCOUNT_DIGITS
        && is_hexadecimal
        && u64::from_str_radix(word, 16).is_ok_and(|number| number < ACCOUNT_LIMIT)
}

/// Whether a word may be an id or an idempotency key.
fn is_name(word: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&word.len()) && word.bytes().all(|byte| byte.is_ascii_graphic())
}
