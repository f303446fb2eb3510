/**
 * Counts the unanswered requests of each caller connection, so that a
 * connection is closed only after its last response: closing it while a later
 * request of the same connection is at a target would abort that request.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { BehaviorSubject } from 'rxjs';
import type { Phase } from '../lifecycle/phase';

interface CallerSocket extends Socket {
  unanswered?: number;
  closing?: boolean;
}

/** Tracks the requests of all caller connections. */
export class CallerConnections {
  /** Requests whose response is not complete. */
  unanswered = 0;

  /** Counts a request; returns false if its connection is already closing and the request must not be served. */
  trackRequest(req: IncomingMessage, res: ServerResponse): boolean {
    const socket = req.socket as CallerSocket;
    if (socket.closing) return false;
    socket.unanswered = (socket.unanswered ?? 0) + 1;
    this.unanswered += 1;
    res.once('close', () => {
      socket.unanswered = (socket.unanswered ?? 1) - 1;
      this.unanswered -= 1;
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
        if (phase.value === 'leaving' || phase.value === 'refusing') this.closeAfter(req, res);
        return writeHead(...args);
      },
    });
    req.on('error', () => {
      // The caller aborted the upload; the 'close' event of the response ends the work.
    });
    return true;
  }

  /** Closes the connection after this response if no other request is pending on it. */
  closeAfter(req: IncomingMessage, res: ServerResponse): void {
    const socket = req.socket as CallerSocket;
    if ((socket.unanswered ?? 1) > 1) return;
    socket.closing = true;
    res.shouldKeepAlive = false;
  }
}
