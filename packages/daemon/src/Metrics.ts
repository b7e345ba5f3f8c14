import { LatencyHistogram } from '@apricothoist/common';
import { Counter, Gauge, Registry } from 'prom-client';

import type { RequestRecord } from './CallerListener.js';
import type { StatusReport } from './StatusReport.js';

const percentiles = [50, 90, 99, 99.9];

/** Metrics of one instance in Prometheus text format. Latency percentiles come from HDR histograms. */
export class Metrics {
  private readonly registry = new Registry();

  private readonly latencies = new Map<string, LatencyHistogram>();

  private readonly requests = new Counter({
    name: 'apricothoist_requests_total',
    help: 'Requests by how they ended',
    labelNames: ['service', 'account', 'outcome', 'reason'],
    registers: [this.registry],
  });

  public constructor(status: () => StatusReport) {
    this.registerLatency();
    this.registerGauge(
      'configuration_revision',
      'Configuration in force',
      () => status().configurationRevision,
    );
    this.registerGauge('plan_revision', 'Newest plan known', () => status().planRevision);
    this.registerGauge('open_requests', 'Requests queued or running', () => status().openRequests);
    this.registerGauge(
      'store_calls',
      'Calls of the key-value service since the start',
      () => status().storeCalls,
    );
    this.registerGauge(
      'mesh_bytes_sent',
      'Mesh bytes sent since the start',
      () => status().meshBytesSent,
    );
    this.registerGauge(
      'mesh_bytes_received',
      'Mesh bytes received since the start',
      () => status().meshBytesReceived,
    );
    this.registerGauge('schedules', '1 while this instance schedules its data centre', () =>
      status().schedulesDataCentre ? 1 : 0,
    );
    this.registerGauge('guarantee_shortfall_units', 'Guarantee units that cannot be met', () =>
      status().shortfall.reduce((sum, entry) => sum + entry.units, 0),
    );
  }

  public record(request: RequestRecord): void {
    const { service, account, outcome, urgency } = request;
    this.requests.inc({ service, account, outcome, reason: request.reason ?? '' });
    const key = `${service}/${urgency}`;
    const histogram = this.latencies.get(key) ?? new LatencyHistogram();
    this.latencies.set(key, histogram);
    histogram.record(request.durationMs);
  }

  public get contentType(): string {
    return this.registry.contentType;
  }

  /** Returns the metrics in Prometheus text format. */
  public expose(): Promise<string> {
    return this.registry.metrics();
  }

  private registerGauge(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name: `apricothoist_${name}`,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read()),
    });
  }

  private registerLatency(): void {
    const gauge: Gauge<'service' | 'urgency' | 'percentile'> = new Gauge({
      name: 'apricothoist_request_milliseconds',
      help: 'Time from arrival to final answer',
      labelNames: ['service', 'urgency', 'percentile'],
      registers: [this.registry],
      collect: () => {
        this.latencies.forEach((histogram, key) => {
          const [service = '', urgency = ''] = key.split('/');
          percentiles.forEach((percentile) => {
            const labels = { service, urgency, percentile: String(percentile) };
            gauge.set(labels, histogram.percentile(percentile));
          });
        });
      },
    });
  }
}
