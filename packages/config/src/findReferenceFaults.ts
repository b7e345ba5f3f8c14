import type { Configuration, WorkersSection } from './Configuration.js';
import type { ConfigurationFault } from './ConfigurationError.js';

/** A section that refers to an account and a data centre and defines a gang shape. */
interface GangSection {
  readonly account: string;
  readonly 'data-centre': string;
  readonly workers: number;
  readonly 'accelerators-per-worker': number;
  readonly adjacency: string;
}

/** Finds references to undefined names, and shapes and guarantees that exceed the worker pools. */
export function findReferenceFaults(
  configuration: Configuration,
  file: string,
): ConfigurationFault[] {
  const guarantees = Object.entries(configuration.guarantee).flatMap(([name, guarantee]) =>
    checkGangSection(configuration, `guarantee.${name}`, guarantee, file),
  );
  const jobs = Object.entries(configuration.job).flatMap(([name, job]) =>
    checkGangSection(configuration, `job.${name}`, job, file),
  );
  const pools = Object.keys(configuration.workers)
    .filter((dataCentre) => !configuration.deployment['data-centres'].includes(dataCentre))
    .map((dataCentre) => ({
      file,
      section: `workers.${dataCentre}`,
      key: '',
      message: `data centre "${dataCentre}" is not listed in [deployment] data-centres`,
    }));
  return [...guarantees, ...jobs, ...pools, ...checkGuaranteeTotals(configuration, file)];
}

function checkGangSection(
  configuration: Configuration,
  section: string,
  gang: GangSection,
  file: string,
): ConfigurationFault[] {
  const faults: ConfigurationFault[] = [];
  if (configuration.account[gang.account] === undefined) {
    const message = `account "${gang.account}" has no section [account.${gang.account}]`;
    faults.push({ file, section, key: 'account', message });
  }
  const pool = configuration.workers[gang['data-centre']];
  if (pool === undefined) {
    const message = `data centre "${gang['data-centre']}" has no section [workers.…]`;
    return [...faults, { file, section, key: 'data-centre', message }];
  }
  const accelerators = gang['accelerators-per-worker'];
  if (accelerators > pool.accelerators) {
    const message = `expected at most ${pool.accelerators}, the accelerators of one worker`;
    faults.push({ file, section, key: 'accelerators-per-worker', message });
  }
  const limit = gang.adjacency === 'rack' ? pool['workers-per-rack'] : pool.count;
  if (gang.workers > limit) {
    const message = `expected at most ${limit}, the workers that can be adjacent`;
    faults.push({ file, section, key: 'workers', message });
  }
  return faults;
}

function checkGuaranteeTotals(configuration: Configuration, file: string): ConfigurationFault[] {
  return Object.entries(configuration.workers).flatMap(([dataCentre, pool]) => {
    const guaranteed = guaranteedAccelerators(configuration, dataCentre);
    const available = totalAccelerators(pool);
    if (guaranteed <= available) {
      return [];
    }
    const message = `guarantees promise ${guaranteed} accelerators, the workers have ${available}`;
    return [{ file, section: `workers.${dataCentre}`, key: 'count', message }];
  });
}

function guaranteedAccelerators(configuration: Configuration, dataCentre: string): number {
  return Object.values(configuration.guarantee)
    .filter((guarantee) => guarantee['data-centre'] === dataCentre)
    .reduce(
      (sum, guarantee) =>
        sum + guarantee.count * guarantee.workers * guarantee['accelerators-per-worker'],
      0,
    );
}

function totalAccelerators(pool: WorkersSection): number {
  return pool.count * pool.accelerators;
}
