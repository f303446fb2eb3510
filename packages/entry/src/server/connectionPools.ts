/** Kept connections, a pool per target address. */
import { Agent } from 'node:http';

/** Pools kept: more than the targets of any service today; addresses of targets that left are dropped first. */
const POOLS_MOST = 512;
const SOCKETS_PER_TARGET = 64;

const pools = new Map<string, Agent>();

/** The pool of an address. */
export const poolFor = (address: string): Agent => {
  const known = pools.get(address);
  // Put last, so that the first is the one unused for longest.
  pools.delete(address);
  const agent =
    known ?? new Agent({ keepAlive: true, maxSockets: SOCKETS_PER_TARGET, scheduling: 'lifo' });
  pools.set(address, agent);
  if (pools.size > POOLS_MOST) {
    const [oldest, unused] = [...pools][0];
    pools.delete(oldest);
    unused.destroy();
  }
  return agent;
};
