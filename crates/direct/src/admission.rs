use std::{sync::Arc, time::Duration};

use conf::id;
use fault::{ErrorKind, Fault};
use fleet::{Configuration, Route};
use http::{header, request};
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{
    call::{Context, millis},
    metadata,
};

/// Time by which the entry stops before the client's deadline, so that its response is in time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(30);
/// Time by which the entry stops before the client of a stream without an event disconnects, so that
/// its response is in time.
const FIRST_EVENT_MARGIN: Duration = Duration::from_millis(100);
/// `Retry-After` time of an entry that has no configuration yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Time by which the timeout of a request is shorter than that of its route if the client has been
/// refused before; refusals state a longer retry time.
const MIN_RETURN_TIME: Duration = Duration::from_millis(300);

/// What follows from the head of a request and the configuration in force.
#[derive(Clone, Debug)]
pub(crate) struct Admission {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: id::Service,
    pub(crate) team: Option<id::Team>,
    /// Level of the request's rank, from 0 (highest).
    pub(crate) level: u8,
    /// Number of levels of the service.
    pub(crate) levels: u8,
    /// Whether the client sends the request again after a refusal.
    pub(crate) returning: bool,
    pub(crate) deadline: Instant,
    /// Time by which the response must have started; for streams, shortly before the client disconnects.
    pub(crate) start_by: Instant,
}

impl Admission {
    /// Determines route, team, priority and deadline of a request.
    ///
    /// # Errors
    ///
    /// Returns the fault of a request that cannot be served whatever its body is.
    pub(crate) fn check(
        context: &Context,
        request: &metadata::Request,
        head: &request::Parts,
        arrived: Instant,
    ) -> Result<Self, Fault> {
        let configuration = configuration(context)?;
        let route = configuration
            .route(&host(head), head.uri.path())
            .cloned()
            .ok_or_else(|| {
                Fault::new(ErrorKind::NoRoute).detail(format!("version {}", configuration.version))
            })?;
        let team = match &request.key {
            _ if route.public || !configuration.keys_required => None,
            Some(key) => configuration.teams.get(key),
            None => None,
        };
        if team.is_none() && configuration.keys_required && !route.public {
            let detail = format!("version {}", configuration.version);
            return Err(Fault::new(ErrorKind::Unauthenticated).detail(detail));
        }
        let timeout = request.timeout.unwrap_or(route.timeout).min(route.timeout);
        let returning = route.timeout.saturating_sub(timeout) >= MIN_RETURN_TIME;
        let deadline = arrived + timeout.saturating_sub(DEADLINE_MARGIN);
        let first_event_by = route
            .event_timeout
            .map(|timeout| arrived + timeout.saturating_sub(FIRST_EVENT_MARGIN));
        check_grace(context, &route, deadline)?;
        let service = choose_service(&route, &request.id);
        let team_priority = team.and_then(|t| t.priority);
        let (level, levels) = context.with_balancer(|balancer| {
            let ranks = balancer.ranks(&configuration);
            let level = ranks.level(&service, team_priority, route.priority);
            (level, ranks.levels(&service))
        });
        Ok(Self {
            service,
            team: team.map(|t| t.name.clone()),
            level,
            levels,
            returning,
            deadline,
            start_by: first_event_by.map_or(deadline, |by| by.min(deadline)),
            route,
            configuration,
        })
    }

    /// Returns whether another configuration is in force by now.
    pub(crate) fn is_outdated(&self, context: &Context) -> bool {
        let view = context.view.borrow();
        let current = view.configuration.as_ref();
        current.is_none_or(|current| !Arc::ptr_eq(current, &self.configuration))
    }

    /// Checks that the service has an endpoint.
    ///
    /// # Errors
    ///
    /// Returns a fault if no endpoint of the service may get new work.
    pub(crate) fn check_endpoints(&self, context: &Context) -> Result<(), Fault> {
        let now = Instant::now();
        let view = context.view.borrow().clone();
        if view.available(&self.service, now).next().is_some() {
            return Ok(());
        }
        let time_left = self.deadline.saturating_duration_since(now);
        Err(context
            .with_balancer(|balancer| balancer.fail_unavailable(ErrorKind::NoEndpoint, time_left)))
    }
}

/// Returns a fault if the process shuts down and may exit before a request with this deadline is complete.
fn check_grace(context: &Context, route: &Route, deadline: Instant) -> Result<(), Fault> {
    if !context.shutdown.is_draining() {
        return Ok(());
    }
    let now = Instant::now();
    let end = context.grace.start(now);
    let usual = context.with_balancer(|balancer| balancer.usual_duration(&route.name));
    if context.grace.admits(deadline, usual, now) {
        return Ok(());
    }
    let detail = format!(
        "exits in {} ms, the request may run for {} ms, usually {} ms",
        millis(end.saturating_duration_since(now)),
        millis(deadline.saturating_duration_since(now)),
        usual.map_or(0, millis)
    );
    Err(Fault::new(ErrorKind::ShuttingDown).detail(detail))
}

fn configuration(context: &Context) -> Result<Arc<Configuration>, Fault> {
    let view = context.view.borrow();
    view.configuration
        .clone()
        .ok_or_else(|| Fault::new(ErrorKind::NotReady).retry_after(NOT_READY_RETRY_AFTER))
}

/// Returns the host to which a request is addressed, without the port.
fn host(head: &request::Parts) -> SmolStr {
    let named = head
        .headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok());
    let host = named.or_else(|| head.uri.host()).unwrap_or_default();
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name.into(),
        _ => host.into(),
    }
}

/// Chooses a service of a route by weight; the choice depends on the request id alone.
fn choose_service(route: &Route, id: &str) -> id::Service {
    let total: u64 = route.split.iter().map(|s| u64::from(s.weight)).sum();
    let mut point = xxhash_rust::xxh3::xxh3_64(id.as_bytes()) % total.max(1);
    for split in &route.split {
        let weight = u64::from(split.weight);
        if point < weight {
            return split.service.clone();
        }
        point -= weight;
    }
    route
        .split
        .last()
        .map(|s| s.service.clone())
        .unwrap_or_default()
}
