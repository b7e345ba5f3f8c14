/** A deployment of separate processes, for demos, tests and measurements. */
export { Deployment } from './Deployment.js';
export type { CommandResult, DeploymentOptions, EntryInstance } from './Deployment.js';
