//! `fawnspoke fleet` and what `fawnspoke door` shows of a fleet.

use clap::Subcommand;
use fawnspoke_cluster::config::FleetConfig;
use fawnspoke_cluster::runtime::{self, Settings};
use fawnspoke_duty::duties::{Duties, Settings as DutySettings};
use fawnspoke_duty::max_failover_time;
use serde_json::Value;
use std::path::PathBuf;

#[derive(Subcommand)]
pub enum Fleet {
    /// Read the fleet's file for one member and say what is wrong with it
    Check {
        /// The file, in HCL
        file: PathBuf,
        /// The dispatcher's name
        name: String,
    },
    /// Found a fleet: this member becomes its first voter. Once, at one member; the others join by themselves
    Found {
        /// The file, in HCL
        file: PathBuf,
        /// The dispatcher's name
        name: String,
        /// Its folder that lasts
        state: PathBuf,
    },
}

/// What is to be said of it.
///
/// # Errors
/// One line that names the file, the key and what is wrong.
pub fn run(asked: Fleet) -> Result<String, String> {
    match asked {
        Fleet::Check { file, name } => FleetConfig::load(&file, &name).map(|read| {
            let (members, voters) = (read.member.len(), read.voters().count());
            let (follows, led) = (max_failover_time(&read, false), max_failover_time(&read, true));
            format!(
                "{}: {}: {members} members, {voters} of them vote; what a member holds that is gone is another's after \
                 {follows:.2} s, and {led:.2} s where it led",
                file.display(),
                read.cluster
            )
        }),
        Fleet::Found { file, name, state } => FleetConfig::load(&file, &name).and_then(|read| {
            let part = Duties::new(DutySettings::from_file(&read), 0);
            let identity = runtime::bootstrap(&Settings { config: read.clone(), name, state_dir: state }, &part)?;
            Ok(format!("{} is founded by {}, birth {:016x}", read.cluster, identity.name, identity.id))
        }),
    }
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

/// The members as a table for people.
pub fn members(fleet: &Value) -> String {
    let head = format!(
        "{} of {}, birth {}, life {}; {} leads, term {}; log applied to {}, {} entries since it was cut\n",
        text(&fleet["name"]),
        text(&fleet["cluster"]),
        text(&fleet["birth"]),
        text(&fleet["life"]),
        fleet["leader"].as_str().unwrap_or("nobody known"),
        text(&fleet["term"]),
        text(&fleet["applied"]),
        text(&fleet["log"])
    );
    let rows = fleet["members"].as_array().into_iter().flatten().map(|member| {
        let yes = |key: &str, word: &'static str| if member[key] == true { word } else { "" };
        format!(
            "{:<20} {}  {:<8} {:<6} {:<6} {}",
            text(&member["name"]),
            text(&member["birth"]),
            if member["voter"] == true { "votes" } else { "follows" },
            yes("leads", "leads"),
            if member["linked"] == true { "linked" } else { "" },
            yes("self", "this one")
        )
    });
    let rows: Vec<String> = rows.map(|row| row.trim_end().to_string()).collect();
    head + &rows.join("\n")
}

/// The duties as a table for people.
pub fn duties(fleet: &Value) -> String {
    let part = &fleet["part"];
    let left =
        part["term_left_s"].as_f64().map_or("no term here".into(), |left| format!("{left:.2} s left here"));
    let rows = part["duties"].as_array().into_iter().flatten().map(|duty| {
        format!(
            "{:<16} epoch {:<6} {:<20} wanted by {:<4} {}",
            text(&duty["name"]),
            text(&duty["epoch"]),
            text(&duty["holder"]),
            text(&duty["wanted"]),
            text(&duty["word"])
        )
    });
    let rows: Vec<String> = rows.map(|row| row.trim_end().to_string()).collect();
    format!("{left}\n{}", rows.join("\n"))
}
