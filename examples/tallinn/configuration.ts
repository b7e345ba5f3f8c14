import { Adjacency, ConfigurationBuilder, Urgency } from '@apricothoist/config';

const service = {
  endpointSlots: 8,
  endpointConnections: 60,
  maxBodyBytes: 1_048_576,
  maxHeaderBytes: 16_384,
  timeoutMs: 5_000,
  retryPercent: 20,
};
const worker = { workersPerRack: 6, cores: 30, memoryGb: 130, accelerators: 8, guards: true };
const matchingShape = { workers: 4, acceleratorsPerWorker: 8, adjacency: Adjacency.rack };
const triageShape = { workers: 1, acceleratorsPerWorker: 2, adjacency: Adjacency.any };

/** Tallinna Linnagaas Teenused: gas odour triage and overnight network matching. */
export const tallinn = new ConfigurationBuilder({
  name: 'tallinn',
  region: 'harju',
  dataCentres: ['kesklinn', 'lasnamae', 'mustamae', 'pirita'],
  completionWeight: 0.8,
})
  .account('hotline', { weight: 8, requestLimit: 400, acceleratorLimit: 96 })
  .account('network', { weight: 4, requestLimit: 200, acceleratorLimit: 96 })
  .account('planning', { weight: 2, requestLimit: 100, acceleratorLimit: 64 })
  .account('research', { weight: 1, requestLimit: 50, acceleratorLimit: 96 })
  .guarantee('hotline-triage', {
    account: 'hotline',
    dataCentre: 'kesklinn',
    shape: triageShape,
    count: 6,
  })
  .guarantee('network-matching', {
    account: 'network',
    dataCentre: 'kesklinn',
    shape: matchingShape,
    count: 1,
  })
  .guarantee('network-matching-north', {
    account: 'network',
    dataCentre: 'lasnamae',
    shape: matchingShape,
    count: 1,
  })
  .service('odour-report', service)
  .workers('kesklinn', { ...worker, count: 12 })
  .workers('lasnamae', { ...worker, count: 6 })
  .workers('mustamae', { ...worker, count: 6 })
  .workers('pirita', { ...worker, count: 6 })
  .job('matching', {
    account: 'network',
    dataCentre: 'kesklinn',
    shape: matchingShape,
    urgency: Urgency.batch,
    expectedMinutes: 240,
  })
  .job('triage-model', {
    account: 'hotline',
    dataCentre: 'kesklinn',
    shape: triageShape,
    urgency: Urgency.urgent,
    expectedMinutes: 5,
  })
  .job('study', {
    account: 'research',
    dataCentre: 'kesklinn',
    shape: { workers: 12, acceleratorsPerWorker: 8, adjacency: Adjacency.any },
    urgency: Urgency.normal,
    expectedMinutes: 60,
  });
