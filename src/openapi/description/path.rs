//! Templates of paths.

/// A segment of the template of a path.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Segment {
    /// Matches this text.
    Literal(String),
    /// Matches a parameter of at least one character between a prefix and a suffix, which are mostly empty.
    Parameter {
        /// The text before the parameter.
        prefix: String,
        /// The text after the parameter.
        suffix: String,
    },
}

impl Segment {
    /// Parses a template that begins with `/`; none if it does not, or if a segment has more than one parameter.
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

    /// How unspecific a segment is: of the templates that match a path, the one whose segments are less unspecific,
    /// compared from the left, comes first. A literal is the least and a parameter without prefix and suffix the most.
    pub(super) fn unspecificity(&self) -> usize {
        match self {
            Self::Literal(_) => 0,
            Self::Parameter { prefix, suffix } => usize::MAX - prefix.len() - suffix.len(),
        }
    }

    /// Whether a segment of a path matches.
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
