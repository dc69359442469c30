use conf::{Document, Route, id};
use fault::{ErrorKind, Fault};
use http::{Method, Uri};

/// Finds the service and route of a request: the longest path prefix that matches, and among equals one
/// that names the method.
///
/// # Errors
///
/// Returns [`ErrorKind::NoRoute`] if no route matches.
pub(crate) fn classify(
    document: &Document,
    method: &Method,
    uri: &Uri,
) -> Result<(id::Service, Route), Fault> {
    let routes = document
        .services
        .iter()
        .flat_map(|(name, service)| service.routes.iter().map(move |r| (name, r)));
    routes
        .filter(|(_, route)| matches(route, method, uri.path()))
        .max_by_key(|(_, route)| (route.path.len(), route.method.is_some()))
        .map(|(name, route)| (name.clone(), route.clone()))
        .ok_or_else(|| ErrorKind::NoRoute.into())
}

/// Returns whether a route matches; a prefix ends at a segment of the path.
fn matches(route: &Route, method: &Method, path: &str) -> bool {
    let method_fits = route
        .method
        .as_ref()
        .is_none_or(|m| m.as_str() == method.as_str());
    let rest = path.strip_prefix(route.path.trim_end_matches('/'));
    method_fits && rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
}
