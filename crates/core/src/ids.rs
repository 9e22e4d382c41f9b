//! Identifiers used in plans, requests and messages.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Error from parsing an identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text is longer than [`MAX_ID_BYTES`].
    TooLong(usize),
    /// The text contains a character other than ASCII letters, digits, `.`, `-`, `_` and `@`.
    BadCharacter(char),
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "the identifier is empty"),
            Self::TooLong(len) => write!(f, "{len} bytes, at most {MAX_ID_BYTES} are allowed"),
            Self::BadCharacter(c) => write!(f, "character {c:?} is not allowed in an identifier"),
        }
    }
}

impl std::error::Error for IdError {}

/// Maximum length of an identifier, in bytes.
pub const MAX_ID_BYTES: usize = 96;

fn check(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong(text.len()));
    }
    match text.chars().find(|c| !is_allowed(*c)) {
        Some(c) => Err(IdError::BadCharacter(c)),
        None => Ok(()),
    }
}

fn is_allowed(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_' | '@')
}

macro_rules! id_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
        )]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check(text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

id_type! {
    /// A workspace: a tenant with its own allowed versions, targets and limits.
    WorkspaceId
}
id_type! {
    /// A model version, written `model@version`.
    VersionId
}
id_type! {
    /// A service: a pool of endpoints that serve the same API.
    ServiceId
}
id_type! {
    /// A kind of request, such as `diagnosis` or `quick`.
    KindId
}
id_type! {
    /// A failure domain.
    DomainId
}
id_type! {
    /// An endpoint that serves requests.
    EndpointId
}
id_type! {
    /// An entry instance.
    EntryId
}
id_type! {
    /// A roll-out.
    RolloutId
}

impl VersionId {
    /// Joins a model and a version name to `model@version`.
    ///
    /// # Errors
    /// [`IdError`] if the joined text is not a valid identifier.
    pub fn join(model: &str, version: &str) -> Result<Self, IdError> {
        format!("{model}@{version}").parse()
    }

    /// The model part, before the `@`.
    pub fn model(&self) -> &str {
        self.as_str().split('@').next().unwrap_or_default()
    }
}
