//! Tests of an entry that sends directly to endpoints.

mod cold_rate;
mod crash_suspects;
mod desk_choice;
mod event_split;
mod group_stalls;
mod health_pauses;
mod load_reports;
mod retry_budget;
mod settings_errors;
mod support;
mod whole_path;
