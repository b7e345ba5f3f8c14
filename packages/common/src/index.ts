/** Utilities without platform I/O, shared by all packages. */
export type { Clock } from './Clock.js';
export { SystemClock } from './SystemClock.js';
export { Emitter } from './Emitter.js';
export type { Event, Subscription } from './Emitter.js';
export { Disposables } from './Disposables.js';
export type { DisposableResource } from './Disposables.js';
export { Random } from './Random.js';
export { StateChart } from './StateChart.js';
export type { StateChartSource, StateSource } from './StateChart.js';
export { LatencyHistogram } from './LatencyHistogram.js';
export { createIdentifier, digestOf, rendezvousOwner, rendezvousWeight } from './Identifier.js';
export { PeriodicTask } from './PeriodicTask.js';
export { SupervisedLoop } from './SupervisedLoop.js';
export type { LoopErrorHandler } from './SupervisedLoop.js';
export { LayerError, messageOf } from './LayerError.js';
export { Secret } from './Secret.js';
export { delay } from './delay.js';
export { msPerSecond } from './units.js';
