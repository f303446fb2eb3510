/**
 * Observes whether connections wait to be accepted. Node.js accepts one connection of
 * a server in each turn of the event loop, so that while turns are long, connections
 * and the requests on them wait in the kernel, although no timer is late.
 */
import type { Server } from 'node:net';

/** Connections that were accepted one in each turn, without a turn in between. */
export interface AcceptRun {
  connections: number;
  /** From the first to the end of the turn after the last one. */
  ms: number;
}

/** The queue of connections of one server. */
export class AcceptQueue {
  private run: { connections: number; since: number } | undefined;

  private acceptedInTurn = false;

  /** `onRunEnd` is called when a turn accepts no connection after turns that did. */
  constructor(
    private readonly now: () => number,
    private readonly onRunEnd: (run: AcceptRun) => void,
  ) {}

  /** Observes a server from now on. */
  watch(server: Server): void {
    server.on('connection', () => this.accepted());
  }

  /** True if the last turn accepted a connection, so that further ones may wait. */
  get mayHoldMore(): boolean {
    return this.run !== undefined;
  }

  private accepted(): void {
    this.acceptedInTurn = true;
    if (this.run) {
      this.run.connections += 1;
      return;
    }
    this.run = { connections: 1, since: this.now() };
    setImmediate(this.endTurn);
  }

  private readonly endTurn = (): void => {
    if (!this.run) return;
    if (this.acceptedInTurn) {
      this.acceptedInTurn = false;
      setImmediate(this.endTurn);
      return;
    }
    const { connections, since } = this.run;
    this.run = undefined;
    this.onRunEnd({ connections, ms: this.now() - since });
  };
}
