import { Agent } from 'node:http';

/** Maximum number of addresses in the pool; the least recently used one is evicted first. */
const maxAddresses = 1_000;

/** HTTP agents by address. The number is limited, so that replaced instances do not accumulate. */
export class AgentPool implements Disposable {
  private readonly agents = new Map<string, Agent>();

  /** @param maxSockets maximum number of connections to one address */
  public constructor(private readonly maxSockets: number) {}

  public get size(): number {
    return this.agents.size;
  }

  public agentFor(address: string): Agent {
    const known = this.agents.get(address);
    const agent = known ?? new Agent({ keepAlive: true, maxSockets: this.maxSockets });
    // A map keeps the order of insertion, so the least recently used address comes first.
    this.agents.delete(address);
    this.agents.set(address, agent);
    const [oldest] = this.agents.keys();
    if (this.agents.size > maxAddresses && oldest !== undefined) {
      this.evict(oldest);
    }
    return agent;
  }

  /** Destroys all connections to an address; the next call opens a new one. */
  public destroyConnections(address: string): void {
    this.agents.get(address)?.destroy();
    this.agents.delete(address);
  }

  /**
   * Closes the idle connections to an address, which may be unresponsive; later calls open new
   * ones. Calls in flight keep their connections.
   */
  public discardIdleConnections(address: string): void {
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

  // Does not destroy the agent: requests in flight keep their connections until they end.
  private evict(address: string): void {
    this.agents.delete(address);
  }
}
