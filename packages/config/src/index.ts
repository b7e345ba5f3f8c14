/** Builds, validates, prints and compares the operator configuration of a deployment. */
export { ConfigurationBuilder } from './ConfigurationBuilder.js';
export type {
  Account,
  Deployment,
  GangShape,
  Guarantee,
  JobTemplate,
  Service,
  WorkerPool,
} from './ConfigurationBuilder.js';
export { Adjacency, Urgency } from './Configuration.js';
export type {
  AccountSection,
  Configuration,
  DeploymentSection,
  GuaranteeSection,
  JobSection,
  ServiceSection,
  WorkersSection,
} from './Configuration.js';
export { ConfigurationError, ConfigurationErrorKind, describeFault } from './ConfigurationError.js';
export type { ConfigurationFault } from './ConfigurationError.js';
export { maxConfigurationBytes, parseConfiguration } from './parseConfiguration.js';
export { printConfiguration } from './printConfiguration.js';
export { ChangeKind, describeChange, diffConfiguration } from './diffConfiguration.js';
export type { ConfigurationChange } from './diffConfiguration.js';
