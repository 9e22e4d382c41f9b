//! Places in a declaration, for findings.

use std::fmt;

use serde::Serialize;

use super::declaration::{RouteRule, ServiceRule, WorkspaceRule};

/// Part of a declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum DeclarationSection {
    /// The declaration as a whole.
    Declaration,
    /// A route.
    Route,
    /// A service.
    Service,
    /// A workspace.
    Workspace,
    /// The limits for all callers.
    Limits,
}

impl fmt::Display for DeclarationSection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Declaration => "declaration",
            Self::Route => "route",
            Self::Service => "service",
            Self::Workspace => "workspace",
            Self::Limits => "limits",
        })
    }
}

/// A place in a declaration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DeclarationPlace {
    /// Part of the declaration.
    pub section: DeclarationSection,
    /// Position in the list of routes, services or workspaces, from 1; `None` outside of lists.
    pub position: Option<usize>,
    /// Name of the route, service or workspace; empty outside of lists.
    pub name: String,
    /// The item, for example `timeout`; empty if the finding concerns all of it.
    pub item: String,
}

impl DeclarationPlace {
    /// A place outside of lists.
    pub fn of_section(section: DeclarationSection, item: &str) -> Self {
        Self {
            section,
            position: None,
            name: String::new(),
            item: item.to_owned(),
        }
    }

    fn listed(section: DeclarationSection, index: usize, name: &str, item: &str) -> Self {
        Self {
            section,
            position: Some(index + 1),
            name: name.to_owned(),
            item: item.to_owned(),
        }
    }

    /// An item of the route `rule` at `index`.
    pub fn of_route(index: usize, rule: &RouteRule, item: &str) -> Self {
        Self::listed(DeclarationSection::Route, index, &rule.name, item)
    }

    /// An item of the service `rule` at `index`.
    pub fn of_service(index: usize, rule: &ServiceRule, item: &str) -> Self {
        Self::listed(DeclarationSection::Service, index, &rule.name, item)
    }

    /// An item of the workspace `rule` at `index`.
    pub fn of_workspace(index: usize, rule: &WorkspaceRule, item: &str) -> Self {
        Self::listed(DeclarationSection::Workspace, index, &rule.name, item)
    }
}

impl fmt::Display for DeclarationPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.section)?;
        if let Some(position) = self.position {
            write!(f, " {position} ({})", self.name)?;
        }
        if !self.item.is_empty() {
            write!(f, ", {}", self.item)?;
        }
        Ok(())
    }
}
