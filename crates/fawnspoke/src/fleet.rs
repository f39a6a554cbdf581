//! `fawnspoke fleet`, and the tables in which `fawnspoke door` prints a fleet's members and duties.

use clap::Subcommand;
use fawnspoke_cluster::config::FleetConfig;
use fawnspoke_cluster::runtime::{self, Settings};
use fawnspoke_duty::duties::{Duties, DutySettings};
use fawnspoke_duty::max_failover_time;
use serde_json::Value;
use std::path::PathBuf;

#[derive(Subcommand)]
pub enum FleetCommand {
    /// Validate the fleet's configuration file for one member
    Check {
        /// The configuration file, in HCL
        file: PathBuf,
        /// The dispatcher's name
        name: String,
    },
    /// Bootstrap a fleet with this member as its first voter. Run once, at one member; the others join by themselves
    #[command(name = "found")]
    Bootstrap {
        /// The configuration file, in HCL
        file: PathBuf,
        /// The dispatcher's name
        name: String,
        /// The dispatcher's persistent state directory
        state_dir: PathBuf,
    },
}

/// Runs a fleet command and returns the line to print.
///
/// # Errors
/// One line that names the file, the key and the problem.
pub fn run(command: FleetCommand) -> Result<String, String> {
    match command {
        FleetCommand::Check { file, name } => FleetConfig::load(&file, &name).map(|config| {
            let (members, voters) = (config.member.len(), config.voters().count());
            let (follower_failover, leader_failover) =
                (max_failover_time(&config, false), max_failover_time(&config, true));
            format!(
                "{}: {}: {members} members, {voters} of them voters; the duties of a failed member fail over within \
                 {follower_failover:.2} s, within {leader_failover:.2} s if it was the leader",
                file.display(),
                config.cluster
            )
        }),
        FleetCommand::Bootstrap { file, name, state_dir } => FleetConfig::load(&file, &name).and_then(|config| {
            let duties = Duties::new(DutySettings::from_config(&config), 0);
            let identity = runtime::bootstrap(&Settings { config: config.clone(), name, state_dir }, &duties)?;
            Ok(format!("{} bootstrapped by {}, instance {:016x}", config.cluster, identity.name, identity.id))
        }),
    }
}

/// Formats a JSON value as a table cell.
fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

/// Formats the fleet's members as a table.
pub fn format_members(fleet: &Value) -> String {
    let header = format!(
        "{} of {}, instance {}, start {}; leader {}, term {}; log applied to {}, {} entries since its compaction\n",
        cell(&fleet["name"]),
        cell(&fleet["cluster"]),
        cell(&fleet["birth"]),
        cell(&fleet["life"]),
        fleet["leader"].as_str().unwrap_or("unknown"),
        cell(&fleet["term"]),
        cell(&fleet["applied"]),
        cell(&fleet["log"])
    );
    let rows = fleet["members"].as_array().into_iter().flatten().map(|member| {
        let label_if = |key: &str, label: &'static str| if member[key] == true { label } else { "" };
        format!(
            "{:<20} {}  {:<8} {:<6} {:<9} {}",
            cell(&member["name"]),
            cell(&member["birth"]),
            if member["voter"] == true { "voter" } else { "learner" },
            label_if("leads", "leader"),
            if member["linked"] == true { "connected" } else { "" },
            label_if("self", "this member")
        )
    });
    let rows: Vec<String> = rows.map(|row| row.trim_end().to_string()).collect();
    header + &rows.join("\n")
}

/// Formats the fleet's duties as a table, below the time left of this member's lease term.
pub fn format_duties(fleet: &Value) -> String {
    let state_machine = &fleet["part"];
    let lease_term =
        state_machine["term_left_s"].as_f64().map_or("this member has no lease term".into(), |left| {
            format!("{left:.2} s left of this member's lease term")
        });
    let rows = state_machine["duties"].as_array().into_iter().flatten().map(|duty| {
        format!(
            "{:<16} epoch {:<6} {:<20} requested by {:<4} {}",
            cell(&duty["name"]),
            cell(&duty["epoch"]),
            cell(&duty["holder"]),
            cell(&duty["wanted"]),
            cell(&duty["word"])
        )
    });
    let rows: Vec<String> = rows.map(|row| row.trim_end().to_string()).collect();
    format!("{lease_term}\n{}", rows.join("\n"))
}
