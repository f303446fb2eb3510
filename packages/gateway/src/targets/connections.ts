/**
 * Kept connections to one target. Beyond what Node's agent does:
 *
 * - A target may send bytes after a complete answer, or a second answer late.
 *   On an idle connection they belong to no request; the connection is closed
 *   at the first such byte, so that they can't be read as the next answer.
 * - A connection that was idle for long may be closed or forgotten at the far
 *   end while a request is being written, and nobody can tell whether it ran.
 *   Requests that must not run twice only use connections idle for less than
 *   `FRESH_IDLE_MS`; others for less than `KEPT_IDLE_MS`.
 */
import type { ClientRequest } from 'node:http';
import { Agent } from 'node:http';
import type { Socket } from 'node:net';

/** Idle connections are closed after this, ms: below the ten seconds after which targets close them. */
export const KEPT_IDLE_MS = 4000;
/** Longest idle time for requests that must not run twice, ms. */
export const FRESH_IDLE_MS = 1000;
/** Most idle connections kept per target: about one per slot. */
const IDLE_MOST = 8;

/** What is kept of an idle connection. */
interface Idle {
  since: number;
  closeOnData: () => void;
}

/** The agent of one target. */
export class TargetConnections extends Agent {
  private readonly idle = new WeakMap<Socket, Idle>();

  constructor(
    maxConnections: number,
    private readonly now: () => number,
  ) {
    super({
      keepAlive: true,
      keepAliveMsecs: KEPT_IDLE_MS,
      maxSockets: maxConnections,
      maxFreeSockets: IDLE_MOST,
      scheduling: 'lifo',
      timeout: KEPT_IDLE_MS,
    });
  }

  /** Node calls this when an answer is complete; true keeps the connection. */
  override keepSocketAlive(socket: Socket): boolean {
    const keep = super.keepSocketAlive(socket) as unknown as boolean;
    if (!keep) return false;
    const closeOnData = () => socket.destroy();
    this.idle.set(socket, { since: this.now(), closeOnData });
    socket.on('data', closeOnData);
    return true;
  }

  /** Node calls this when a kept connection takes the next request. */
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    const idle = this.idle.get(socket);
    if (idle) socket.removeListener('data', idle.closeOnData);
    this.idle.delete(socket);
    super.reuseSocket(socket, request);
  }

  /** Closes connections idle for longer than `ms`, so that the next request uses a fresher one. */
  closeIdleOver(ms: number): void {
    const limit = this.now() - ms;
    Object.values(this.freeSockets).forEach((sockets) =>
      sockets
        ?.filter((socket) => (this.idle.get(socket)?.since ?? 0) < limit)
        .forEach((socket) => socket.destroy()),
    );
  }
}
