/** A TCP proxy on loopback that injects network faults between two unmodified processes. */
import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

/**
 * `delay`: every chunk is delayed. `silent`: no data is forwarded, new
 * connections hang. `one-way`: only the client's data is forwarded. `refuse`:
 * new connections are reset. `old-silent`: connections open now never forward
 * data again, new ones work.
 */
export type ProxyFault = 'none' | 'delay' | 'silent' | 'one-way' | 'refuse' | 'old-silent';

export interface FaultProxy {
  address: string;
  /** Sets the address to which new connections are forwarded. */
  setTarget: (host: string, port: number) => void;
  setFault: (fault: ProxyFault) => void;
  /** Resets all open connections. */
  resetAll: () => void;
  close: () => Promise<void>;
}

/** Delay of each chunk under `delay`, ms. */
const DELAY_MS = 120;

interface ProxiedConnection {
  client: Socket;
  upstream: Socket;
  /** True if no data is forwarded any more. */
  stalled: boolean;
}

/** Starts a proxy on a free loopback port. */
export const startFaultProxy = async (): Promise<FaultProxy> => {
  let current: ProxyFault = 'none';
  let upstreamAddress = { host: '127.0.0.1', port: 0 };
  const connections = new Set<ProxiedConnection>();
  /** Writes and new connections deferred by a fault, carried out when it ends. */
  const deferred: (() => void)[] = [];

  const forward = (
    connection: ProxiedConnection,
    to: Socket,
    toClient: boolean,
    chunk: Buffer,
  ): void => {
    const write = () => {
      if (!to.destroyed) to.write(chunk);
    };
    if (connection.stalled) return;
    if (current === 'silent' || (current === 'one-way' && toClient)) deferred.push(write);
    else if (current === 'delay') setTimeout(write, DELAY_MS);
    else write();
  };
  const openUpstream = (client: Socket): void => {
    const upstream = connect(upstreamAddress);
    const connection: ProxiedConnection = { client, upstream, stalled: false };
    connections.add(connection);
    client.on('data', (chunk: Buffer) => forward(connection, upstream, false, chunk));
    upstream.on('data', (chunk: Buffer) => forward(connection, client, true, chunk));
    const closeOther = (peer: Socket) => () => {
      connections.delete(connection);
      if (!connection.stalled) setTimeout(() => peer.destroy(), current === 'delay' ? DELAY_MS : 0);
    };
    client.on('error', () => upstream.resetAndDestroy());
    upstream.on('error', () => client.resetAndDestroy());
    client.on('close', closeOther(upstream));
    upstream.on('close', closeOther(client));
  };
  const server = createServer((client) => {
    if (current === 'refuse') client.resetAndDestroy();
    else if (current === 'silent') deferred.push(() => openUpstream(client));
    else openUpstream(client);
    client.on('error', () => {});
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const resetAll = (): void =>
    connections.forEach(({ client, upstream }) => {
      client.resetAndDestroy();
      upstream.resetAndDestroy();
    });

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    setTarget: (host, port) => {
      upstreamAddress = { host, port };
    },
    setFault: (fault) => {
      current = fault;
      if (fault === 'old-silent')
        connections.forEach((connection) => Object.assign(connection, { stalled: true }));
      if (fault !== 'silent' && fault !== 'one-way') deferred.splice(0).forEach((send) => send());
    },
    resetAll,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        resetAll();
      }),
  };
};
