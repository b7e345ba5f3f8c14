import type { Dispatcher, Runner } from '@apricothoist/dispatch';

import type { RunnerLinkOwner } from './RunnerLink.js';
import { RunnerLink } from './RunnerLink.js';
import type { SchedulingServices } from './SchedulingServices.js';

type LinkServices = Pick<SchedulingServices, 'runners' | 'clock' | 'steadyClock' | 'random'>;

/** The links of a term, one to each runner that is listed. */
export class RunnerLinks implements Disposable {
  private readonly links = new Map<string, RunnerLink>();

  public constructor(
    private readonly services: LinkServices,
    private readonly dispatcher: Dispatcher,
    private readonly owner: RunnerLinkOwner,
    private readonly onError: (error: unknown) => void,
  ) {}

  /** Adds links to new runners, removes those of former ones and wakes the others. */
  public update(): void {
    const { runners } = this.dispatcher.state;
    this.links.forEach((link, id) => {
      const runner = runners.get(id);
      if (runner === undefined || !link.serves(runner)) {
        link[Symbol.dispose]();
        this.links.delete(id);
      }
    });
    runners.forEach((runner) => {
      const link = this.links.get(runner.id);
      if (link !== undefined) {
        link.wake();
      } else if (runner.isListed) {
        this.add(runner);
      }
    });
  }

  /** Resolves to whether a report confirms the present incarnation of the runner. */
  public async confirm(runnerId: string): Promise<boolean> {
    return (await this.links.get(runnerId)?.confirm()) ?? false;
  }

  private add(runner: Runner): void {
    const { runners, clock, steadyClock, random } = this.services;
    const { dispatcher, owner } = this;
    const link = new RunnerLink(runner, runners, dispatcher, owner, clock, steadyClock, random);
    this.links.set(runner.id, link);
    link.start(this.onError);
  }

  public [Symbol.dispose](): void {
    this.links.forEach((link) => link[Symbol.dispose]());
    this.links.clear();
  }
}
