import type { Configuration, WorkersSection } from './Configuration.js';
import type { ConfigurationFault } from './ConfigurationError.js';

/** A section that names an account, a data centre and a gang shape. */
interface ShapedSection {
  readonly account: string;
  readonly 'data-centre': string;
  readonly workers: number;
  readonly 'accelerators-per-worker': number;
  readonly adjacency: string;
}

/** Faults of names that no section defines, and of shapes that no worker pool can ever hold. */
export function findReferenceFaults(
  configuration: Configuration,
  file: string,
): ConfigurationFault[] {
  const guarantees = Object.entries(configuration.guarantee).flatMap(([name, guarantee]) =>
    checkShaped(configuration, `guarantee.${name}`, guarantee, file),
  );
  const jobs = Object.entries(configuration.job).flatMap(([name, job]) =>
    checkShaped(configuration, `job.${name}`, job, file),
  );
  const pools = Object.keys(configuration.workers)
    .filter((dataCentre) => !configuration.deployment['data-centres'].includes(dataCentre))
    .map((dataCentre) => ({
      file,
      section: `workers.${dataCentre}`,
      key: '',
      message: `data centre "${dataCentre}" is not listed in [deployment] data-centres`,
    }));
  return [...guarantees, ...jobs, ...pools, ...checkTotals(configuration, file)];
}

function checkShaped(
  configuration: Configuration,
  section: string,
  shaped: ShapedSection,
  file: string,
): ConfigurationFault[] {
  const faults: ConfigurationFault[] = [];
  if (configuration.account[shaped.account] === undefined) {
    const message = `account "${shaped.account}" has no section [account.${shaped.account}]`;
    faults.push({ file, section, key: 'account', message });
  }
  const pool = configuration.workers[shaped['data-centre']];
  if (pool === undefined) {
    const message = `data centre "${shaped['data-centre']}" has no section [workers.…]`;
    return [...faults, { file, section, key: 'data-centre', message }];
  }
  const accelerators = shaped['accelerators-per-worker'];
  if (accelerators > pool.accelerators) {
    const message = `expected at most ${pool.accelerators}, the accelerators of one worker`;
    faults.push({ file, section, key: 'accelerators-per-worker', message });
  }
  const limit = shaped.adjacency === 'rack' ? pool['workers-per-rack'] : pool.count;
  if (shaped.workers > limit) {
    const message = `expected at most ${limit}, the workers that can be adjacent`;
    faults.push({ file, section, key: 'workers', message });
  }
  return faults;
}

function checkTotals(configuration: Configuration, file: string): ConfigurationFault[] {
  return Object.entries(configuration.workers).flatMap(([dataCentre, pool]) => {
    const promised = promisedAccelerators(configuration, dataCentre);
    const present = totalAccelerators(pool);
    if (promised <= present) {
      return [];
    }
    const message = `guarantees promise ${promised} accelerators, the workers have ${present}`;
    return [{ file, section: `workers.${dataCentre}`, key: 'count', message }];
  });
}

function promisedAccelerators(configuration: Configuration, dataCentre: string): number {
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
