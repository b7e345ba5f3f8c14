/** Fake servers of the platform, simulations and fixtures for tests. */
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
export type { StandInOptions, StandInReady } from './standIn.js';
export { canPlaceTogether } from './gangOracle.js';
export type { OracleGang } from './gangOracle.js';
export { RelayMode, TcpRelay } from './TcpRelay.js';
export { generateLoad, grownLoad, smallDeploymentLoad } from './generateLoad.js';
export type { LoadBurst, JobClass } from './generateLoad.js';
export {
  createSpecification,
  plainStep,
  replayBounds,
  replayQueues,
  ReplayWorld,
} from './ReplayWorld.js';
export {
  DispatchScene,
  endedTask,
  listedRunner,
  runningTask,
  sceneJob,
  sceneQueue,
  sceneStep,
} from './DispatchScene.js';
export type { Arrival, ReplayedJob, ReplayVariation } from './ReplayWorld.js';
