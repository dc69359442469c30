//! Tests of the real entries, agents and `apricot-ctl` over fake back ends and a fake platform.

mod at_most_once;
mod cold_start_burst;
mod command_line;
mod complete_responses;
mod config_propagation;
mod end_to_end;
mod graceful_shutdown;
mod limits;
mod log_secrets;
mod map_switches;
mod metrics_page;
mod refused_requests;
mod silent_connection;
mod timeline;
mod zone_removal;
