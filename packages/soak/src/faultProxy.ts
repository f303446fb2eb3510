/** A TCP proxy on loopback that harms what passes through it, from outside both ends. */
import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

/**
 * `delay`: every piece comes late. `silent`: nothing passes, new connections
 * hang. `one-way`: only the caller's bytes pass. `refuse`: new connections are
 * reset. `old-silent`: connections that are open now stay silent for good, new
 * ones work.
 */
export type Harm = 'none' | 'delay' | 'silent' | 'one-way' | 'refuse' | 'old-silent';

/** A running proxy. */
export interface FaultProxy {
  address: string;
  /** Where new connections go, as host and port. */
  setTarget: (host: string, port: number) => void;
  harm: (harm: Harm) => void;
  /** Resets all open connections. */
  resetAll: () => void;
  close: () => Promise<void>;
}

/** How late each piece is under `delay`, ms. */
const DELAY_MS = 120;

interface Pair {
  near: Socket;
  far: Socket;
  /** Silent for good. */
  dead: boolean;
}

/** Starts a proxy on a free loopback port. */
export const startFaultProxy = async (): Promise<FaultProxy> => {
  let current: Harm = 'none';
  let target = { host: '127.0.0.1', port: 0 };
  const pairs = new Set<Pair>();
  /** Bytes held back while nothing passes, to be sent once it ends. */
  const held: (() => void)[] = [];

  const pass = (pair: Pair, to: Socket, towardsCaller: boolean, chunk: Buffer): void => {
    const write = () => {
      if (!to.destroyed) to.write(chunk);
    };
    if (pair.dead) return;
    if (current === 'silent' || (current === 'one-way' && towardsCaller)) held.push(write);
    else if (current === 'delay') setTimeout(write, DELAY_MS);
    else write();
  };
  const join = (near: Socket): void => {
    const far = connect(target);
    const pair: Pair = { near, far, dead: false };
    pairs.add(pair);
    near.on('data', (chunk: Buffer) => pass(pair, far, false, chunk));
    far.on('data', (chunk: Buffer) => pass(pair, near, true, chunk));
    const end = (other: Socket) => () => {
      pairs.delete(pair);
      if (!pair.dead) setTimeout(() => other.destroy(), current === 'delay' ? DELAY_MS : 0);
    };
    near.on('error', () => far.resetAndDestroy());
    far.on('error', () => near.resetAndDestroy());
    near.on('close', end(far));
    far.on('close', end(near));
  };
  const server = createServer((near) => {
    if (current === 'refuse') near.resetAndDestroy();
    else if (current === 'silent') held.push(() => join(near));
    else join(near);
    near.on('error', () => {});
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const resetAll = (): void =>
    pairs.forEach(({ near, far }) => {
      near.resetAndDestroy();
      far.resetAndDestroy();
    });

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    setTarget: (host, port) => {
      target = { host, port };
    },
    harm: (harm) => {
      current = harm;
      if (harm === 'old-silent') pairs.forEach((pair) => Object.assign(pair, { dead: true }));
      if (harm !== 'silent' && harm !== 'one-way') held.splice(0).forEach((send) => send());
    },
    resetAll,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        resetAll();
      }),
  };
};
