/**
 * Closes the connections of a server without losing what was sent on them (RFC 9112, 9.6).
 * The system resets a socket that is closed while its peer still writes, and a reset
 * discards what the peer has not received. So the sending half is closed first, and what
 * arrives is read and discarded until the peer closes its own half, within limits.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { Server as NetServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** Why a server closes a connection. */
export type CloseReason = 'answered' | 'idle' | 'refused' | 'stop' | 'broken-off';

/** What ended a connection after its sending half was closed: the peer in order, a reset, or a limit. */
export type CloseEnd = 'peer' | 'reset' | 'time' | 'bytes' | 'number';

/** A connection that a server has closed. */
export interface ClosedConnection {
  reason: CloseReason;
  endedBy: CloseEnd;
  /** Id of the last request that was answered on it. */
  lastAnswered: string | undefined;
  /** Ids of its requests that have no whole response; undefined for a request without an id. */
  unanswered: (string | undefined)[];
  /** From the close of the sending half to the end, ms. */
  lingeredMs: number;
  discardedBytes: number;
  /** What had not been handed to the system. */
  unsentBytes: number;
}

/** What bounds the connections whose sending half is closed. */
export interface LingerLimits {
  /** For one connection, ms. */
  maxMs: number;
  /** What is read of one connection; from then on its peer has to wait. */
  maxBytes: number;
  /** For a connection on which more arrives than is read, ms. */
  maxMsOverBytes: number;
  /** Number of such connections of one server; the oldest ones are closed at once. */
  maxConnections: number;
}

const LINGER_LIMITS: LingerLimits = {
  maxMs: 10_000,
  maxBytes: 1024 * 1024,
  maxMsOverBytes: 500,
  maxConnections: 1000,
};

/** What varies between the servers. */
export interface CloserOptions {
  idOf: (req: IncomingMessage) => string | undefined;
  /** Whether a stop waits for the response to a request. */
  isAwaited: (req: IncomingMessage) => boolean;
  onClosed: (closed: ClosedConnection) => void;
  limits: LingerLimits;
}

const DEFAULT_OPTIONS: CloserOptions = {
  idOf: () => undefined,
  isAwaited: () => true,
  onClosed: () => {},
  limits: LINGER_LIMITS,
};

/** The state of a connection whose sending half is closed. */
interface Closing {
  reason: CloseReason;
  /** Monotonic clock, ms. */
  since: number;
  endedBy: CloseEnd;
  unanswered: (string | undefined)[];
  timer?: NodeJS.Timeout;
}

/** The state of an open connection. */
interface Connection {
  socket: Socket;
  /** Its responses that are not complete, in order. */
  pending: Set<ServerResponse>;
  lastAnswered?: string;
  /** Set once its requests are no longer read. */
  discardedBytes?: number;
  /** Set once the sending half is closed. */
  closing?: Closing;
}

/** Responses without length or final chunk, whose end is that of their connection. */
const unframedResponses = new WeakSet<ServerResponse>();

/** Tells that a response ends with its connection, so that an orderly close makes it look complete. */
export const endsWithConnection = (res: ServerResponse): void => {
  unframedResponses.add(res);
};

const closeReasons = new WeakMap<Socket, CloseReason>();

/** Why this process closed a connection; undefined if it has not, so that the peer ended it. */
export const closeReasonOf = (socket: Socket): CloseReason | undefined => closeReasons.get(socket);

/** Ends a response early, and its connection, without making it look complete or losing the responses before it. */
export const breakOff = (res: ServerResponse): void => {
  const { socket } = res;
  if (!socket) {
    if (!res.destroyed) res.once('socket', () => breakOff(res));
    return;
  }
  closeReasons.set(socket, 'broken-off');
  if (res.headersSent && unframedResponses.has(res)) socket.resetAndDestroy();
  else socket.destroySoon();
};

/** Closes the connections of one server, and replaces the closes that Node.js makes itself. */
export class ConnectionCloser {
  private readonly open = new Map<Socket, Connection>();

  /** The connections whose sending half is closed, oldest first. */
  private readonly lingering = new Set<Connection>();

  private isStopping = false;

  private onAllClosed = () => {};

  private readonly options: CloserOptions;

  constructor(
    private readonly server: Server,
    options: Partial<CloserOptions> = {},
  ) {
    this.options = { ...DEFAULT_OPTIONS, ...options };
    server.on('connection', (socket: Socket) => this.accept(socket));
    server.on('request', (req: IncomingMessage, res: ServerResponse) => this.track(req, res));
    server.on('timeout', (socket: Socket) => this.close(socket, 'idle'));
  }

  /** The responses of a connection that are not complete, in order. */
  pendingOf(socket: Socket): ReadonlySet<ServerResponse> {
    return this.open.get(socket)?.pending ?? new Set();
  }

  /** True once the sending half of a connection is closed. */
  isClosing(socket: Socket): boolean {
    return this.open.get(socket)?.closing !== undefined;
  }

  /** Reads and discards what arrives on a connection from now on, instead of parsing it; up to a limit, beyond which the peer has to wait. */
  discardInput(socket: Socket): void {
    const connection = this.open.get(socket);
    if (!connection || connection.discardedBytes !== undefined) return;
    connection.discardedBytes = 0;
    socket.removeAllListeners('data');
    socket.on('data', (part: Buffer) => this.discard(connection, part.length));
    socket.resume();
  }

  /** Closes the sending half of a connection after all that was written to it, and the rest once the peer has closed its own or a limit is reached. */
  close(socket: Socket, reason: CloseReason): void {
    const connection = this.open.get(socket);
    if (!connection || connection.closing || socket.destroyed) return;
    const { maxMs, maxConnections } = this.options.limits;
    const { unanswered, closing } = this.beginClose(connection, reason);
    closing.timer = setTimeout(() => this.end(connection, 'time'), maxMs).unref();
    unanswered.forEach((res) => {
      // A later write would destroy the socket with all that it has not sent.
      if (res.socket === socket && !res.writableEnded) res.detachSocket(socket);
      // Node.js tells only the first of them, and only once the connection is gone.
      res.emit('close');
    });
    socket.setTimeout(0);
    socket.end();
    this.discardInput(socket);
    this.discard(connection, 0);
    this.lingering.add(connection);
    if (this.lingering.size <= maxConnections || this.isStopping) return;
    const [oldest] = this.lingering;
    this.end(oldest, 'number');
  }

  /** Stops listening, and closes all connections, each after the responses that are awaited; cuts off what is left after `ms`, and resolves then. */
  async closeAll(ms: number): Promise<void> {
    this.isStopping = true;
    // The method of the http server destroys connections that are not in use.
    if (this.server.listening) NetServer.prototype.close.call(this.server);
    this.open.forEach((connection) => this.closeWhenAnswered(connection));
    let timer: NodeJS.Timeout | undefined;
    await new Promise<void>((resolve) => {
      timer = setTimeout(resolve, ms);
      this.onAllClosed = resolve;
      if (this.open.size === 0) resolve();
    });
    clearTimeout(timer);
    this.open.forEach((connection) => this.cutOff(connection));
    // The connections that were cut off are reported at the end of this turn of the event loop.
    await sleep(1);
    this.server.close();
  }

  private closeWhenAnswered({ socket, pending }: Connection): void {
    if (![...pending].some(({ req }) => this.options.isAwaited(req))) this.close(socket, 'stop');
  }

  private accept(socket: Socket): void {
    const connection: Connection = { socket, pending: new Set() };
    this.open.set(socket, connection);
    // Node.js closes a connection in this way after its last response.
    Object.assign(socket, { destroySoon: () => this.close(socket, 'answered') });
    socket.once('error', () => {
      if (connection.closing) connection.closing.endedBy = 'reset';
    });
    socket.once('close', () => this.forget(connection));
    if (this.isStopping) this.close(socket, 'stop');
  }

  private track(req: IncomingMessage, res: ServerResponse): void {
    const connection = this.open.get(req.socket);
    if (!connection) return;
    connection.pending.add(res);
    res.once('close', () => {
      connection.pending.delete(res);
      if (res.writableFinished) connection.lastAnswered = this.options.idOf(req);
      if (this.isStopping) this.closeWhenAnswered(connection);
    });
  }

  /** Records why a connection is closed; returns its responses that are not complete. */
  private beginClose(connection: Connection, reason: CloseReason) {
    const unanswered = [...connection.pending].filter(({ writableFinished }) => !writableFinished);
    if (!closeReasons.has(connection.socket)) closeReasons.set(connection.socket, reason);
    const closing: Closing = {
      reason: closeReasons.get(connection.socket) ?? reason,
      since: performance.now(),
      endedBy: 'peer',
      unanswered: unanswered.map(({ req }) => this.options.idOf(req)),
    };
    return { unanswered, closing: Object.assign(connection, { closing }).closing };
  }

  private discard(connection: Connection, bytes: number): void {
    const { closing, socket } = connection;
    const { maxBytes, maxMsOverBytes } = this.options.limits;
    const discardedBytes = (connection.discardedBytes ?? 0) + bytes;
    Object.assign(connection, { discardedBytes });
    if (discardedBytes <= maxBytes) return;
    socket.pause();
    if (!closing) return;
    clearTimeout(closing.timer);
    const elapsedMs = performance.now() - closing.since;
    closing.timer = setTimeout(() => this.end(connection, 'bytes'), maxMsOverBytes - elapsedMs);
  }

  /** Ends a connection at once, without making a part of a response look complete. */
  private cutOff(connection: Connection): void {
    const { socket, pending } = connection;
    const [current] = pending;
    if (!connection.closing) this.beginClose(connection, 'stop');
    if (current?.headersSent && unframedResponses.has(current)) socket.resetAndDestroy();
    this.end(connection, 'time');
  }

  private end(connection: Connection, endedBy: CloseEnd): void {
    const { closing, socket } = connection;
    if (closing) closing.endedBy = endedBy;
    socket.destroy();
  }

  private forget(connection: Connection): void {
    const { socket, closing, lastAnswered, discardedBytes = 0 } = connection;
    this.open.delete(socket);
    this.lingering.delete(connection);
    if (this.open.size === 0) this.onAllClosed();
    if (!closing) return;
    clearTimeout(closing.timer);
    this.options.onClosed({
      reason: closing.reason,
      endedBy: closing.endedBy,
      lastAnswered,
      unanswered: closing.unanswered,
      lingeredMs: performance.now() - closing.since,
      discardedBytes,
      unsentBytes: socket.writableLength,
    });
  }
}
