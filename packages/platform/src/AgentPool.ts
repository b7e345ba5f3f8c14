import { Agent } from 'node:http';

/** Addresses whose connections are kept; the one that was added first goes first. */
const maxAddresses = 1_000;

/** Connection pools by address, bounded, so that replaced instances are forgotten. */
export class AgentPool implements Disposable {
  private readonly agents = new Map<string, Agent>();

  /** @param maxSockets connections to one address */
  public constructor(private readonly maxSockets: number) {}

  public get size(): number {
    return this.agents.size;
  }

  public agentFor(address: string): Agent {
    const known = this.agents.get(address);
    if (known !== undefined) {
      return known;
    }
    const agent = new Agent({ keepAlive: true, maxSockets: this.maxSockets });
    this.agents.set(address, agent);
    const [oldest] = this.agents.keys();
    if (this.agents.size > maxAddresses && oldest !== undefined) {
      this.forget(oldest);
    }
    return agent;
  }

  /** Closes the connections to an address; the next call opens new ones. */
  public drop(address: string): void {
    this.agents.get(address)?.destroy();
    this.agents.delete(address);
  }

  /**
   * Opens new connections for calls from now on, since idle ones may have gone silent. Calls in
   * flight keep theirs.
   */
  public renew(address: string): void {
    const agent = this.agents.get(address);
    this.agents.delete(address);
    Object.values(agent?.freeSockets ?? {}).forEach((sockets) =>
      sockets?.forEach((socket) => socket.destroy()),
    );
  }

  public [Symbol.dispose](): void {
    this.agents.forEach((agent) => agent.destroy());
    this.agents.clear();
  }

  // Requests in flight keep their connections until they end.
  private forget(address: string): void {
    this.agents.delete(address);
  }
}
