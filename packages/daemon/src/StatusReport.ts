/** Status of an instance and its view of the deployment; the body of `GET /v1/status`. */
export interface StatusReport {
  readonly instanceId: string;
  readonly name: string;
  readonly dataCentre: string;
  readonly isReady: boolean;
  readonly isLeaving: boolean;
  readonly configurationRevision: number;
  readonly storeState: string;
  readonly storeCalls: number;
  readonly schedulesDataCentre: boolean;
  readonly planRevision: number;
  readonly openRequests: number;
  /** Guarantee units that cannot be met, by account. */
  readonly shortfall: readonly ShortfallEntry[];
  readonly instances: readonly InstanceEntry[];
  readonly endpoints: readonly EndpointEntry[];
  readonly workers: readonly WorkerEntry[];
  readonly meshBytesSent: number;
  readonly meshBytesReceived: number;
}

export interface ShortfallEntry {
  readonly account: string;
  readonly guarantee: string;
  readonly units: number;
}

export interface InstanceEntry {
  readonly instanceId: string;
  readonly dataCentre: string;
  readonly state: string;
  readonly configurationRevision: number;
}

export interface EndpointEntry {
  readonly service: string;
  readonly id: string;
  readonly state: string;
  readonly inFlight: number;
}

export interface WorkerEntry {
  readonly id: string;
  readonly rack: string;
  readonly accelerators: number;
  readonly isUsable: boolean;
}
