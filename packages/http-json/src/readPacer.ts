/**
 * Spreads the parsing of what connections have sent over turns of the event loop.
 * Node.js reads up to 2 MiB of a connection in one turn, and hands each chunk of a body
 * and each pipelined request to its listeners at once; if they are small, everything else
 * waits for hundreds of thousands of events. So what is read is parsed in parts, and once
 * the parts of a turn have taken their time, for all connections together, the rest waits
 * for the next turns, one part of each connection after the other. A connection with a
 * rest is not read, so that its peer has to wait.
 */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** Time for which parts are parsed in one turn, for all connections together, ms. */
const TURN_MS = 5;
/** Duration of a part from which the next one of its connection is smaller, ms. */
const MAX_PART_MS = 1;
/** Duration up to which the next part is larger, ms. */
const MIN_PART_MS = 0.25;
const MIN_PART_BYTES = 512;
const FIRST_PART_BYTES = 8 * 1024;
/** What Node.js reads at once. */
const MAX_PART_BYTES = 64 * 1024;

/** Clock and scheduler of a pacer. */
export interface PacerOptions {
  /** Monotonic clock, ms. */
  now: () => number;
  /** Calls back in the next turn of the event loop, after connections were read. */
  nextTurn: (callback: () => void) => void;
}

/** A connection whose parsing is paced. */
class PacedConnection {
  /** What was read and not parsed yet. */
  private rest: Buffer[] = [];

  /** True once the peer has ended the connection behind the rest. */
  private isEndRead = false;

  /** Number of holds that were not released. */
  private holds = 0;

  /** False while the socket's buffer is full, since nobody reads it. */
  private isWanted = true;

  private partBytes = FIRST_PART_BYTES;

  /** True if each read waits for another turn of the event loop than the one before it. */
  isReadSeparately = false;

  constructor(
    private readonly socket: Socket,
    /** Hands data to the listeners of the socket. */
    private readonly push: (data: Buffer | null) => boolean,
  ) {}

  get hasRest(): boolean {
    return this.rest.length > 0 || this.isEndRead;
  }

  get isHeld(): boolean {
    return this.holds > 0;
  }

  /** True if more is to be read for now. */
  get readsOn(): boolean {
    return this.isWanted && !this.isHeld && !this.hasRest;
  }

  /** True if the rest can be parsed. */
  get isReady(): boolean {
    return this.hasRest && this.isWanted && !this.isHeld && !this.socket.destroyed;
  }

  add(data: Buffer | null): void {
    if (data === null) this.isEndRead = true;
    else this.rest.push(data);
  }

  discardRest(): void {
    this.rest = [];
    this.isEndRead = false;
  }

  want(): void {
    this.isWanted = true;
  }

  hold(): void {
    this.holds += 1;
  }

  release(): void {
    this.holds -= 1;
  }

  /** Parses the next part of the rest; returns how long it took, ms. */
  parsePart(now: () => number): number {
    const part = this.takePart();
    const since = now();
    if (part === undefined) {
      this.isEndRead = false;
      this.push(null);
      // As Node.js does, so that the end is emitted without a reader.
      this.socket.read(0);
      return now() - since;
    }
    this.isWanted = this.push(part);
    const ms = now() - since;
    if (ms > MAX_PART_MS) this.partBytes = Math.max(MIN_PART_BYTES, this.partBytes / 2);
    else if (ms < MIN_PART_MS && part.length === this.partBytes)
      this.partBytes = Math.min(MAX_PART_BYTES, this.partBytes * 2);
    return ms;
  }

  private takePart(): Buffer | undefined {
    const [first] = this.rest;
    if (first === undefined || first.length <= this.partBytes) return this.rest.shift();
    this.rest[0] = first.subarray(this.partBytes);
    return first.subarray(0, this.partBytes);
  }
}

/** Paces the connections of one event loop. */
export class ReadPacer {
  private readonly paced = new WeakMap<Socket, PacedConnection>();

  /** The connections with a rest that can be parsed, in turn. */
  private readonly waiting = new Set<PacedConnection>();

  /** Time for which parts were parsed in this turn, ms. */
  private spentMs = 0;

  private isScheduled = false;

  constructor(private readonly options: PacerOptions) {}

  /** Number of connections with a rest that waits for another turn. */
  get waitingConnections(): number {
    return this.waiting.size;
  }

  /** Paces a socket from now on; to be called before it is read. */
  pace(socket: Socket): void {
    if (this.paced.has(socket)) return;
    const connection = new PacedConnection(socket, socket.push.bind(socket));
    this.paced.set(socket, connection);
    // eslint-disable-next-line no-underscore-dangle -- the method by which streams are implemented
    const readMore = socket._read.bind(socket);
    Object.assign(socket, {
      push: (data: Buffer | null) => this.receive(connection, data),
      _read: (bytes: number) => {
        connection.want();
        if (connection.hasRest) this.enqueue(connection);
        else if (connection.isReadSeparately) this.options.nextTurn(() => readMore(bytes));
        else readMore(bytes);
      },
    });
    socket.once('close', () => {
      connection.discardRest();
      this.waiting.delete(connection);
    });
  }

  /** True if a part of what was read is not parsed yet. */
  hasRest(socket: Socket): boolean {
    return this.paced.get(socket)?.hasRest ?? false;
  }

  /**
   * Reads a connection once in a turn of the event loop from now on. While it reads on,
   * Node.js takes a reset that is there behind the data for the end of the connection;
   * the next read by itself fails with it.
   */
  readSeparately(socket: Socket): void {
    const connection = this.paced.get(socket);
    if (connection) connection.isReadSeparately = true;
  }

  /** Parses nothing of a connection until the function that is returned has been called. */
  hold(socket: Socket): () => void {
    const connection = this.paced.get(socket);
    if (!connection) return () => {};
    connection.hold();
    this.waiting.delete(connection);
    let isReleased = false;
    return () => {
      if (isReleased) return;
      isReleased = true;
      connection.release();
      this.enqueue(connection);
    };
  }

  /** Takes what was read; returns false if nothing more is to be read for now. */
  private receive(connection: PacedConnection, data: Buffer | null): boolean {
    const isFirst = !connection.hasRest;
    connection.add(data);
    if (isFirst && connection.isReady && this.spentMs < TURN_MS) this.parsePart(connection);
    this.enqueue(connection);
    return connection.readsOn && !connection.isReadSeparately;
  }

  private enqueue(connection: PacedConnection): void {
    if (!connection.isReady) return;
    this.waiting.add(connection);
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.options.nextTurn(() => {
      this.isScheduled = false;
      this.parseWaiting();
    });
  }

  /** Parses parts of the connections that wait, in turn, until the time of a turn is used up. */
  private parseWaiting(): void {
    do {
      const [next] = this.waiting;
      if (!next) break;
      this.waiting.delete(next);
      this.parsePart(next);
      this.enqueue(next);
    } while (this.spentMs < TURN_MS);
    this.spentMs = 0;
  }

  private parsePart(connection: PacedConnection): void {
    this.spentMs += connection.parsePart(this.options.now);
    // Lets the time of the next turn begin anew, also if no rest is left.
    if (this.spentMs > MIN_PART_MS) this.schedule();
  }
}

/** The pacer of this process. */
export const readPacer = new ReadPacer({
  now: () => performance.now(),
  nextTurn: (callback) => setImmediate(callback),
});

const ignoreData = (): void => {};

/** Paces the connections that a server accepts. */
export const paceConnections = (server: Server): void => {
  server.on('connection', (socket: Socket) => {
    readPacer.pace(socket);
    // Node.js parses a connection without its stream until the stream has a listener.
    socket.on('data', ignoreData);
    socket.removeListener('data', ignoreData);
  });
};
