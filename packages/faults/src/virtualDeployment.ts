import { Adjacency, ConfigurationBuilder } from '@apricothoist/config';

// Dimensions and configuration of the simulated deployment.

export const dataCentres = ['a', 'b'] as const;
export const acceleratorsPerWorker = 8;
export const workersPerRack = 3;
export const instancesPerDataCentre = 2;
export const workerCount = 6;
export const endpointsPerDataCentre = 3;
export const endpointSlots = 4;
export const startTimeMs = 1_000_000;
export const checkpointMs = 300;
export const minuteMs = 60_000;

/** Run time in milliseconds of every job at full speed. */
export const jobRunMs = 30_000;

/** The operator configuration as text. `limit` varies only to obtain a different text. */
export function configurationText(limit: number): string {
  const account = { weight: 1, requestLimit: 100, acceleratorLimit: 1_000 };
  const builder = new ConfigurationBuilder({
    name: 'virtual',
    region: 'north',
    dataCentres,
    completionWeight: 0.5,
  })
    .account('guaranteed', { ...account, requestLimit: limit })
    .account('borrowing', account)
    .guarantee('pair', {
      account: 'guaranteed',
      dataCentre: 'a',
      shape: { workers: 2, acceleratorsPerWorker, adjacency: Adjacency.rack },
      count: 1,
    })
    .guarantee('single', {
      account: 'guaranteed',
      dataCentre: 'a',
      shape: { workers: 1, acceleratorsPerWorker: 4, adjacency: Adjacency.any },
      count: 4,
    })
    .service('service', {
      endpointSlots,
      endpointConnections: 60,
      maxBodyBytes: 1_000,
      maxHeaderBytes: 1_000,
      timeoutMs: 1_000,
      retryPercent: 50,
    });
  dataCentres.forEach((name) => {
    builder.workers(name, {
      count: workerCount,
      workersPerRack,
      cores: 8,
      memoryGb: 8,
      accelerators: acceleratorsPerWorker,
      guards: true,
    });
  });
  return builder.print();
}
