//! Parses and validates the commands of platform clients, and maps the field names of the wire to
//! the limiter's own terms.

use crate::decision::{AccountId, Idempotency, RequestId};
use crate::platform::client_protocol::PlatformClientProtocol;
use crate::platform::upstream_protocol::FIELDS_INDEX;
use crate::protocol::resp::RespError;
use std::ops::Range;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// Index of the command word that names the account.
const ACCOUNT_INDEX: usize = 1;
/// Index of the command word that holds the request id.
const REQUEST_ID_INDEX: usize = 2;
/// Maximum number of words in a command.
const MAX_WORDS: usize = 5;
/// Maximum length of a request id or idempotency key, in bytes.
const MAX_ID_BYTES: usize = 64;
/// Number of hexadecimal digits in an account id.
const ACCOUNT_DIGITS: usize = 16;
/// Exclusive upper bound of account ids.
const ACCOUNT_LIMIT: u64 = 1 << 33;

/// Reasons why a command is not a valid request. The message is sent to the client.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub(super) enum CommandError {
    /// The bytes are not RESP. Bytes that follow on the connection can't be parsed.
    #[error(transparent)]
    Resp(#[from] RespError),
    /// The command does not fit in a buffer.
    #[error("command too long")]
    TooLong,
    /// The command is not a request command, or has too many words.
    #[error("unknown command")]
    UnknownCommand,
    /// The account id is not 16 hexadecimal digits, or is out of range.
    #[error("bad account")]
    Account,
    /// The request id is not 1 to 64 graphic ASCII characters.
    #[error("bad id")]
    RequestId,
    /// No class of this name is configured.
    #[error("unknown class")]
    UnknownClass,
    /// No plan of this name is configured.
    #[error("unknown plan")]
    UnknownPlan,
    /// The units, the number of limiters or the first limiter is absent or out of range.
    #[error("bad units, spread or first")]
    Units,
    /// Requests of the class must be sent by the other command.
    #[error("the class goes with the other command")]
    WrongCommand,
    /// The class requires an idempotency key, which is absent or malformed.
    #[error("bad k")]
    IdempotencyKey,
    /// The deadline is absent or 0.
    #[error("bad d")]
    Deadline,
}

/// The commands that carry requests.
#[derive(Clone, Copy, PartialEq)]
enum CommandKind {
    /// `SVC.SUBMIT`, for classes that are not idempotent or are idempotent only with a key.
    Submit,
    /// `SVC.QUERY`, for idempotent classes.
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

/// A validated request command.
pub(super) struct RequestCommand {
    pub(super) account: AccountId,
    pub(super) id: RequestId,
    /// Index of the request class.
    pub(super) class: usize,
    /// Index of the plan.
    pub(super) plan: usize,
    /// The client's deadline, limited to the maximum of the class.
    pub(super) timeout: Duration,
    pub(super) units: f64,
    /// Number of limiters that the account's requests are spread over.
    pub(super) limiter_count: u32,
    /// Index of the first of these limiters.
    pub(super) first_limiter: u32,
    /// Range of the deadline's digits in the buffer.
    pub(super) deadline_at: Range<usize>,
}

/// The fields of a command; a field is `None` if it is absent or invalid.
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
    /// Commands are checked in full because any program may send one under the id of a regular
    /// account. An invalid plan, number of units or number of limiters must not reach the decision
    /// module, nor an invalid command an upstream server.
    pub(super) fn parse_request(
        &self,
        bytes: &[u8],
        words: &[Range<usize>],
    ) -> Result<RequestCommand, CommandError> {
        let word = |index: usize| as_text(&bytes[words[index].clone()]);
        let kind = CommandKind::parse(word(0)).ok_or(CommandError::UnknownCommand)?;
        if words.len() > MAX_WORDS {
            return Err(CommandError::UnknownCommand);
        }
        if !is_account_id(word(ACCOUNT_INDEX)) {
            return Err(CommandError::Account);
        }
        if !is_valid_id(word(REQUEST_ID_INDEX)) {
            return Err(CommandError::RequestId);
        }
        let fields = self.parse_fields(word(FIELDS_INDEX), words[FIELDS_INDEX].start);
        let class = fields.class.ok_or(CommandError::UnknownClass)?;
        let plan = fields.plan.ok_or(CommandError::UnknownPlan)?;
        let units = fields.units.ok_or(CommandError::Units)?;
        let limiter_count = fields.limiter_count.ok_or(CommandError::Units)?;
        let first_limiter = fields.first_limiter.ok_or(CommandError::Units)?;
        let timeout = self.check_class(class, kind, &fields)?;
        Ok(RequestCommand {
            account: AccountId::from(word(ACCOUNT_INDEX)),
            id: RequestId::from(word(REQUEST_ID_INDEX)),
            class,
            plan,
            timeout,
            units,
            limiter_count,
            first_limiter,
            deadline_at: fields.deadline_at,
        })
    }

    /// Checks that a request of the class may be sent by this kind of command with these fields.
    /// Returns the request's timeout.
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
        if needs_key && !fields.idempotency_key.is_some_and(is_valid_id) {
            return Err(CommandError::IdempotencyKey);
        }
        let deadline_ms = fields.deadline_ms.ok_or(CommandError::Deadline)?;
        Ok(Duration::from_millis(deadline_ms).min(max_timeout))
    }

    /// Parses `name=value` pairs that begin at index `start` of the buffer. If a name occurs more
    /// than once, its last value is used.
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

    /// Returns the index of the class that a rejected command names, if it names a configured class.
    pub(super) fn class_of_rejected(&self, fields: &[u8]) -> Option<usize> {
        String::from_utf8_lossy(fields)
            .split(',')
            .find_map(|pair| self.names.class(pair.strip_prefix("c=")?))
    }
}

fn as_text(word: &[u8]) -> &str {
    std::str::from_utf8(word).unwrap_or("")
}

fn parse_if<T: FromStr>(value: &str, is_valid: impl Fn(&T) -> bool) -> Option<T> {
    value.parse().ok().filter(is_valid)
}

/// Whether a word is an account id: 16 hexadecimal digits that denote a number below 2^33.
fn is_account_id(word: &str) -> bool {
    let is_hexadecimal = word.bytes().all(|byte| byte.is_ascii_hexdigit());
    word.len() == ACCOUNT_DIGITS
        && is_hexadecimal
        && u64::from_str_radix(word, 16).is_ok_and(|number| number < ACCOUNT_LIMIT)
}

/// Whether a word is valid as a request id or idempotency key.
fn is_valid_id(word: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&word.len()) && word.bytes().all(|byte| byte.is_ascii_graphic())
}
