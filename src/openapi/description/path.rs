//! Path templates.

/// A segment of a path template.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Segment {
    /// Matches exactly this text.
    Literal(String),
    /// Matches a parameter of at least one character between a prefix and a suffix, both of which
    /// are usually empty.
    Parameter {
        /// The text before the parameter.
        prefix: String,
        /// The text after the parameter.
        suffix: String,
    },
}

impl Segment {
    /// Parses the template `path`, which is prefixed with `base`. Returns `None` if `path` does not
    /// begin with `/`, or if a segment has more than one parameter.
    pub(super) fn parse_path(base: &str, path: &str) -> Option<Vec<Self>> {
        if !path.starts_with('/') {
            return None;
        }
        format!("{base}{path}")
            .split('/')
            .map(Self::parse)
            .collect()
    }

    fn parse(text: &str) -> Option<Self> {
        match (text.find('{'), text.find('}')) {
            (None, None) => Some(Self::Literal(text.into())),
            (Some(open), Some(close)) if open + 1 < close => {
                let suffix = &text[close + 1..];
                if suffix.contains(['{', '}']) {
                    return None;
                }
                Some(Self::Parameter {
                    prefix: text[..open].into(),
                    suffix: suffix.into(),
                })
            }
            _ => None,
        }
    }

    /// Returns the rank of the segment in matching, which is lower for a more specific segment: 0
    /// for a literal, highest for a parameter without prefix and suffix. Templates are matched in
    /// the order of their ranks, compared from the left.
    pub(super) fn match_rank(&self) -> usize {
        match self {
            Self::Literal(_) => 0,
            Self::Parameter { prefix, suffix } => usize::MAX - prefix.len() - suffix.len(),
        }
    }

    /// Whether a segment of a request path matches.
    pub(super) fn matches(&self, text: &str) -> bool {
        match self {
            Self::Literal(literal) => literal == text,
            Self::Parameter { prefix, suffix } => {
                text.len() > prefix.len() + suffix.len()
                    && text.starts_with(prefix)
                    && text.ends_with(suffix)
            }
        }
    }
}
