import process from 'node:process';

import type { LatencyHistogram } from '@apricothoist/common';
import type { ConfigurationBuilder } from '@apricothoist/config';
import { parseConfiguration } from '@apricothoist/config';
import { listarama, tallinn } from '@apricothoist/examples';

import type { EntryInstance } from './Deployment.js';
import { Deployment } from './Deployment.js';
import { RequestLoad } from './RequestLoad.js';

/** What the demo runs for each example. */
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

function say(text: string): void {
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
  say(`# ${name}\n`);
  say('## Start');
  await deployment.start();
  const [first, second] = deployment.instances;
  if (first === undefined || second === undefined) {
    throw new Error('the demo needs two instances');
  }
  say(`${deployment.instances.length} instances in ${scenario.dataCentres.join(' and ')}\n`);
  await showConfiguration(deployment, first, text);
  await showRequests(deployment, scenario);
  await showJobs(deployment, first, second, scenario);
  await showChange(deployment, scenario);
  await showStop(deployment, scenario);
}

async function showConfiguration(
  deployment: Deployment,
  instance: EntryInstance,
  text: string,
): Promise<void> {
  say('## Configuration');
  const file = await deployment.write('configuration.ini', text);
  await mustRun(deployment, instance, 'check', file);
  await mustRun(deployment, instance, 'apply', file, '--expect', '0', '--reason', 'first one');
  const elapsed = await untilRevision(deployment, 1);
  say(`revision 1 in force at all instances after ${elapsed.toFixed(0)} ms\n`);
}

async function showRequests(deployment: Deployment, scenario: Scenario): Promise<void> {
  say('## Requests');
  const load = new RequestLoad(deployment.instances, scenario.service, scenario.account);
  await load.run(requestCount, requestConcurrency);
  say(describeLoad(load));
  if (load.answered !== requestCount || load.wrongAnswers > 0) {
    throw new Error('a request was not answered with its own answer');
  }
  say('');
}

async function showJobs(
  deployment: Deployment,
  first: EntryInstance,
  second: EntryInstance,
  scenario: Scenario,
): Promise<void> {
  say('## Gang jobs');
  const { borrowerJob, guaranteedJob } = scenario;
  const borrower = await submit(deployment, first, borrowerJob);
  const started = await untilJob(deployment, first, borrower, ['active']);
  say(`job "${borrowerJob}" borrows the whole data centre: placed after ${started.toFixed(0)} ms`);
  const guaranteed = await submit(deployment, second, guaranteedJob);
  const reclaimed = await untilRunning(deployment, first, guaranteed);
  say(`job "${guaranteedJob}" under its guarantee runs after ${reclaimed.toFixed(0)} ms`);
  say(await explain(deployment, first, guaranteed));
  await untilJob(deployment, first, guaranteed, ['succeeded']);
  await untilJob(deployment, first, borrower, ['succeeded']);
  say(await explain(deployment, second, borrower));
  say('both jobs succeeded\n');
}

async function showChange(deployment: Deployment, scenario: Scenario): Promise<void> {
  say('## A reviewed change and a racing operator');
  const [first, second] = deployment.instances as [EntryInstance, EntryInstance];
  const changed = scenario.builder
    .account('new-team', { weight: 1, requestLimit: 10, acceleratorLimit: 8 })
    .print();
  const file = await deployment.write('changed.ini', changed);
  say((await mustRun(deployment, first, 'diff', file)).trimEnd());
  await mustRun(deployment, first, 'apply', file, '--expect', '1', '--reason', 'new team');
  const elapsed = await untilRevision(deployment, 2);
  say(`revision 2 in force at all instances after ${elapsed.toFixed(0)} ms`);
  const raced = await deployment.run(
    second,
    ...['apply', file, '--expect', '1', '--reason', 'too late'],
  );
  say(`the racing operator: exit ${raced.exitCode}\n${raced.output.trimEnd()}`);
  if (raced.exitCode !== 3) {
    throw new Error('the racing operator should have met a conflict');
  }
  say('');
}

async function showStop(deployment: Deployment, scenario: Scenario): Promise<void> {
  say('## A planned stop under load');
  const [leaving, ...staying] = deployment.instances;
  if (leaving === undefined) {
    return;
  }
  const load = new RequestLoad([...deployment.instances], scenario.service, scenario.account);
  const running = load.run(requestCount, requestConcurrency);
  leaving.process.signal('SIGTERM');
  load.targets = staying;
  const exitCode = await leaving.process.exit();
  await running;
  say(`${leaving.name} stopped with exit code ${exitCode}`);
  say(describeLoad(load));
  if (exitCode !== 0 || load.cut > 0) {
    throw new Error('the planned stop cut a request');
  }
}

function describeLoad(load: RequestLoad): string {
  const { latency } = load;
  return [
    `${load.answered} of ${load.sent} requests answered, ${load.wrongAnswers} with a wrong answer,`,
    `${load.refused} refused, ${load.cut} cut;`,
    describeLatency(latency),
  ].join(' ');
}

function describeLatency(latency: LatencyHistogram): string {
  const p50 = latency.percentile(50).toFixed(1);
  const p99 = latency.percentile(99).toFixed(1);
  return `p50 ${p50} ms, p99 ${p99} ms`;
}

async function mustRun(
  deployment: Deployment,
  instance: EntryInstance,
  ...args: string[]
): Promise<string> {
  const result = await deployment.run(instance, ...args);
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
  const output = await mustRun(deployment, instance, 'submit', job, '--json');
  return (JSON.parse(output) as { jobId: string }).jobId;
}

async function explain(
  deployment: Deployment,
  instance: EntryInstance,
  job: string,
): Promise<string> {
  const output = await mustRun(deployment, instance, 'explain', job);
  return output.trimEnd().replaceAll(/^/gm, '    ');
}

interface PlansAnswer {
  readonly plans: readonly {
    readonly jobs: readonly { readonly id: string; readonly state: string }[];
    readonly attempts: readonly { readonly jobId: string; readonly state: string }[];
  }[];
}

async function readPlans(instance: EntryInstance): Promise<PlansAnswer> {
  const answer = await fetch(`${instance.operatorUrl}/v1/jobs`);
  return (await answer.json()) as PlansAnswer;
}

function untilJob(
  deployment: Deployment,
  instance: EntryInstance,
  jobId: string,
  states: readonly string[],
): Promise<number> {
  return Deployment.until(
    async () => {
      const { plans } = await readPlans(instance);
      const job = plans.flatMap((plan) => plan.jobs).find((candidate) => candidate.id === jobId);
      return job !== undefined && states.includes(job.state);
    },
    `job ${jobId} ${states.join(' or ')}`,
    60_000,
  );
}

function untilRunning(
  deployment: Deployment,
  instance: EntryInstance,
  jobId: string,
): Promise<number> {
  return Deployment.until(async () => {
    const { plans } = await readPlans(instance);
    const attempts = plans.flatMap((plan) => plan.attempts);
    return attempts.some((attempt) => attempt.jobId === jobId && attempt.state === 'running');
  }, `job ${jobId} running`);
}

async function untilRevision(deployment: Deployment, revision: number): Promise<number> {
  return Deployment.until(async () => {
    const answers = await Promise.all(
      deployment.instances.map(async (instance) => {
        const answer = await fetch(`${instance.operatorUrl}/v1/status`);
        return (await answer.json()) as { configurationRevision: number };
      }),
    );
    return answers.every((answer) => answer.configurationRevision >= revision);
  }, `revision ${revision} everywhere`);
}

const wanted = process.argv[2] ?? 'tallinn';
const scenario = scenarios[wanted];
if (scenario === undefined) {
  say(`expected one of: ${Object.keys(scenarios).join(', ')}`);
  process.exitCode = 2;
} else {
  await runDemo(wanted, scenario);
  say('\nAll steps held.');
}
