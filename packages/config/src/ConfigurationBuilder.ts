import type { Adjacency, Configuration, Urgency } from './Configuration.js';
import { parseConfiguration } from './parseConfiguration.js';
import { printConfiguration } from './printConfiguration.js';

/** Name and location of a deployment. */
export interface Deployment {
  readonly name: string;
  readonly region: string;
  readonly dataCentres: readonly string[];
  /** Weight of completion time against fragmentation in placement, 0 to 1. */
  readonly completionWeight: number;
}

export interface Account {
  readonly weight: number;
  readonly requestLimit: number;
  readonly acceleratorLimit: number;
}

/** Shape of a gang: the number of workers and the accelerators on each. */
export interface GangShape {
  readonly workers: number;
  readonly acceleratorsPerWorker: number;
  readonly adjacency: Adjacency;
}

export interface Guarantee {
  readonly account: string;
  readonly dataCentre: string;
  readonly shape: GangShape;
  readonly count: number;
}

export interface Service {
  readonly endpointSlots: number;
  readonly endpointConnections: number;
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  readonly timeoutMs: number;
  readonly retryPercent: number;
}

export interface WorkerPool {
  readonly count: number;
  readonly workersPerRack: number;
  readonly cores: number;
  readonly memoryGb: number;
  readonly accelerators: number;
  readonly guards: boolean;
}

export interface JobTemplate {
  readonly account: string;
  readonly dataCentre: string;
  readonly shape: GangShape;
  readonly urgency: Urgency;
  readonly expectedMinutes: number;
}

/**
 * Builds the configuration of one deployment. The methods that add sections can be chained; `print`
 * validates the configuration and returns its canonical text.
 *
 * @example
 * new ConfigurationBuilder({ name: 'demo', region: 'north', dataCentres: ['a'], completionWeight: 1 })
 *   .account('hotline', { weight: 4, requestLimit: 100, acceleratorLimit: 64 })
 *   .print();
 */
export class ConfigurationBuilder {
  private readonly draft: Configuration;

  public constructor(deployment: Deployment) {
    this.draft = {
      deployment: {
        name: deployment.name,
        region: deployment.region,
        'data-centres': [...deployment.dataCentres],
        'completion-weight': deployment.completionWeight,
      },
      account: {},
      guarantee: {},
      service: {},
      workers: {},
      job: {},
    };
  }

  public account(name: string, account: Account): this {
    this.draft.account[name] = {
      weight: account.weight,
      'request-limit': account.requestLimit,
      'accelerator-limit': account.acceleratorLimit,
    };
    return this;
  }

  public guarantee(name: string, guarantee: Guarantee): this {
    this.draft.guarantee[name] = {
      account: guarantee.account,
      'data-centre': guarantee.dataCentre,
      count: guarantee.count,
      ...toShapeKeys(guarantee.shape),
    };
    return this;
  }

  public service(name: string, service: Service): this {
    this.draft.service[name] = {
      'endpoint-slots': service.endpointSlots,
      'endpoint-connections': service.endpointConnections,
      'max-body-bytes': service.maxBodyBytes,
      'max-header-bytes': service.maxHeaderBytes,
      'timeout-ms': service.timeoutMs,
      'retry-percent': service.retryPercent,
    };
    return this;
  }

  /** Adds the expected worker pool of a data centre. */
  public workers(dataCentre: string, pool: WorkerPool): this {
    this.draft.workers[dataCentre] = {
      count: pool.count,
      'workers-per-rack': pool.workersPerRack,
      cores: pool.cores,
      'memory-gb': pool.memoryGb,
      accelerators: pool.accelerators,
      guards: pool.guards,
    };
    return this;
  }

  public job(name: string, job: JobTemplate): this {
    this.draft.job[name] = {
      account: job.account,
      'data-centre': job.dataCentre,
      urgency: job.urgency,
      'expected-minutes': job.expectedMinutes,
      ...toShapeKeys(job.shape),
    };
    return this;
  }

  /**
   * Validates the configuration and returns its canonical text.
   *
   * @throws ConfigurationError if the configuration is invalid
   */
  public print(): string {
    const text = printConfiguration(this.draft);
    return parseConfiguration(text, '(program)').match(printConfiguration, (error) => {
      throw error;
    });
  }
}

function toShapeKeys(shape: GangShape) {
  return {
    workers: shape.workers,
    'accelerators-per-worker': shape.acceleratorsPerWorker,
    adjacency: shape.adjacency,
  };
}
