/** Checks whether an address refuses connections, which shows that no process listens there. */
import { connect } from 'node:net';
import { CONNECT_TIMEOUT_MS } from './attempt';

/** Tries to connect and closes the connection; true if it is refused. */
export const refusesConnections = (host: string, port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const socket = connect({ host, port, timeout: CONNECT_TIMEOUT_MS });
    const done = (refuses: boolean) => {
      socket.destroy();
      resolve(refuses);
    };
    socket.on('connect', () => done(false));
    socket.on('timeout', () => done(false));
    socket.on('error', (error: NodeJS.ErrnoException) => done(error.code === 'ECONNREFUSED'));
  });
