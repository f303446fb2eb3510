/** Closes the connections of the servers without losing what was sent, and logs those whose peer may not have received it. */
import type { IncomingMessage, Server } from 'node:http';
import type { ClosedConnection } from '@cardamomladder/http-json';
import { ConnectionCloser, refuseMalformed } from '@cardamomladder/http-json';
import type { Components } from '../components';
import { requestIdOf } from '../requests/callerRequest';

/** Number of requests without an answer that a line names. */
const MAX_UNANSWERED_LOGGED = 20;

/** Creates the closer of a server, which also refuses malformed requests on it; a stop waits for the responses to requests that are `isAwaited`. */
export const createConnectionCloser = (
  server: Server,
  isAwaited: (req: IncomingMessage) => boolean,
  { wire, metrics, log }: Pick<Components, 'wire' | 'metrics' | 'log'>,
): ConnectionCloser => {
  const idOf = (req: IncomingMessage) => requestIdOf(req, wire.headers);
  const onClosed = ({ lastAnswered, unanswered, lingeredMs, ...closed }: ClosedConnection) => {
    const { reason, endedBy } = closed;
    metrics.connectionsClosed.inc({ reason, ended_by: endedBy });
    if (endedBy === 'peer' && unanswered.length === 0 && reason !== 'refused') return;
    log.write('connection', lastAnswered, {
      ...closed,
      lingeredMs: Math.round(lingeredMs),
      unanswered: unanswered.slice(0, MAX_UNANSWERED_LOGGED),
    });
  };
  const closer = new ConnectionCloser(server, { idOf, isAwaited, onClosed });
  refuseMalformed(server, closer);
  return closer;
};
