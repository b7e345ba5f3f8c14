import { createMachine, initialTransition, transition } from 'xstate';

/** Definition of a flat state chart, as in its JSON file. */
export interface StateChartSource {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<Record<string, StateSource>>;
}

/** State of a chart: the events it handles, each with its target state. */
export interface StateSource {
  readonly type?: string;
  readonly on?: Readonly<Record<string, string>>;
}

/**
 * Evaluates a flat state chart with xstate. All transitions are computed at construction; an event
 * that a state does not list leaves the state unchanged.
 */
export class StateChart<State extends string, EventName extends string> {
  public readonly initial: State;

  public readonly states: readonly State[];

  public readonly events: readonly EventName[];

  private readonly targets = new Map<State, Map<EventName, State>>();

  public constructor(public readonly source: StateChartSource) {
    const machine = createMachine(source as never);
    const [start] = initialTransition(machine);
    this.initial = start.value as State;
    this.states = Object.keys(source.states) as State[];
    const names = Object.values(source.states).flatMap((state) => Object.keys(state.on ?? {}));
    this.events = [...new Set(names)].sort() as EventName[];
    this.states.forEach((state) => {
      const snapshot = machine.resolveState({ value: state });
      const row = new Map<EventName, State>();
      this.events.forEach((type) => {
        const [next] = transition(machine, snapshot, { type });
        row.set(type, next.value as State);
      });
      this.targets.set(state, row);
    });
  }

  /** Returns the state that follows `state` on `event`. */
  public next(state: State, event: EventName): State {
    return this.targets.get(state)?.get(event) ?? state;
  }

  /** Whether `state` has a transition for `event`. */
  public accepts(state: State, event: EventName): boolean {
    return this.source.states[state]?.on?.[event] !== undefined;
  }

  /** Whether `state` is final, so that no event leaves it. */
  public isFinal(state: State): boolean {
    return this.source.states[state]?.type === 'final';
  }
}
