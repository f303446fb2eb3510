/** Keep-alive connection pools, one per target address. */
import { PacedAgent } from '@cardamomladder/http-json';

/**
 * More than the targets of any current service. The least recently used pool is
 * evicted first, which is usually that of a removed target.
 */
const MAX_POOLS = 512;
const SOCKETS_PER_TARGET = 64;

const agents = new Map<string, PacedAgent>();

/** Returns the connection pool of an address, creating it if needed. */
export const agentFor = (address: string): PacedAgent => {
  const existing = agents.get(address);
  // Insert at the end, so that the first entry is the least recently used one.
  agents.delete(address);
  const agent =
    existing ??
    new PacedAgent({ keepAlive: true, maxSockets: SOCKETS_PER_TARGET, scheduling: 'lifo' });
  agents.set(address, agent);
  if (agents.size > MAX_POOLS) {
    const [lruAddress, lruAgent] = [...agents][0];
    agents.delete(lruAddress);
    lruAgent.destroy();
  }
  return agent;
};
