/**
 * Counts the unanswered requests of each caller connection, so that a
 * connection is closed only after its last response: closing it while a later
 * request of the same connection is at a target would abort that request.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { BehaviorSubject } from 'rxjs';
import { closeUnlessReceived } from '@cardamomladder/http-json';
import type { Phase } from '../lifecycle/phase';

interface CallerSocket extends Socket {
  /** Its responses that are not complete; several if the caller pipelines. */
  unanswered?: Set<ServerResponse>;
  closing?: boolean;
}

/**
 * Ends all responses of a connection as soon as its caller has ended it. Node.js emits
 * `close` for the first one only, and in a later turn of the event loop.
 */
const watchForClose = (socket: Socket): Set<ServerResponse> => {
  const unanswered = new Set<ServerResponse>();
  const endAll = () => unanswered.forEach((res) => res.emit('close'));
  ['end', 'error', 'close'].forEach((event) => socket.once(event, endAll));
  return unanswered;
};

/** Number of requests of a connection whose response is not complete. */
export const pendingOn = (socket: Socket): number => (socket as CallerSocket).unanswered?.size ?? 0;

/** Lets the connection end with this response if no other request is pending on it; returns whether it does. */
export const closeAfter = (res: ServerResponse): boolean => {
  const socket = res.req.socket as CallerSocket;
  if ((socket.unanswered?.size ?? 0) > 1) return false;
  socket.closing = true;
  res.shouldKeepAlive = false;
  return true;
};

/** The responses that go out before this one on its connection, and are not complete. */
export const responsesBefore = (res: ServerResponse): ServerResponse[] => {
  const unanswered = [...((res.req.socket as CallerSocket).unanswered ?? [])];
  return unanswered.slice(0, Math.max(0, unanswered.indexOf(res)));
};

/** The responses that go out behind this one on its connection, and are not complete. */
export const responsesBehind = (res: ServerResponse): ServerResponse[] => {
  const unanswered = [...((res.req.socket as CallerSocket).unanswered ?? [])];
  return unanswered.slice(unanswered.indexOf(res) + 1);
};

/** A request whose response is not complete. */
export interface UnansweredRequest {
  id: string | undefined;
  res: ServerResponse;
  /** Monotonic clock, ms. */
  arrivedAt: number;
}

/** Tracks the requests of all caller connections. */
export class CallerConnections {
  private readonly open = new Set<UnansweredRequest>();

  constructor(
    private readonly idOf: (req: IncomingMessage) => string | undefined,
    private readonly now: () => number,
  ) {}

  /** Number of requests whose response is not complete. */
  get unanswered(): number {
    return this.open.size;
  }

  /** These requests, in order of arrival. */
  get unansweredRequests(): UnansweredRequest[] {
    return [...this.open];
  }

  /** Counts a request; returns false if its connection is already closing and the request must not be served. */
  trackRequest(req: IncomingMessage, res: ServerResponse): boolean {
    const socket = req.socket as CallerSocket;
    if (socket.closing) return false;
    const request = { id: this.idOf(req), res, arrivedAt: this.now() };
    socket.unanswered ??= watchForClose(socket);
    const { unanswered } = socket;
    unanswered.add(res);
    this.open.add(request);
    res.once('finish', () => closeUnlessReceived(req));
    res.once('close', () => {
      unanswered.delete(res);
      this.open.delete(request);
    });
    return true;
  }

  /** Tracks a request as `trackRequest` does; while the instance is stopping, its connection is closed after the last response. */
  trackUntilAnswered(
    req: IncomingMessage,
    res: ServerResponse,
    phase: BehaviorSubject<Phase>,
  ): boolean {
    if (!this.trackRequest(req, res)) return false;
    const writeHead = res.writeHead.bind(res);
    // Whether to close the connection is decided when the response head is
    // written, since further requests may have arrived on it by then.
    Object.assign(res, {
      writeHead: (...args: Parameters<typeof res.writeHead>) => {
        if (phase.value === 'leaving') closeAfter(res);
        return writeHead(...args);
      },
    });
    req.on('error', () => {
      // The caller aborted the upload; the 'close' event of the response ends the work.
    });
    return true;
  }
}
