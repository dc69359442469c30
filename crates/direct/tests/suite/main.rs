//! Tests of the entry that sends requests directly to endpoints.

mod balancer_choice;
mod cold_rate;
mod cold_restarts;
mod crash_suspects;
mod demand_rationing;
mod early_refusal;
mod end_to_end;
mod endpoint_limits;
mod endpoint_notices;
mod event_split;
mod fleet_retries;
mod group_stalls;
mod health_ejection;
mod late_admission;
mod load_reports;
mod news_age;
mod part_evidence;
mod pass_gaps;
mod prompt_parts;
mod rank_refusal;
mod retry_budget;
mod settings_errors;
mod support;
mod view_changes;
mod zone_choice;
