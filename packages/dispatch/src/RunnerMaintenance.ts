import type { DispatchState } from './DispatchState.js';
import type { MaintenanceCall, MaintenanceView } from './MaintenancePlan.js';
import { planMaintenance } from './MaintenancePlan.js';
import type { TaskGroupLifecycle } from './TaskGroupLifecycle.js';

/** Applies the plan of the maintenance waves to the runners. */
export class RunnerMaintenance {
  public constructor(
    private readonly state: DispatchState,
    private readonly lifecycle: TaskGroupLifecycle,
  ) {}

  /** Prepares runners, stops runs there and returns the calls that are due. */
  public plan(view: MaintenanceView, now: number): readonly MaintenanceCall[] {
    const { prepared, stops, calls } = planMaintenance(this.state, view, now);
    this.state.maintenance = prepared;
    stops.forEach((group) => this.lifecycle.abort(group, 'maintenance', now));
    calls.forEach(({ runnerId = '' }) => {
      const runner = this.state.runners.get(runnerId);
      if (runner !== undefined) {
        // The end of this process is a planned one, for which no task is to blame.
        runner.drainedIncarnation = runner.listed.processStartedAt;
      }
    });
    return calls;
  }

  /** Ids of the runners that are kept free. */
  public get prepared(): readonly string[] {
    return [...this.state.maintenance.keys()];
  }

  /** Keeps only these runners free; tasks may start on all others. */
  public restrictTo(runnerIds: readonly string[], now: number): void {
    const { maintenance } = this.state;
    this.state.maintenance = new Map(
      runnerIds.map((id) => [id, maintenance.get(id) ?? { takeDownBy: now }]),
    );
  }

  /** Whether the runner may still be listed. */
  public isKnown(runnerId: string): boolean {
    return this.state.runners.has(runnerId);
  }
}
