import { createMachine, initialTransition, transition } from 'xstate';

/** A flat state chart as its JSON file holds it. */
export interface StateChartSource {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<Record<string, StateSource>>;
}

/** One state of a chart: the events it answers, each with its target state. */
export interface StateSource {
  readonly type?: string;
  readonly on?: Readonly<Record<string, string>>;
}

/**
 * Interprets a flat state chart with xstate. Every transition is computed once, at construction;
 * an event that a state does not list leaves the state as it is.
 */
export class StateChart<State extends string, Happening extends string> {
  public readonly initial: State;

  public readonly states: readonly State[];

  public readonly events: readonly Happening[];

  private readonly targets = new Map<State, Map<Happening, State>>();

  public constructor(public readonly source: StateChartSource) {
    const machine = createMachine(source as never);
    const [start] = initialTransition(machine);
    this.initial = start.value as State;
    this.states = Object.keys(source.states) as State[];
    const names = Object.values(source.states).flatMap((state) => Object.keys(state.on ?? {}));
    this.events = [...new Set(names)].sort() as Happening[];
    this.states.forEach((state) => {
      const snapshot = machine.resolveState({ value: state });
      const row = new Map<Happening, State>();
      this.events.forEach((type) => {
        const [next] = transition(machine, snapshot, { type });
        row.set(type, next.value as State);
      });
      this.targets.set(state, row);
    });
  }

  /** The state that follows `state` when `happening` occurs. */
  public next(state: State, happening: Happening): State {
    return this.targets.get(state)?.get(happening) ?? state;
  }

  /** Whether `state` lists a transition for `happening`. */
  public accepts(state: State, happening: Happening): boolean {
    return this.source.states[state]?.on?.[happening] !== undefined;
  }

  /** Whether no event leads out of `state`. */
  public isFinal(state: State): boolean {
    return this.source.states[state]?.type === 'final';
  }
}
