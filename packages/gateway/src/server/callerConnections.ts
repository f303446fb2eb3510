/**
 * Counts the unanswered requests of each caller connection, so that a
 * connection is closed only with its last answer: closing while a later
 * request of the same connection is at a target would leave that one cut.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

interface CallerSocket extends Socket {
  unanswered?: number;
  closing?: boolean;
}

/** Tracks the requests of all caller connections. */
export class CallerConnections {
  /** Requests not fully answered. */
  unanswered = 0;

  /** Counts a request; false when its connection is already closing and it must not be served. */
  take(req: IncomingMessage, res: ServerResponse): boolean {
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

  /** Makes this answer the connection's last, if no other request waits behind it. */
  closeAfter(req: IncomingMessage, res: ServerResponse): void {
    const socket = req.socket as CallerSocket;
    if ((socket.unanswered ?? 1) > 1) return;
    socket.closing = true;
    res.shouldKeepAlive = false;
  }
}
