/** Fake servers of the platform, simulations and fixtures for tests. */
export { CallKind } from './CallFate.js';
export type { CallFate, VirtualCall } from './CallFate.js';
export { RandomCallFates } from './RandomCallFates.js';
export type { TaskBehaviour } from './TaskBehaviour.js';
export { VirtualCoordinationStore } from './VirtualCoordinationStore.js';
export { VirtualRunner } from './VirtualRunner.js';
export type { VirtualRunnerOptions } from './VirtualRunner.js';
export { VirtualRunnerClient } from './VirtualRunnerClient.js';
export type { VirtualRunnerClientOptions } from './VirtualRunnerClient.js';
export { VirtualRunnerPool } from './VirtualRunnerPool.js';
export type { VirtualRunRecord } from './VirtualRunRecord.js';
export { MemoryStore } from './MemoryStore.js';
export type { StoreFaults } from './MemoryStore.js';
export { LoopbackServer, sendJson } from './LoopbackServer.js';
export { StoreServer } from './StoreServer.js';
export { InstanceListServer } from './InstanceListServer.js';
export { WorkerModel } from './WorkerModel.js';
export type { RunRecord, WorkerBehaviour } from './WorkerModel.js';
export { WorkerServer } from './WorkerServer.js';
export { EndpointServer } from './EndpointServer.js';
export type { EndpointBehaviour } from './EndpointServer.js';
export { ManualClock } from './ManualClock.js';
export type { FakeServerOptions, FakeServersReady } from './fakeServers.js';
export { canPlaceTogether } from './gangOracle.js';
export type { OracleGang } from './gangOracle.js';
export { RelayMode, TcpRelay } from './TcpRelay.js';
export { VirtualLink } from './VirtualLink.js';
export { generateLoad, largeDeploymentLoad, smallDeploymentLoad } from './generateLoad.js';
export type { LoadBurst, JobClass } from './generateLoad.js';
export { generateDeploymentLoad, loadBeginsAt } from './generateDeploymentLoad.js';
export type { DeploymentLoad } from './generateDeploymentLoad.js';
export { flagyardLoad, vaultLoad } from './deploymentLoads.js';
export {
  createSpecification,
  criticalPathMs,
  plainDeployment,
  plainStep,
  replayBounds,
  replayQueues,
} from './replaySettings.js';
export type { JobArrival, ReplayDeployment } from './replaySettings.js';
export { preemptionReason } from './ReplayRunLog.js';
export { ReplaySimulation } from './ReplaySimulation.js';
export {
  DispatchFixture,
  endedTask,
  listedRunner,
  runningTask,
  fixtureJobId,
  fixtureQueue,
  fixtureStep,
} from './DispatchFixture.js';
export type { ReplayedJob, ReplayVariation } from './ReplaySimulation.js';
export type { ReplayedRun } from './ReplayRunner.js';
export type { UsageSecond } from './ReplayUsage.js';
export { oddTexts } from './oddValues.js';
