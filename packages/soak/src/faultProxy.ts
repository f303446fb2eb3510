/** A TCP proxy on loopback that injects network faults between two unmodified processes. */
import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { readPacer } from '@cardamomladder/http-json';

/**
 * `delay`: every chunk is delayed. `silent`: no data is forwarded, new
 * connections hang. `one-way`: only the client's data is forwarded. `refuse`:
 * new connections are reset. `new-silent`: new connections hang, open ones work.
 * `old-silent`: connections open now never forward data again, new ones work.
 */
export type ProxyFault =
  'none' | 'delay' | 'silent' | 'one-way' | 'refuse' | 'new-silent' | 'old-silent';

export interface FaultProxy {
  address: string;
  /** Sets the address to which new connections are forwarded. */
  setTarget: (host: string, port: number) => void;
  setFault: (fault: ProxyFault) => void;
  /** Sets a fault for the connections from one source address only. */
  setSourceFault: (sourceAddress: string, fault: ProxyFault) => void;
  /** Resets all open connections, or those from one source address. */
  resetAll: (sourceAddress?: string) => void;
  close: () => Promise<void>;
}

/** Delay of each chunk under `delay`, ms. */
const DELAY_MS = 120;

/** Faults during which writes or new connections are deferred. */
const DEFERRING_FAULTS = new Set<ProxyFault>(['silent', 'one-way', 'new-silent']);

interface ProxiedConnection {
  source: string;
  client: Socket;
  upstream: Socket;
  /** True if no data is forwarded any more. */
  stalled: boolean;
  /** Number of chunks to each side that a fault holds back. */
  held: Map<Socket, number>;
}

/** Reads a connection so that a reset behind data is not taken for an end, and passed on as one. */
const tellResetFromEnd = (socket: Socket): void => {
  readPacer.pace(socket);
  readPacer.readSeparately(socket);
};

/** Starts a proxy on a free loopback port. */
export const startFaultProxy = async (): Promise<FaultProxy> => {
  let current: ProxyFault = 'none';
  const faultBySource = new Map<string, ProxyFault>();
  const faultOf = (source: string): ProxyFault => faultBySource.get(source) ?? current;
  let upstreamAddress = { host: '127.0.0.1', port: 0 };
  const connections = new Set<ProxiedConnection>();
  const clients = new Set<Socket>();
  /** Writes and new connections deferred by a fault, carried out when it ends. */
  const deferred: { source: string; carryOut: () => void }[] = [];
  const carryOutDeferred = (): void => {
    const isOver = ({ source }: { source: string }) => !DEFERRING_FAULTS.has(faultOf(source));
    const due = deferred.filter(isOver);
    deferred.splice(0, deferred.length, ...deferred.filter((entry) => !isOver(entry)));
    due.forEach(({ carryOut }) => carryOut());
  };

  const forward = (
    connection: ProxiedConnection,
    to: Socket,
    toClient: boolean,
    chunk: Buffer,
  ): void => {
    const { source, held } = connection;
    const heldBefore = held.get(to) ?? 0;
    const write = () => {
      if (!to.destroyed) to.write(chunk);
    };
    const hold = () => {
      held.set(to, heldBefore + 1);
      return () => {
        held.set(to, (held.get(to) ?? 0) - 1);
        write();
      };
    };
    const fault = faultOf(source);
    if (connection.stalled) return;
    if (fault === 'silent' || (fault === 'one-way' && toClient))
      deferred.push({ source, carryOut: hold() });
    else if (fault === 'delay' || heldBefore > 0) setTimeout(hold(), DELAY_MS);
    else write();
  };
  const openUpstream = (client: Socket, source: string): void => {
    const upstream = connect(upstreamAddress);
    tellResetFromEnd(client);
    tellResetFromEnd(upstream);
    const connection: ProxiedConnection = {
      source,
      client,
      upstream,
      stalled: false,
      held: new Map(),
    };
    connections.add(connection);
    client.on('data', (chunk: Buffer) => forward(connection, upstream, false, chunk));
    upstream.on('data', (chunk: Buffer) => forward(connection, client, true, chunk));
    const closeOther = (peer: Socket) => () => {
      connections.delete(connection);
      if (connection.stalled) return;
      const isHeld = () => (connection.held.get(peer) ?? 0) > 0;
      // An orderly end behind a part would make the part look whole.
      const endPeer = () => {
        if (isHeld()) peer.resetAndDestroy();
        else peer.destroySoon();
      };
      setTimeout(endPeer, faultOf(source) === 'delay' || isHeld() ? DELAY_MS : 0);
    };
    client.on('error', () => upstream.resetAndDestroy());
    upstream.on('error', () => client.resetAndDestroy());
    client.on('close', closeOther(upstream));
    upstream.on('close', closeOther(client));
  };
  const server = createServer((client) => {
    const source = client.remoteAddress ?? '';
    const fault = faultOf(source);
    const openOrRefuse = () => {
      if (faultOf(source) === 'refuse') client.resetAndDestroy();
      else if (!client.destroyed) openUpstream(client, source);
    };
    clients.add(client);
    client.on('error', () => {});
    client.on('close', () => clients.delete(client));
    if (fault === 'silent' || fault === 'new-silent')
      deferred.push({ source, carryOut: openOrRefuse });
    else openOrRefuse();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const resetAll = (sourceAddress?: string): void =>
    connections.forEach(({ source, client, upstream }) => {
      if (sourceAddress !== undefined && source !== sourceAddress) return;
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
      carryOutDeferred();
    },
    setSourceFault: (sourceAddress, fault) => {
      faultBySource.set(sourceAddress, fault);
      if (fault === 'refuse') resetAll(sourceAddress);
      carryOutDeferred();
    },
    resetAll,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        resetAll();
        clients.forEach((client) => client.destroy());
      }),
  };
};
