/** Closes the connections of the servers without losing what was sent, and logs those whose peer may not have received it. */
import type { Server } from 'node:http';
import type { ClosedConnection } from '@cardamomladder/http-json';
import { ConnectionCloser, refuseMalformed } from '@cardamomladder/http-json';
import type { Components } from '../components';
import { requestIdOf } from '../requests/callerRequest';

/** Creates the closer of a server, which also refuses malformed requests on it. */
export const createConnectionCloser = (
  server: Server,
  { wire, metrics, log }: Pick<Components, 'wire' | 'metrics' | 'log'>,
): ConnectionCloser => {
  const onClosed = ({ lastAnswered, lingeredMs, ...closed }: ClosedConnection): void => {
    const { reason, endedBy, unanswered } = closed;
    metrics.connectionsClosed.inc({ reason, ended_by: endedBy });
    if (endedBy === 'peer' && unanswered === 0 && reason !== 'refused') return;
    log.write('connection', lastAnswered && requestIdOf(lastAnswered, wire.headers), {
      ...closed,
      lingeredMs: Math.round(lingeredMs),
    });
  };
  const closer = new ConnectionCloser(server, onClosed);
  refuseMalformed(server, closer);
  return closer;
};
