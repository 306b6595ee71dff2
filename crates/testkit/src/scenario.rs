//! Scenario language for golden tests of a whole fleet.
//!
//! A script declares records, starts a fleet in one process, injects faults, and runs commands of
//! callers and operators; the expected output of each block describes the outcomes in sentences.
//! `docs/scenarios.md` lists the commands.

use std::{collections::BTreeMap, error::Error, time::Duration};

use {
    anyhow::{Context as _, Result, bail, ensure},
    goldenscript::{ArgumentConsumer, Command, Context, Runner},
    jasminewall_core::{BudgetId, RequestId, Revision, VmId},
    jasminewall_ctl::{ApplyOptions, ControlClient, DeclarationFile, TopUpPayment},
    jasminewall_ports::{FaultPlan, MemoryPlatform},
    tokio::{runtime::Runtime, time::Instant},
};

use crate::{
    invariant::{FleetEvidence, ReportedCharge},
    scenario::{
        caller::{CallerOutcome, ScenarioCaller},
        fleet::{SHARDS, ScenarioFleet},
        proxy::CRASH_WORD,
    },
};

mod caller;
mod fleet;
mod proxy;
mod service;

/// Time limit for charges to be committed or a revision to be in force.
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two polls of the rows or of the revisions in force.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs one script.
pub struct ScenarioRunner {
    runtime: Runtime,
    platform: MemoryPlatform,
    fleet: ScenarioFleet,
    caller: ScenarioCaller,
    /// Revision that each operator read last.
    read_revisions: BTreeMap<String, Revision>,
    reported: Vec<ReportedCharge>,
    last_request: Option<RequestId>,
    /// Whether a caller got no response, so that its request may have been charged.
    has_lost_response: bool,
    /// Revisions in force on each router, in the order of observation.
    observed_revisions: BTreeMap<VmId, Vec<Revision>>,
}

impl ScenarioRunner {
    /// Creates a runner with an empty platform.
    ///
    /// # Errors
    ///
    /// Fails when the runtime cannot be started.
    pub fn new() -> Result<Self> {
        let platform = MemoryPlatform::new();
        Ok(Self {
            runtime: Runtime::new()?,
            fleet: ScenarioFleet::new(platform.clone()),
            platform,
            caller: ScenarioCaller::default(),
            read_revisions: BTreeMap::new(),
            reported: Vec::new(),
            last_request: None,
            has_lost_response: false,
            observed_revisions: BTreeMap::new(),
        })
    }

    fn execute(&mut self, command: &Command) -> Result<String> {
        let mut args = command.consume_args();
        let output = match command.name.as_str() {
            "customer" | "budget" | "engine" | "service" | "route" => {
                self.runtime
                    .block_on(self.fleet.declare(&command.name, &mut args))?;
                String::new()
            }
            "fleet" => self.start(&mut args)?,
            "ask" => self.ask(&mut args)?,
            "order" => self.order(&mut args)?,
            "fault" => self.fault(&mut args)?,
            "heal" => {
                self.platform.set_faults(FaultPlan::default());
                String::new()
            }
            "lose-service-answer" => {
                self.fleet
                    .lose_response(positional(&mut args, "service")?)?;
                String::new()
            }
            "endpoint-down" | "endpoint-up" => {
                let proxy = self.fleet.proxy(positional(&mut args, "endpoint")?)?;
                proxy.set_closed(command.name == "endpoint-down");
                String::new()
            }
            "silence" => {
                let proxy = self.fleet.proxy(positional(&mut args, "endpoint")?)?;
                proxy.stall();
                String::new()
            }
            "crashes" => format!("the endpoints crashed {} times", self.fleet.crash_count()),
            "operator" => self.operator(&mut args)?,
            "apply-again" => self.apply_again()?,
            "top-up" => self.top_up(&mut args)?,
            "in-force" => self.wait_in_force()?,
            "settle" => self.wait_committed()?,
            "ledger" => self.ledger(&mut args)?,
            "explain" => self.explain()?,
            "runs" => {
                let service = positional(&mut args, "service")?;
                let runs = self.fleet.run_count(service);
                format!("{service} ran {runs} orders")
            }
            "crash" => {
                let vm = positional(&mut args, "vm")?;
                self.fleet.crash(vm)?;
                format!("{vm} crashed")
            }
            "stop" => {
                let vm = positional(&mut args, "vm")?.to_owned();
                self.runtime.block_on(self.fleet.stop(&vm))?;
                format!("{vm} stopped as planned")
            }
            "restart" => {
                let vm = positional(&mut args, "vm")?.to_owned();
                self.runtime.block_on(self.fleet.restart(&vm))?;
                format!("{vm} serves again")
            }
            "wait" => {
                let millis = args.lookup_parse::<u64>("ms")?.context("wait needs ms=N")?;
                std::thread::sleep(Duration::from_millis(millis));
                String::new()
            }
            "check" => self.check()?,
            other => bail!("unknown command '{other}'; see docs/scenarios.md"),
        };
        args.reject_next()
            .map_err(|error| anyhow::anyhow!("{error}"))?;
        Ok(output)
    }

    fn control(&self) -> ControlClient {
        ControlClient::new(self.platform.ports(), SHARDS)
    }

    fn start(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let routers = args.lookup_parse("routers")?.unwrap_or(2);
        let files = [DeclarationFile::new(
            "scenario.toml",
            self.fleet.declarations(),
        )];
        let control = self.control();
        self.runtime
            .block_on(control.apply(&files, &ApplyOptions::default()))?;
        self.runtime.block_on(self.fleet.start(routers))?;
        self.wait_in_force()
    }

    fn ask(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let customer = positional(args, "customer")?.to_owned();
        let route = positional(args, "route")?.to_owned();
        let tokens = args.lookup_parse("tokens")?.unwrap_or(8);
        let words = args.lookup_parse("words")?.unwrap_or(2);
        let count = args.lookup_parse("times")?.unwrap_or(1);
        let crash = args.lookup("crash").is_some();
        let budget = args.lookup("budget");
        let vm = args.lookup("at");
        let mut lines = Vec::<(String, u32)>::new();
        for _ in 0..count {
            let address = self.fleet.address(vm.as_deref())?;
            let mut prompt = vec!["word"; words];
            prompt.extend(crash.then_some(CRASH_WORD));
            let prompt = prompt.join(" ");
            let send = self.caller.complete(
                address,
                &customer,
                budget.as_deref(),
                &route,
                &prompt,
                tokens,
            );
            let outcome = self.runtime.block_on(send);
            let line = self.record_outcome(&customer, budget.as_deref(), &outcome);
            match lines.last_mut() {
                Some((last, repeats)) if *last == line => *repeats += 1,
                _ => lines.push((line, 1)),
            }
        }
        let lines = lines.into_iter().map(|(line, repeats)| match repeats {
            1 => line,
            _ => format!("{repeats} times: {line}"),
        });
        Ok(lines.collect::<Vec<_>>().join("\n"))
    }

    fn order(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let customer = positional(args, "customer")?.to_owned();
        let route = positional(args, "route")?.to_owned();
        let key = args.lookup("key");
        let item = args.lookup("what").unwrap_or_else(|| "glass".into());
        let vm = args.lookup("at");
        let address = self.fleet.address(vm.as_deref())?;
        let send = self
            .caller
            .order(address, &customer, &route, key.as_deref(), &item);
        let outcome = self.runtime.block_on(send);
        Ok(self.record_outcome(&customer, None, &outcome))
    }

    /// Records the charge that was reported to a caller and formats the outcome as a sentence.
    fn record_outcome(
        &mut self,
        customer: &str,
        budget: Option<&str>,
        outcome: &CallerOutcome,
    ) -> String {
        let budget = budget.or_else(|| self.fleet.first_budget(customer));
        if let (Some(request), Some(budget)) = (&outcome.request, budget) {
            self.last_request = Some(request.clone());
            // The replayed response to a repeated idempotency key names the first request and its
            // charge.
            let is_recorded = self
                .reported
                .iter()
                .any(|charge| charge.request == *request);
            if !is_recorded {
                self.reported.push(ReportedCharge {
                    request: request.clone(),
                    budget: BudgetId::from(budget),
                    tokens: outcome.charged,
                });
            }
        }
        self.has_lost_response |= outcome.is_lost;
        format!("{customer}: {}", outcome.sentence)
    }

    fn fault(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let mut faults = self.platform.faults();
        for name in args.rest_positional() {
            match name.as_str() {
                "table-down" => faults.table_down = true,
                "object-store-down" => faults.object_down = true,
                "vm-list-down" => faults.vms_down = true,
                other => bail!("unknown fault '{other}'"),
            }
        }
        faults.lose_answers += args.lookup_parse("lose-table-answers")?.unwrap_or(0);
        faults.lose_read_answers += args.lookup_parse("lose-read-answers")?.unwrap_or(0);
        faults.lose_object_answers += args.lookup_parse("lose-object-answers")?.unwrap_or(0);
        faults.delay_ms += args.lookup_parse("delay-ms")?.unwrap_or(0);
        faults.partitioned.extend(args.lookup("partition"));
        self.platform.set_faults(faults);
        Ok(String::new())
    }

    /// Runs an operator command: reads the configuration, or changes the weight of a customer based
    /// on the revision that this operator read last.
    fn operator(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let name = positional(args, "operator")?.to_owned();
        let control = self.control();
        if let Some(weight) = args.lookup_parse::<u32>("weight")? {
            let customer = args
                .lookup("customer")
                .context("weight=N needs customer=NAME")?;
            let text = self.fleet.customer_declaration(&customer, weight)?;
            let files = [DeclarationFile::new(format!("{name}.toml"), text)];
            let options = ApplyOptions {
                base: self.read_revisions.get(&name).copied(),
                ..ApplyOptions::default()
            };
            return Ok(
                match self.runtime.block_on(control.apply(&files, &options)) {
                    Ok(report) => format!("{name}: {}", report.text.replace('\n', "; ")),
                    Err(error) => format!("{name}: refused, {error}"),
                },
            );
        }
        let diff = self
            .runtime
            .block_on(control.diff(&[], &ApplyOptions::default()))?;
        let revision = diff.json["revision"].as_u64().unwrap_or(0);
        self.read_revisions.insert(name.clone(), revision);
        Ok(format!("{name} sees revision {revision}"))
    }

    fn apply_again(&mut self) -> Result<String> {
        let files = [DeclarationFile::new(
            "scenario.toml",
            self.fleet.declarations(),
        )];
        let control = self.control();
        let report = self
            .runtime
            .block_on(control.apply(&files, &ApplyOptions::default()))?;
        Ok(report.text)
    }

    fn top_up(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let payment = TopUpPayment {
            budget: positional(args, "budget")?.to_owned(),
            amount: positional(args, "amount")?.parse()?,
            id: args.lookup("id").context("top-up needs id=NAME")?,
        };
        let control = self.control();
        Ok(match self.runtime.block_on(control.top_up(&payment)) {
            Ok(report) => report.text,
            Err(error) => format!("refused: {error}"),
        })
    }

    /// Waits until the newest revision is in force on every router.
    fn wait_in_force(&mut self) -> Result<String> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let control = self.control();
        let options = ApplyOptions::default();
        loop {
            let diff = control.diff(&[], &options);
            let head = self.runtime.block_on(diff)?.json["revision"].as_u64();
            let in_force = self.runtime.block_on(self.fleet.revisions(&self.caller));
            for (vm, revision) in &in_force {
                if let Some(revision) = revision {
                    let observed = self.observed_revisions.entry(vm.clone()).or_default();
                    observed.push(*revision);
                }
            }
            // A router that does not report its revision only needs to be ready.
            let is_outdated =
                |(_, revision): &(VmId, Option<Revision>)| revision.is_some() && *revision != head;
            if self.fleet.is_ready() && !in_force.iter().any(is_outdated) {
                let names: Vec<&str> = in_force.iter().map(|(vm, _)| vm.as_str()).collect();
                let revision = head.unwrap_or(0);
                return Ok(format!(
                    "revision {revision} is in force on {}",
                    names.join(", ")
                ));
            }
            ensure!(
                Instant::now() < deadline,
                "the newest revision is not in force on all routers in time"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until all charges that were reported to callers are committed.
    fn wait_committed(&mut self) -> Result<String> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let mut evidence = self
                .runtime
                .block_on(FleetEvidence::gather(&self.platform.ports()))?;
            evidence.reported.clone_from(&self.reported);
            let mut mismatches = evidence.check_reported();
            // A request whose caller got no response may have been charged.
            mismatches.retain(|violation| !self.has_lost_response || violation.is_missing_spend());
            if mismatches.is_empty() {
                return Ok("all charges are committed".into());
            }
            if Instant::now() > deadline {
                let lines: Vec<String> = mismatches.iter().map(ToString::to_string).collect();
                bail!("charges are not committed in time: {}", lines.join("; "));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn ledger(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let budget = positional(args, "budget")?.to_owned();
        self.wait_committed()?;
        let control = self.control();
        let report = self.runtime.block_on(control.ledger(Some(&budget)))?;
        let budget_report = &report.json["budgets"][&budget];
        let amount = |field: &str| budget_report[field].as_i64().unwrap_or(0);
        let (prepaid, spent) = (amount("prepaid"), amount("spent"));
        let unresolved = match amount("unresolved") {
            0 => String::new(),
            tokens => format!(", {tokens} are unresolved"),
        };
        let sum = match amount("difference") {
            0 => "the parts add up".to_owned(),
            tokens => format!("the parts differ by {tokens}"),
        };
        let left = prepaid - spent - amount("unresolved");
        Ok(format!(
            "budget {budget}: {prepaid} tokens were paid in, {spent} are spent, {left} are left{unresolved}; {sum}"
        ))
    }

    fn explain(&mut self) -> Result<String> {
        let request = self.last_request.clone().context("no request was made")?;
        let control = self.control();
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let report = self.runtime.block_on(control.explain(&request))?;
            let committed = !report.text.contains("not committed yet");
            if (report.json["found"] == true && committed) || Instant::now() > deadline {
                let sentence = report.json["sentence"].as_str().unwrap_or_default();
                return Ok(sentence.replace(request.as_str(), "ID"));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Clears all faults, waits for the charges to be committed, and checks the guarantees.
    fn check(&mut self) -> Result<String> {
        self.platform.set_faults(FaultPlan::default());
        self.wait_committed()?;
        let ports = self.platform.ports();
        let mut evidence = self.runtime.block_on(FleetEvidence::gather(&ports))?;
        evidence.reported.clone_from(&self.reported);
        evidence.runs = self.fleet.runs();
        evidence.revisions.clone_from(&self.observed_revisions);
        let violations: Vec<String> = evidence
            .violations()
            .iter()
            .map(ToString::to_string)
            .collect();
        ensure!(
            violations.is_empty(),
            "guarantees are violated: {}",
            violations.join("; ")
        );
        Ok("all guarantees hold".into())
    }
}

impl Runner for ScenarioRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _context: &Context) -> Result<String, Box<dyn Error>> {
        self.execute(command)
            .map_err(|error| format!("{error:#}").into())
    }

    fn end_script(&mut self) -> Result<(), Box<dyn Error>> {
        self.check().map_err(|error| format!("{error:#}"))?;
        Ok(())
    }
}

/// Takes the next positional argument; `what` names it in the error.
fn positional<'a>(args: &mut ArgumentConsumer<'a>, what: &str) -> Result<&'a str> {
    args.next_pos()
        .with_context(|| format!("the argument '{what}' is missing"))
}

/// Access to the optional arguments of a command.
trait OptionalArguments {
    fn lookup(&mut self, key: &str) -> Option<String>;

    fn lookup_parse<T: std::str::FromStr>(&mut self, key: &str) -> Result<Option<T>>
    where
        T::Err: Error + Send + Sync + 'static;

    fn rest_positional(&mut self) -> Vec<String>;
}

impl OptionalArguments for ArgumentConsumer<'_> {
    fn lookup(&mut self, key: &str) -> Option<String> {
        self.take_key(key).map(str::to_owned)
    }

    fn lookup_parse<T: std::str::FromStr>(&mut self, key: &str) -> Result<Option<T>>
    where
        T::Err: Error + Send + Sync + 'static,
    {
        let value = self.lookup(key);
        let value = value.map(|value| value.parse::<T>().with_context(|| format!("{key}={value}")));
        value.transpose()
    }

    fn rest_positional(&mut self) -> Vec<String> {
        std::iter::from_fn(|| self.next_pos().map(str::to_owned)).collect()
    }
}
