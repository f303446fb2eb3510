/**
 * Keep-alive connections to one target. Extends Node's agent as follows:
 *
 * - A target may send bytes after a complete response, or a late second
 *   response. On an idle connection they belong to no request; the connection is
 *   closed at the first such byte, so that they can't be taken for the response
 *   to the next request.
 * - The target may close or drop a connection that has been idle for long while
 *   a request is being written; whether the request ran is then unknown.
 *   Connections are reused up to an idle limit that adapts to resets on reuse.
 */
import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';
import { PacedAgent } from '@cardamomladder/http-json';
import type { IdleLimit } from './idleLimit';
import { MAX_IDLE_MS } from './idleLimit';

/** A reset within this time after reuse, ms, shows that the target had dropped the connection: the round trip between any two regions. */
const REUSE_RESET_WINDOW_MS = 150;
/** Fraction of the keep-alive timeout announced by a target after which an idle connection is closed. */
const ANNOUNCED_TIMEOUT_FACTOR = 0.8;
/** Maximum number of idle connections per target: about one per slot. */
const MAX_IDLE_CONNECTIONS = 8;

/** State of an idle connection. */
interface IdleState {
  since: number;
  closeOnData: () => void;
}

/** The reuse of an idle connection by a request. */
interface Reuse {
  idleMs: number;
  at: number;
}

/** HTTP agent for one target. */
export class TargetConnections extends PacedAgent {
  private readonly idle = new WeakMap<Socket, IdleState>();

  private readonly reuses = new WeakMap<ClientRequest, Reuse>();

  constructor(
    maxConnections: number,
    private readonly now: () => number,
    /** Shared by the connections to all targets of the service. */
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

  /** Called by Node when a response is complete; returns true to keep the connection open. */
  override keepSocketAlive(socket: Socket): boolean {
    const keep = super.keepSocketAlive(socket) as unknown as boolean;
    if (!keep) return false;
    // Node closes the connection exactly at the announced timeout, which is too
    // late for a request in transit at that moment.
    if (socket.timeout && socket.timeout < MAX_IDLE_MS)
      socket.setTimeout(socket.timeout * ANNOUNCED_TIMEOUT_FACTOR);
    const closeOnData = () => socket.destroy();
    this.idle.set(socket, { since: this.now(), closeOnData });
    socket.on('data', closeOnData);
    return true;
  }

  /** Called by Node when an idle connection is reused for a request. */
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    const idle = this.idle.get(socket);
    if (idle) {
      socket.removeListener('data', idle.closeOnData);
      this.reuses.set(request, { idleMs: this.now() - idle.since, at: this.now() });
    }
    this.idle.delete(socket);
    super.reuseSocket(socket, request);
  }

  /** True if at least one connection to the target is open. */
  get hasOpenConnection(): boolean {
    const all = [...Object.values(this.sockets), ...Object.values(this.freeSockets)];
    return all.some((sockets) =>
      sockets?.some((socket) => !socket.connecting && !socket.destroyed),
    );
  }

  /** Closes connections whose idle time exceeds the limit for the next request. */
  closeStaleConnections(use: 'may-repeat' | 'at-most-once'): void {
    const now = this.now();
    this.closeIdleLongerThan(
      use === 'at-most-once' ? this.idleLimit.atMostOnce(now) : this.idleLimit.current(now),
    );
  }

  /** Records that a request's connection closed before any part of a response arrived. */
  recordUnansweredClose(request: ClientRequest): void {
    const reuse = this.reuses.get(request);
    const now = this.now();
    if (reuse && now - reuse.at <= REUSE_RESET_WINDOW_MS)
      this.idleLimit.recordReset(reuse.idleMs, now);
  }

  /** Closes connections idle for longer than `ms`, so that the next request uses a more recent one. */
  closeIdleLongerThan(ms: number): void {
    const limit = this.now() - ms;
    Object.values(this.freeSockets).forEach((sockets) =>
      sockets
        ?.filter((socket) => (this.idle.get(socket)?.since ?? 0) < limit)
        .forEach((socket) => socket.destroy()),
    );
  }
}
