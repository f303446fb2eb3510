/**
 * Simulates callers of a fleet of which some instances lose their links to all targets,
 * in virtual time. Instances detect it after a while; registry entries, and callers'
 * cached directory responses, change later. It compares what cut instances may do.
 */
import { EventQueue } from './eventQueue';
import { seededRandom } from './loadSimulation';

/** Options of a partition simulation. */
export interface PartitionSimulationOptions {
  seed: number;
  instances: number;
  /** Number of instances that are cut off, from `CUT_AT_MS` on. */
  cut: number;
  /** Cut instances send requests through a peer. */
  forwards: boolean;
  /** Directories leave cut instances out while another one reaches targets. */
  leavesDirectory: boolean;
  /** Requests per second of all callers. */
  rate: number;
  /** Time from the cut until an instance has detected it, ms. */
  detectionMs: number;
}

/** Results, of the requests sent a second or more after the cut. */
export interface PartitionSimulationReport {
  /** Served share of the requests at cut instances; 1 if there were none. */
  atCut: number;
  /** Served share of the requests at the other instances. */
  atOthers: number;
  /** Share of the requests that were sent to cut instances, in the last second. */
  sentToCut: number;
  /** Requests between instances per request of a caller. */
  hops: number;
  /** Share of the requests that the busiest instance sent to targets. */
  busiest: number;
}

const CUT_AT_MS = 1000;
const END_MS = 11_000;
const SERVED_AFTER_MS = 1000;
/** Time until another instance has read a changed registry entry, ms. */
const PROPAGATION_MS = { least: 150, most: 1000 };
/** Callers cache directory responses for the TTL, some of them three times as long. */
const TTL_MS = 2000;
const LONG_TTL_RATIO = 0.2;
const LONG_TTL_FACTOR = 3;
const CALLERS_PER_INSTANCE = 3;
/** A peer that turned out to be cut off is avoided for this long, ms. */
const AVOID_MS = 1000;
const MAX_PEERS = 4;
/** How long a peer that served a request is named to others, ms. */
const SERVED_RECENTLY_MS = 1000;
const NO_PEER = { peer: -1, at: -Infinity };

interface Instance {
  /** When the instance has detected that it is cut off, ms. */
  detectedAt: number;
  /** When the others have read its entry, ms; drawn once for all of them. */
  knownAt: number;
  avoidedUntil: Map<number, number>;
  /** The peer that served a request last, or was named by one that could not. */
  serving: { peer: number; at: number };
  sentToTargets: number;
}

/** Runs a partition simulation; the result depends on the options only. */
export const simulatePartition = (
  options: PartitionSimulationOptions,
): PartitionSimulationReport => {
  const events = new EventQueue();
  const random = seededRandom(options.seed);
  const pick = (count: number) => Math.floor(random() * count);
  const instances = Array.from({ length: options.instances }, (_, i): Instance => {
    const detectedAt = i < options.cut ? CUT_AT_MS + options.detectionMs : Infinity;
    const spreadMs = PROPAGATION_MS.most - PROPAGATION_MS.least;
    const knownAt = detectedAt + PROPAGATION_MS.least + random() * spreadMs;
    return { detectedAt, knownAt, avoidedUntil: new Map(), serving: NO_PEER, sentToTargets: 0 };
  });
  const isCut = (i: number) => i < options.cut && events.now >= CUT_AT_MS;
  const isKnownCut = (i: number) => instances[i].knownAt <= events.now;
  const all = instances.map((_, i) => i);
  const lookUp = (): number => {
    const reaching = options.leavesDirectory ? all.filter((i) => !isKnownCut(i)) : all;
    const named = reaching.length > 0 ? reaching : all;
    return named[pick(named.length)];
  };
  const counts = { cut: [0, 0], others: [0, 0], lastSecond: [0, 0], hops: 0, sent: 0 };
  const sendToTarget = (i: number): boolean => {
    if (isCut(i)) return false;
    instances[i].sentToTargets += 1;
    return true;
  };
  const forward = (from: number): boolean => {
    const { avoidedUntil } = instances[from];
    const servingPeerOf = ({ serving }: Instance) =>
      serving.at > events.now - SERVED_RECENTLY_MS ? serving.peer : undefined;
    for (let tries = 0; tries < MAX_PEERS; tries += 1) {
      const peers = all.filter(
        (i) => i !== from && !isKnownCut(i) && (avoidedUntil.get(i) ?? 0) <= events.now,
      );
      if (peers.length === 0) return false;
      const named = tries > 0 ? servingPeerOf(instances[from]) : undefined;
      const peer = peers.find((i) => i === named) ?? peers[pick(peers.length)];
      counts.hops += 1;
      if (sendToTarget(peer)) {
        instances[from].serving = { peer, at: events.now };
        return true;
      }
      avoidedUntil.set(peer, events.now + AVOID_MS);
      const other = servingPeerOf(instances[peer]);
      if (other !== undefined) instances[from].serving = { peer: other, at: events.now };
    }
    return false;
  };
  const serve = (i: number): boolean =>
    options.forwards && instances[i].detectedAt <= events.now ? forward(i) : sendToTarget(i);
  const record = (i: number, served: boolean): void => {
    if (events.now < CUT_AT_MS + SERVED_AFTER_MS) return;
    const group = isCut(i) ? counts.cut : counts.others;
    group[0] += 1;
    if (served) group[1] += 1;
    counts.sent += 1;
    if (events.now < END_MS - 1000) return;
    counts.lastSecond[0] += 1;
    if (isCut(i)) counts.lastSecond[1] += 1;
  };
  const callers = Array.from({ length: options.instances * CALLERS_PER_INSTANCE }, () => ({
    instance: lookUp(),
    until: random() * TTL_MS,
    ttlMs: random() < LONG_TTL_RATIO ? TTL_MS * LONG_TTL_FACTOR : TTL_MS,
  }));
  const scheduleRequest = (): void =>
    events.after((-Math.log(1 - random()) * 1000) / options.rate, () => {
      if (events.now >= END_MS) return;
      const caller = callers[pick(callers.length)];
      if (caller.until <= events.now)
        Object.assign(caller, { instance: lookUp(), until: events.now + caller.ttlMs });
      record(caller.instance, serve(caller.instance));
      scheduleRequest();
    });
  scheduleRequest();
  events.runUntil(END_MS);
  const share = ([sent, part]: number[]) => (sent === 0 ? 1 : part / sent);
  const toTargets = instances.map(({ sentToTargets }) => sentToTargets);
  return {
    atCut: share(counts.cut),
    atOthers: share(counts.others),
    sentToCut: counts.lastSecond[1] / Math.max(1, counts.lastSecond[0]),
    hops: counts.hops / Math.max(1, counts.sent),
    busiest: Math.max(...toTargets) / toTargets.reduce((sum, sent) => sum + sent, 0),
  };
};
