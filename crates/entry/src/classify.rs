use conf::{Document, Route, id};
use fault::{ErrorKind, Fault};
use http::{Method, Uri};

/// Returns the service and route of a request: the route with the longest matching path prefix, and
/// among equally long ones a route that names the method.
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

/// Returns whether a route matches; its path prefix must end at a segment boundary.
fn matches(route: &Route, method: &Method, path: &str) -> bool {
    let method_matches = route
        .method
        .as_ref()
        .is_none_or(|m| m.as_str() == method.as_str());
    let rest = path.strip_prefix(route.path.trim_end_matches('/'));
    method_matches && rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
}
