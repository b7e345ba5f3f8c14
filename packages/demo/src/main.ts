import process from 'node:process';

import type { LatencyHistogram } from '@apricothoist/common';
import type { ConfigurationBuilder } from '@apricothoist/config';
import { parseConfiguration } from '@apricothoist/config';
import { listarama, tallinn } from '@apricothoist/examples';

import type { EntryInstance } from './Deployment.js';
import { Deployment } from './Deployment.js';
import { LoadGenerator } from './LoadGenerator.js';

/** Parameters of the demo for one example. */
interface Scenario {
  readonly builder: ConfigurationBuilder;
  readonly service: string;
  readonly account: string;
  readonly dataCentres: readonly string[];
  readonly borrowerJob: string;
  readonly guaranteedJob: string;
}

const scenarios: Readonly<Record<string, Scenario>> = {
  tallinn: {
    builder: tallinn,
    service: 'odour-report',
    account: 'hotline',
    dataCentres: ['kesklinn', 'lasnamae'],
    borrowerJob: 'study',
    guaranteedJob: 'matching',
  },
  listarama: {
    builder: listarama,
    service: 'list-builder',
    account: 'ferreteria-cordillera',
    dataCentres: ['cr-central-a', 'cr-central-b'],
    borrowerJob: 'catalogue',
    guaranteedJob: 'photo-estimate',
  },
};

const requestCount = 400;
const requestConcurrency = 40;
const jobRunMs = 4_000;

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function runDemo(name: string, scenario: Scenario): Promise<void> {
  const text = scenario.builder.print();
  const configuration = parseConfiguration(text, name)._unsafeUnwrap();
  await using deployment = new Deployment(configuration, {
    dataCentres: scenario.dataCentres,
    instancesPerDataCentre: 2,
    endpointsPerDataCentre: 5,
    serviceMs: 20,
    runMs: jobRunMs,
    balancerLagMs: 500,
  });
  printLine(`# ${name}\n`);
  printLine('## Start');
  await deployment.start();
  const [first, second] = deployment.instances;
  if (first === undefined || second === undefined) {
    throw new Error('the demo needs two instances');
  }
  printLine(`${deployment.instances.length} instances in ${scenario.dataCentres.join(' and ')}\n`);
  await showConfiguration(deployment, first, text);
  await showRequests(deployment, scenario);
  await showJobs(deployment, first, second, scenario);
  await showConfigurationChange(deployment, scenario);
  await showGracefulShutdown(deployment, scenario);
}

async function showConfiguration(
  deployment: Deployment,
  instance: EntryInstance,
  text: string,
): Promise<void> {
  printLine('## Configuration');
  const file = await deployment.writeTemporaryFile('configuration.ini', text);
  await runOrThrow(deployment, instance, 'check', file);
  await runOrThrow(deployment, instance, 'apply', file, '--expect', '0', '--reason', 'initial');
  const elapsedMs = await waitForRevision(deployment, 1);
  printLine(`revision 1 in force at all instances after ${elapsedMs.toFixed(0)} ms\n`);
}

async function showRequests(deployment: Deployment, scenario: Scenario): Promise<void> {
  printLine('## Requests');
  const load = new LoadGenerator(deployment.instances, scenario.service, scenario.account);
  await load.run(requestCount, requestConcurrency);
  printLine(describeLoad(load));
  if (load.answered !== requestCount || load.mismatchedResponses > 0) {
    throw new Error('a request failed or received a response that does not match it');
  }
  printLine('');
}

async function showJobs(
  deployment: Deployment,
  first: EntryInstance,
  second: EntryInstance,
  scenario: Scenario,
): Promise<void> {
  printLine('## Gang jobs');
  const { borrowerJob, guaranteedJob } = scenario;
  const borrower = await submit(deployment, first, borrowerJob);
  const startedMs = await waitForJobState(deployment, first, borrower, ['active']);
  printLine(
    `job "${borrowerJob}" borrows the whole data centre: placed after ${startedMs.toFixed(0)} ms`,
  );
  const guaranteed = await submit(deployment, second, guaranteedJob);
  const reclaimedMs = await waitForRunningAttempt(deployment, first, guaranteed);
  printLine(`job "${guaranteedJob}" under its guarantee runs after ${reclaimedMs.toFixed(0)} ms`);
  printLine(await explain(deployment, first, guaranteed));
  await waitForJobState(deployment, first, guaranteed, ['succeeded']);
  await waitForJobState(deployment, first, borrower, ['succeeded']);
  printLine(await explain(deployment, second, borrower));
  printLine('both jobs succeeded\n');
}

async function showConfigurationChange(deployment: Deployment, scenario: Scenario): Promise<void> {
  printLine('## A reviewed change and a conflicting one');
  const [first, second] = deployment.instances as [EntryInstance, EntryInstance];
  const changed = scenario.builder
    .account('new-team', { weight: 1, requestLimit: 10, acceleratorLimit: 8 })
    .print();
  const file = await deployment.writeTemporaryFile('changed.ini', changed);
  printLine((await runOrThrow(deployment, first, 'diff', file)).trimEnd());
  await runOrThrow(deployment, first, 'apply', file, '--expect', '1', '--reason', 'new team');
  const elapsedMs = await waitForRevision(deployment, 2);
  printLine(`revision 2 in force at all instances after ${elapsedMs.toFixed(0)} ms`);
  const staleApply = await deployment.runCommand(
    second,
    ...['apply', file, '--expect', '1', '--reason', 'stale revision'],
  );
  printLine(
    `operator with the old revision: exit ${staleApply.exitCode}\n${staleApply.output.trimEnd()}`,
  );
  if (staleApply.exitCode !== 3) {
    throw new Error('expected a conflict for the operator with the old revision');
  }
  printLine('');
}

async function showGracefulShutdown(deployment: Deployment, scenario: Scenario): Promise<void> {
  printLine('## A graceful shutdown under load');
  const [stopped, ...remaining] = deployment.instances;
  if (stopped === undefined) {
    return;
  }
  const load = new LoadGenerator([...deployment.instances], scenario.service, scenario.account);
  const running = load.run(requestCount, requestConcurrency);
  stopped.process.sendSignal('SIGTERM');
  load.targets = remaining;
  const exitCode = await stopped.process.waitForExit();
  await running;
  printLine(`${stopped.name} stopped with exit code ${exitCode}`);
  printLine(describeLoad(load));
  if (exitCode !== 0 || load.connectionFailures > 0) {
    throw new Error('the graceful shutdown broke a connection or exited with an error');
  }
}

function describeLoad(load: LoadGenerator): string {
  const { latency } = load;
  return [
    `${load.answered} of ${load.sent} requests answered, ${load.mismatchedResponses} mismatched,`,
    `${load.refused} refused, ${load.connectionFailures} connection failures;`,
    describeLatency(latency),
  ].join(' ');
}

function describeLatency(latency: LatencyHistogram): string {
  const p50 = latency.percentile(50).toFixed(1);
  const p99 = latency.percentile(99).toFixed(1);
  return `p50 ${p50} ms, p99 ${p99} ms`;
}

async function runOrThrow(
  deployment: Deployment,
  instance: EntryInstance,
  ...args: string[]
): Promise<string> {
  const result = await deployment.runCommand(instance, ...args);
  if (result.exitCode !== 0) {
    throw new Error(`apricothoist ${args.join(' ')}: exit ${result.exitCode}\n${result.output}`);
  }
  return result.output;
}

async function submit(
  deployment: Deployment,
  instance: EntryInstance,
  job: string,
): Promise<string> {
  const output = await runOrThrow(deployment, instance, 'submit', job, '--json');
  return (JSON.parse(output) as { jobId: string }).jobId;
}

async function explain(
  deployment: Deployment,
  instance: EntryInstance,
  job: string,
): Promise<string> {
  const output = await runOrThrow(deployment, instance, 'explain', job);
  return output.trimEnd().replaceAll(/^/gm, '    ');
}

interface PlansResponse {
  readonly plans: readonly {
    readonly jobs: readonly { readonly id: string; readonly state: string }[];
    readonly attempts: readonly { readonly jobId: string; readonly state: string }[];
  }[];
}

async function readPlans(instance: EntryInstance): Promise<PlansResponse> {
  const response = await fetch(`${instance.operatorUrl}/v1/jobs`);
  return (await response.json()) as PlansResponse;
}

function waitForJobState(
  deployment: Deployment,
  instance: EntryInstance,
  jobId: string,
  states: readonly string[],
): Promise<number> {
  return Deployment.waitUntil(
    async () => {
      const { plans } = await readPlans(instance);
      const job = plans.flatMap((plan) => plan.jobs).find((candidate) => candidate.id === jobId);
      return job !== undefined && states.includes(job.state);
    },
    `job ${jobId} ${states.join(' or ')}`,
    60_000,
  );
}

function waitForRunningAttempt(
  deployment: Deployment,
  instance: EntryInstance,
  jobId: string,
): Promise<number> {
  return Deployment.waitUntil(async () => {
    const { plans } = await readPlans(instance);
    const attempts = plans.flatMap((plan) => plan.attempts);
    return attempts.some((attempt) => attempt.jobId === jobId && attempt.state === 'running');
  }, `job ${jobId} running`);
}

async function waitForRevision(deployment: Deployment, revision: number): Promise<number> {
  return Deployment.waitUntil(async () => {
    const statuses = await Promise.all(
      deployment.instances.map(async (instance) => {
        const response = await fetch(`${instance.operatorUrl}/v1/status`);
        return (await response.json()) as { configurationRevision: number };
      }),
    );
    return statuses.every((status) => status.configurationRevision >= revision);
  }, `revision ${revision} at all instances`);
}

const scenarioName = process.argv[2] ?? 'tallinn';
const scenario = scenarios[scenarioName];
if (scenario === undefined) {
  printLine(`expected one of: ${Object.keys(scenarios).join(', ')}`);
  process.exitCode = 2;
} else {
  await runDemo(scenarioName, scenario);
  printLine('\nAll steps passed.');
}
