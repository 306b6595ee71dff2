//! Scenario language: customers, budgets, endpoints, faults and outcomes in sentences.
//!
//! A script declares records, starts a fleet in one process, and says what callers and operators
//! do; the output under each block has the outcomes. `docs/scenarios.md` lists the commands.

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
    invariant::{FleetEvidence, ToldCharge},
    scenario::{
        caller::{CallerOutcome, ScenarioCaller},
        fleet::{SHARDS, ScenarioFleet},
        gate::CRASH_WORD,
    },
};

mod caller;
mod fleet;
mod gate;
mod service;

/// Longest time until charges are committed or a revision is in force.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two looks at the rows.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs one script.
pub struct ScenarioRunner {
    runtime: Runtime,
    platform: MemoryPlatform,
    fleet: ScenarioFleet,
    caller: ScenarioCaller,
    seen: BTreeMap<String, Revision>,
    told: Vec<ToldCharge>,
    last: Option<RequestId>,
    lost: bool,
    revisions: BTreeMap<VmId, Vec<Revision>>,
}

impl ScenarioRunner {
    /// Builds a runner with an empty platform.
    ///
    /// # Errors
    ///
    /// When the runtime cannot be started.
    pub fn new() -> Result<Self> {
        let platform = MemoryPlatform::new();
        Ok(Self {
            runtime: Runtime::new()?,
            fleet: ScenarioFleet::new(platform.clone()),
            platform,
            caller: ScenarioCaller::default(),
            seen: BTreeMap::new(),
            told: Vec::new(),
            last: None,
            lost: false,
            revisions: BTreeMap::new(),
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
                self.fleet.lose_answer(positional(&mut args, "service")?)?;
                String::new()
            }
            "endpoint-down" | "endpoint-up" => {
                let gate = self.fleet.gate(positional(&mut args, "endpoint")?)?;
                gate.set_closed(command.name == "endpoint-down");
                String::new()
            }
            "silence" => {
                let gate = self.fleet.gate(positional(&mut args, "endpoint")?)?;
                gate.silence();
                String::new()
            }
            "crashes" => format!("the endpoints crashed {} times", self.fleet.crashes()),
            "operator" => self.operator(&mut args)?,
            "apply-again" => self.apply_again()?,
            "top-up" => self.top_up(&mut args)?,
            "in-force" => self.wait_in_force()?,
            "settle" => self.settle()?,
            "ledger" => self.ledger(&mut args)?,
            "explain" => self.explain()?,
            "runs" => {
                let service = positional(&mut args, "service")?;
                let runs = self.fleet.runs_of(service);
                format!("{service} ran {runs} orders")
            }
            "crash" => {
                let vm = positional(&mut args, "vm")?;
                self.fleet.crash(vm)?;
                format!("{vm} is gone without a word")
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
        let files = [DeclarationFile::new("scenario.toml", self.fleet.text())];
        let apply = self.control();
        self.runtime
            .block_on(apply.apply(&files, &ApplyOptions::default()))?;
        self.runtime.block_on(self.fleet.start(routers))?;
        self.wait_in_force()
    }

    fn ask(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let customer = positional(args, "customer")?.to_owned();
        let route = positional(args, "route")?.to_owned();
        let tokens = args.lookup_parse("tokens")?.unwrap_or(8);
        let words = args.lookup_parse("words")?.unwrap_or(2);
        let times = args.lookup_parse("times")?.unwrap_or(1);
        let crash = args.lookup("crash").is_some();
        let budget = args.lookup("budget");
        let vm = args.lookup("at");
        let mut lines = Vec::<(String, u32)>::new();
        for _ in 0..times {
            let address = self.fleet.address(vm.as_deref())?;
            let mut prompt = vec!["word"; words];
            prompt.extend(crash.then_some(CRASH_WORD));
            let prompt = prompt.join(" ");
            let ask = self.caller.ask(
                address,
                &customer,
                budget.as_deref(),
                &route,
                &prompt,
                tokens,
            );
            let outcome = self.runtime.block_on(ask);
            let line = self.note(&customer, budget.as_deref(), &outcome);
            match lines.last_mut() {
                Some((last, count)) if *last == line => *count += 1,
                _ => lines.push((line, 1)),
            }
        }
        let lines = lines.into_iter().map(|(line, count)| match count {
            1 => line,
            _ => format!("{count} times: {line}"),
        });
        Ok(lines.collect::<Vec<_>>().join("\n"))
    }

    fn order(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let customer = positional(args, "customer")?.to_owned();
        let route = positional(args, "route")?.to_owned();
        let key = args.lookup("key");
        let what = args.lookup("what").unwrap_or_else(|| "glass".into());
        let vm = args.lookup("at");
        let address = self.fleet.address(vm.as_deref())?;
        let order = self
            .caller
            .order(address, &customer, &route, key.as_deref(), &what);
        let outcome = self.runtime.block_on(order);
        Ok(self.note(&customer, None, &outcome))
    }

    /// Remembers what a caller was told and puts it in a sentence.
    fn note(&mut self, customer: &str, budget: Option<&str>, outcome: &CallerOutcome) -> String {
        let budget = budget.or_else(|| self.fleet.budget_of(customer));
        if let (Some(request), Some(budget)) = (&outcome.request, budget) {
            self.last = Some(request.clone());
            // A repeated answer of a claimed request names the first request and its charge.
            let known = self.told.iter().any(|told| told.request == *request);
            if !known {
                self.told.push(ToldCharge {
                    request: request.clone(),
                    budget: BudgetId::from(budget),
                    tokens: outcome.charged,
                });
            }
        }
        self.lost |= outcome.lost;
        format!("{customer}: {}", outcome.sentence)
    }

    fn fault(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let mut faults = self.platform.faults();
        for name in args.rest_pos() {
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

    /// An operator looks at the configuration, or changes a customer's weight on what was seen.
    fn operator(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let name = positional(args, "operator")?.to_owned();
        let control = self.control();
        if let Some(weight) = args.lookup_parse::<u32>("weight")? {
            let customer = args.lookup("customer").context("name customer=NAME")?;
            let text = self.fleet.customer_text(&customer, weight)?;
            let files = [DeclarationFile::new(format!("{name}.toml"), text)];
            let option = ApplyOptions {
                base: self.seen.get(&name).copied(),
                ..ApplyOptions::default()
            };
            return Ok(
                match self.runtime.block_on(control.apply(&files, &option)) {
                    Ok(report) => format!("{name}: {}", report.text.replace('\n', "; ")),
                    Err(error) => format!("{name}: refused, {error}"),
                },
            );
        }
        let diff = self
            .runtime
            .block_on(control.diff(&[], &ApplyOptions::default()))?;
        let revision = diff.json["revision"].as_u64().unwrap_or(0);
        self.seen.insert(name.clone(), revision);
        Ok(format!("{name} sees revision {revision}"))
    }

    fn apply_again(&mut self) -> Result<String> {
        let files = [DeclarationFile::new("scenario.toml", self.fleet.text())];
        let control = self.control();
        let report = self
            .runtime
            .block_on(control.apply(&files, &ApplyOptions::default()))?;
        Ok(report.text)
    }

    fn top_up(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let order = TopUpPayment {
            budget: positional(args, "budget")?.to_owned(),
            amount: positional(args, "amount")?.parse()?,
            id: args.lookup("id").context("name the payment with id=NAME")?,
        };
        let control = self.control();
        Ok(match self.runtime.block_on(control.top_up(&order)) {
            Ok(report) => report.text,
            Err(error) => format!("refused: {error}"),
        })
    }

    /// Waits until every router has the newest revision.
    fn wait_in_force(&mut self) -> Result<String> {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        let control = self.control();
        let option = ApplyOptions::default();
        loop {
            let diff = control.diff(&[], &option);
            let head = self.runtime.block_on(diff)?.json["revision"].as_u64();
            let states = self.runtime.block_on(self.fleet.revisions(&self.caller));
            for (vm, revision) in &states {
                if let Some(revision) = revision {
                    let seen = self.revisions.entry(vm.clone()).or_default();
                    seen.push(*revision);
                }
            }
            // A router that does not name its revision counts once it is ready.
            let behind =
                |(_, revision): &(VmId, Option<Revision>)| revision.is_some() && *revision != head;
            if self.fleet.is_ready() && !states.iter().any(behind) {
                let names: Vec<&str> = states.iter().map(|(vm, _)| vm.as_str()).collect();
                let revision = head.unwrap_or(0);
                return Ok(format!(
                    "revision {revision} is in force on {}",
                    names.join(", ")
                ));
            }
            ensure!(
                Instant::now() < deadline,
                "the revision is not in force everywhere"
            );
            std::thread::sleep(LOOK_INTERVAL);
        }
    }

    /// Waits until all charges that callers were told are committed.
    fn settle(&mut self) -> Result<String> {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        loop {
            let mut evidence = self
                .runtime
                .block_on(FleetEvidence::gather(&self.platform.ports()))?;
            evidence.told.clone_from(&self.told);
            let mut open = evidence.check_told();
            // A request whose caller got no answer may have been charged.
            open.retain(|violation| !self.lost || violation.is_missing_spend());
            if open.is_empty() {
                return Ok("all charges are committed".into());
            }
            if Instant::now() > deadline {
                let lines: Vec<String> = open.iter().map(ToString::to_string).collect();
                bail!("charges are not committed: {}", lines.join("; "));
            }
            std::thread::sleep(LOOK_INTERVAL);
        }
    }

    fn ledger(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let budget = positional(args, "budget")?.to_owned();
        self.settle()?;
        let control = self.control();
        let report = self.runtime.block_on(control.ledger(Some(&budget)))?;
        let sheet = &report.json["budgets"][&budget];
        let number = |field: &str| sheet[field].as_i64().unwrap_or(0);
        let (prepaid, spent) = (number("prepaid"), number("spent"));
        let unresolved = match number("unresolved") {
            0 => String::new(),
            tokens => format!(", {tokens} are unresolved"),
        };
        let sum = match number("difference") {
            0 => "the parts add up".to_owned(),
            tokens => format!("the parts differ by {tokens}"),
        };
        let left = prepaid - spent - number("unresolved");
        Ok(format!(
            "budget {budget}: {prepaid} tokens were paid in, {spent} are spent, {left} are left{unresolved}; {sum}"
        ))
    }

    fn explain(&mut self) -> Result<String> {
        let request = self.last.clone().context("no request was made")?;
        let control = self.control();
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        loop {
            let report = self.runtime.block_on(control.explain(&request))?;
            let committed = !report.text.contains("not committed yet");
            if (report.json["found"] == true && committed) || Instant::now() > deadline {
                let sentence = report.json["sentence"].as_str().unwrap_or_default();
                return Ok(sentence.replace(request.as_str(), "ID"));
            }
            std::thread::sleep(LOOK_INTERVAL);
        }
    }

    /// Heals all faults and checks the guarantees.
    fn check(&mut self) -> Result<String> {
        self.platform.set_faults(FaultPlan::default());
        self.settle()?;
        let ports = self.platform.ports();
        let mut evidence = self.runtime.block_on(FleetEvidence::gather(&ports))?;
        evidence.told.clone_from(&self.told);
        evidence.runs = self.fleet.runs();
        evidence.revisions.clone_from(&self.revisions);
        let violations: Vec<String> = evidence
            .violations()
            .iter()
            .map(ToString::to_string)
            .collect();
        ensure!(violations.is_empty(), "violated: {}", violations.join("; "));
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

fn positional<'a>(args: &mut ArgumentConsumer<'a>, what: &str) -> Result<&'a str> {
    args.next_pos().with_context(|| format!("name the {what}"))
}

/// Optional named arguments of a command.
trait NamedArguments {
    fn lookup(&mut self, key: &str) -> Option<String>;

    fn lookup_parse<T: std::str::FromStr>(&mut self, key: &str) -> Result<Option<T>>
    where
        T::Err: Error + Send + Sync + 'static;

    fn rest_pos(&mut self) -> Vec<String>;
}

impl NamedArguments for ArgumentConsumer<'_> {
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

    fn rest_pos(&mut self) -> Vec<String> {
        std::iter::from_fn(|| self.next_pos().map(str::to_owned)).collect()
    }
}
