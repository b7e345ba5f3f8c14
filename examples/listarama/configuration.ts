import { Adjacency, ConfigurationBuilder, Urgency } from '@apricothoist/config';

const service = {
  endpointSlots: 8,
  endpointConnections: 60,
  maxBodyBytes: 4_194_304,
  maxHeaderBytes: 16_384,
  timeoutMs: 5_000,
  retryPercent: 20,
};
const worker = { workersPerRack: 8, cores: 60, memoryGb: 250, accelerators: 8, guards: true };
const photoShape = { workers: 4, acceleratorsPerWorker: 8, adjacency: Adjacency.rack };
const cutPlanShape = { workers: 1, acceleratorsPerWorker: 1, adjacency: Adjacency.any };

/** Listarama Costa Rica S.A.: cut plans at the counter and photo estimates overnight. */
export const listarama = new ConfigurationBuilder({
  name: 'listarama',
  region: 'cr-central',
  dataCentres: ['cr-central-a', 'cr-central-b', 'cr-central-c'],
  completionWeight: 0.3,
})
  .account('ferreteria-cordillera', { weight: 6, requestLimit: 300, acceleratorLimit: 80 })
  .account('constructora', { weight: 4, requestLimit: 200, acceleratorLimit: 80 })
  .account('hogar', { weight: 2, requestLimit: 200, acceleratorLimit: 48 })
  .account('taller', { weight: 1, requestLimit: 100, acceleratorLimit: 80 })
  .guarantee('cordillera-photos', {
    account: 'ferreteria-cordillera',
    dataCentre: 'cr-central-a',
    shape: photoShape,
    count: 1,
  })
  .guarantee('constructora-photos', {
    account: 'constructora',
    dataCentre: 'cr-central-b',
    shape: photoShape,
    count: 1,
  })
  .guarantee('cordillera-counter', {
    account: 'ferreteria-cordillera',
    dataCentre: 'cr-central-a',
    shape: cutPlanShape,
    count: 8,
  })
  .service('list-builder', service)
  .workers('cr-central-a', { ...worker, count: 10 })
  .workers('cr-central-b', { ...worker, count: 10 })
  .workers('cr-central-c', { ...worker, count: 10 })
  .job('photo-estimate', {
    account: 'ferreteria-cordillera',
    dataCentre: 'cr-central-a',
    shape: photoShape,
    urgency: Urgency.batch,
    expectedMinutes: 120,
  })
  .job('cut-plan', {
    account: 'ferreteria-cordillera',
    dataCentre: 'cr-central-a',
    shape: cutPlanShape,
    urgency: Urgency.urgent,
    expectedMinutes: 1,
  })
  .job('catalogue', {
    account: 'taller',
    dataCentre: 'cr-central-a',
    shape: { workers: 10, acceleratorsPerWorker: 8, adjacency: Adjacency.any },
    urgency: Urgency.normal,
    expectedMinutes: 60,
  });
