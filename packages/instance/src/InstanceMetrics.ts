import { LatencyHistogram } from '@apricothoist/common';
import { Counter, Gauge, Registry } from 'prom-client';

const quantiles = [50, 90, 99, 99.9];

/** Request counters, latencies and status of a job instance in the Prometheus text format. */
export class InstanceMetrics {
  private readonly registry = new Registry();

  private readonly latencies = new Map<string, LatencyHistogram>();

  private readonly requests = new Counter({
    name: 'apricothoist_job_requests_total',
    help: 'Requests by operation and status',
    labelNames: ['operation', 'status'],
    registers: [this.registry],
  });

  /** @param status returns the gauge values; called on each scrape */
  public constructor(status: () => Readonly<Record<string, number>>) {
    const gauge = new Gauge({
      name: 'apricothoist_job_instance',
      help: 'State of this instance',
      labelNames: ['value'],
      registers: [this.registry],
      collect: () => {
        Object.entries(status()).forEach(([value, number]) => gauge.set({ value }, number));
      },
    });
    this.registerLatencies();
  }

  public record(operation: string, status: number, durationMs: number): void {
    this.requests.inc({ operation, status: String(status) });
    const histogram = this.latencies.get(operation) ?? new LatencyHistogram();
    this.latencies.set(operation, histogram);
    histogram.record(durationMs);
  }

  public get contentType(): string {
    return this.registry.contentType;
  }

  public expose(): Promise<string> {
    return this.registry.metrics();
  }

  private registerLatencies(): void {
    const gauge: Gauge<'operation' | 'percentile'> = new Gauge({
      name: 'apricothoist_job_request_milliseconds',
      help: 'Time from arrival to answer',
      labelNames: ['operation', 'percentile'],
      registers: [this.registry],
      collect: () => {
        this.latencies.forEach((histogram, operation) => {
          quantiles.forEach((percentile) => {
            const labels = { operation, percentile: String(percentile) };
            gauge.set(labels, histogram.percentile(percentile));
          });
        });
      },
    });
  }
}
