/**
 * Kept connections to one target. Beyond what Node's agent does:
 *
 * - A target may send bytes after a complete answer, or a second answer late.
 *   On an idle connection they belong to no request; the connection is closed
 *   at the first such byte, so that they can't be read as the next answer.
 * - A connection that was idle for long may be closed or forgotten at the far
 *   end while a request is being written, and nobody can tell whether it ran.
 *   Connections are used up to a limit of idle time that resets on reuse teach.
 */
import type { ClientRequest } from 'node:http';
import { Agent } from 'node:http';
import type { Socket } from 'node:net';
import type { IdleLimit } from './idleLimit';
import { MAX_IDLE_MS } from './idleLimit';

/** A reset this soon after a connection's reuse, ms, shows that the far end had forgotten it: the way there and back between any two regions. */
const REUSE_RESET_WINDOW_MS = 150;
/** Part of the idle time that a target announces for which a connection is kept. */
const ANNOUNCED_TIMEOUT_FACTOR = 0.8;
/** Most idle connections kept per target: about one per slot. */
const MAX_IDLE_CONNECTIONS = 8;

/** What is kept of an idle connection. */
interface IdleState {
  since: number;
  closeOnData: () => void;
}

/** A request on a connection that was idle before it. */
interface Reuse {
  idleMs: number;
  at: number;
}

/** The agent of one target. */
export class TargetConnections extends Agent {
  private readonly idle = new WeakMap<Socket, IdleState>();

  private readonly reuses = new WeakMap<ClientRequest, Reuse>();

  constructor(
    maxConnections: number,
    private readonly now: () => number,
    /** Shared by the connections to all targets of a service. */
    private readonly idleLimit: IdleLimit,
  ) {
    super({
      keepAlive: true,
      keepAliveMsecs: MAX_IDLE_MS,
      maxSockets: maxConnections,
      maxFreeSockets: MAX_IDLE_CONNECTIONS,
      scheduling: 'lifo',
      timeout: MAX_IDLE_MS,
    });
  }

  /** Node calls this when an answer is complete; true keeps the connection. */
  override keepSocketAlive(socket: Socket): boolean {
    const keep = super.keepSocketAlive(socket) as unknown as boolean;
    if (!keep) return false;
    // Node closes at the very moment that the target announced, too late for a
    // request that is then on its way.
    if (socket.timeout && socket.timeout < MAX_IDLE_MS)
      socket.setTimeout(socket.timeout * ANNOUNCED_TIMEOUT_FACTOR);
    const closeOnData = () => socket.destroy();
    this.idle.set(socket, { since: this.now(), closeOnData });
    socket.on('data', closeOnData);
    return true;
  }

  /** Node calls this when a kept connection takes the next request. */
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    const idle = this.idle.get(socket);
    if (idle) {
      socket.removeListener('data', idle.closeOnData);
      this.reuses.set(request, { idleMs: this.now() - idle.since, at: this.now() });
    }
    this.idle.delete(socket);
    super.reuseSocket(socket, request);
  }

  /** True while at least one connection to the target is open. */
  get hasOpenConnection(): boolean {
    const all = [...Object.values(this.sockets), ...Object.values(this.freeSockets)];
    return all.some((sockets) =>
      sockets?.some((socket) => !socket.connecting && !socket.destroyed),
    );
  }

  /** Closes connections that have been idle for too long for the next request. */
  closeStaleConnections(use: 'may-repeat' | 'at-most-once'): void {
    const now = this.now();
    this.closeIdleLongerThan(
      use === 'at-most-once' ? this.idleLimit.atMostOnce(now) : this.idleLimit.current(now),
    );
  }

  /** Takes it that a request's connection closed before any of its answer came. */
  recordUnansweredClose(request: ClientRequest): void {
    const reuse = this.reuses.get(request);
    const now = this.now();
    if (reuse && now - reuse.at <= REUSE_RESET_WINDOW_MS)
      this.idleLimit.recordReset(reuse.idleMs, now);
  }

  /** Closes connections idle for longer than `ms`, so that the next request uses a fresher one. */
  closeIdleLongerThan(ms: number): void {
    const limit = this.now() - ms;
    Object.values(this.freeSockets).forEach((sockets) =>
      sockets
        ?.filter((socket) => (this.idle.get(socket)?.since ?? 0) < limit)
        .forEach((socket) => socket.destroy()),
    );
  }
}
