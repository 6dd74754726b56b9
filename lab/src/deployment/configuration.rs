//! A copy's configuration, as an operator would write it.

use crate::experiment::{DescribedCopy, Experiment, Group, Repeats};
use crate::network::datagrams::Post;
use std::net::SocketAddr;
use std::time::Duration;

/// A copy's configuration, as an operator would write it.
pub(super) fn configuration(
    experiment: &Experiment,
    all: &[DescribedCopy],
    copy: &DescribedCopy,
    [clients, door, discovery]: [SocketAddr; 3],
) -> toml::Table {
    let micros = |time: Duration| format!("{}us", time.as_micros());
    let zones: Vec<&str> = experiment.zone.iter().map(|zone| zone.name.as_str()).collect();
    let kind = experiment.kind.values().find(|kind| kind.tier == copy.tier);
    let beside = all.iter().filter(|other| other.tier == copy.tier).count();
    let classes = experiment.class.iter().map(|class| {
        let mut table = toml::toml! { name = "" };
        let (repeats, group) = match (class.repeats, class.group) {
            (Repeats::Safe, _) => ("safe", "all"),
            (Repeats::Keyed, Group::All) => ("keyed", "all"),
            (Repeats::Keyed, Group::Zone) => ("keyed", "zone"),
            (Repeats::Keyed, Group::Cell) => ("keyed", "cell"),
            (Repeats::Never, _) => ("never", "all"),
        };
        table.insert("name".into(), class.name.clone().into());
        table.insert("repeats".into(), repeats.into());
        table.insert("group".into(), group.into());
        table.insert("window".into(), micros(class.window).into());
        table.insert("wanted".into(), micros(class.wanted).into());
        table.insert("deadline".into(), micros(class.deadline).into());
        table.insert("worth".into(), class.worth.into());
        toml::Value::Table(table)
    });
    let classes: Vec<toml::Value> = classes.collect();
    let (cold, warm, fall, after) = kind.map_or((0.25, 5, 4.0, 3), |kind| {
        (
            kind.cold_share,
            kind.warm_within.as_secs().max(1),
            kind.fall_multiple,
            kind.fall_after.as_secs().max(1),
        )
    });
    let mut table = toml::toml! {
        [discovery]
        mode = "watch"
        [limits]
        second_copies = true
        max_attempts = 4
        [rules]
        drain_grace = "500ms"
    };
    let put = |table: &mut toml::Table, section: &str, key: &str, value: toml::Value| {
        let section = table.entry(section).or_insert_with(|| toml::Table::new().into());
        if let Some(section) = section.as_table_mut() {
            section.insert(key.to_owned(), value);
        }
    };
    put(&mut table, "listen", "clients", clients.to_string().into());
    put(&mut table, "listen", "operators", door.to_string().into());
    put(&mut table, "discovery", "address", discovery.to_string().into());
    put(&mut table, "place", "zone", zones[copy.zone].into());
    put(&mut table, "place", "zones", zones.into_iter().map(toml::Value::from).collect::<Vec<_>>().into());
    put(&mut table, "place", "balancers", (beside as i64).into());
    put(&mut table, "place", "number", (copy.number as i64).into());
    put(&mut table, "place", "tier", (copy.tier as i64).into());
    put(&mut table, "place", "tiers", (experiment.tiers().len() as i64).into());
    put(&mut table, "rules", "cold_share", cold.into());
    put(&mut table, "rules", "warm_within", format!("{warm}s").into());
    put(&mut table, "rules", "fall_multiple", fall.into());
    put(&mut table, "rules", "fall_after", format!("{after}s").into());
    table.insert("name".to_owned(), copy.name.clone().into());
    table.insert("class".to_owned(), classes.into());
    let tenants = experiment.tenant.iter().map(|tenant| {
        let mut table = toml::Table::new();
        table.insert("name".into(), tenant.name.clone().into());
        table.insert("allowance_per_s".into(), tenant.allowance_per_s.into());
        toml::Value::Table(table)
    });
    if !experiment.tenant.is_empty() {
        table.insert("tenant".to_owned(), tenants.collect::<Vec<_>>().into());
    }
    table
}

/// Copies that each begins with.
const SEEDS: usize = 3;

/// Makes a copy one of the fleet of its tier, where there is one: it listens at an address of its own, and others know
/// it by one of the lab's.
pub(super) fn join(
    table: &mut toml::Table,
    all: &[DescribedCopy],
    copy: &DescribedCopy,
    posts: &[Post],
    number: usize,
) {
    let Some(post) = posts.get(number) else { return };
    let others = all
        .iter()
        .zip(posts)
        .filter(|(other, post)| other.tier == copy.tier && post.own != posts[number].own);
    let seeds: Vec<toml::Value> =
        others.take(SEEDS).map(|(_, post)| post.known.to_string().into()).collect();
    let mut fleet = toml::Table::new();
    fleet.insert("cluster".into(), format!("lab-{}", copy.tier).into());
    fleet.insert("listen".into(), post.own.to_string().into());
    fleet.insert("address".into(), post.known.to_string().into());
    fleet.insert("seeds".into(), seeds.into());
    table.insert("fleet".into(), fleet.into());
}

/// A configuration with an experiment's own sections over it.
pub(super) fn laid_over(mut table: toml::Table, over: &toml::Table) -> toml::Table {
    for (section, given) in over {
        match (given, table.get_mut(section)) {
            (toml::Value::Table(given), Some(toml::Value::Table(section))) => section.extend(given.clone()),
            _ => drop(table.insert(section.clone(), given.clone())),
        }
    }
    table
}
