/**
 * Checks that callers of instances that are partitioned from all targets are served
 * while another instance reaches the targets and nothing else is disturbed.
 */
import type { FaultHistory } from './faultHistory';
import type { ReceivedResponse, SentRequest, Violation } from './guarantees';

/** Callers are served this long after a partition begins: 1,000 ms, plus 0.5 s for delays of the test machine. */
const SERVED_AFTER_MS = 1500;
/** How long a partition or another disturbance may have effects after its end, ms. */
const SETTLE_MS = 3000;

interface Partition {
  instances: readonly string[];
  from: number;
  to: number;
}

/** Statuses of requests that were not served although the caller did nothing wrong; 0 is a closed connection. */
const NOT_SERVED = new Set([0, 500, 502, 503, 504]);

/** Collects partitions and reports violations of the guarantee. */
export class PartitionChecker {
  private readonly partitions: Partition[] = [];

  private readonly disturbances: { from: number; to: number }[] = [];

  constructor(
    private readonly faultHistory: FaultHistory,
    private readonly reportViolation: (
      guarantee: Violation['guarantee'],
      subject: string,
      detail: string,
    ) => void,
  ) {}

  /** Records the start of a partition; returns a function that records its end. */
  begin(instances: readonly string[], now: number): (at: number) => void {
    const partition = { instances, from: now, to: Infinity };
    this.partitions.push(partition);
    return (at) => {
      partition.to = at;
    };
  }

  /** True if an instance was partitioned at any time from `from` to `to`, or shortly before. */
  isPartitioned(instance: string, from: number, to: number): boolean {
    return this.partitions.some(
      (partition) =>
        partition.instances.includes(instance) &&
        partition.from <= to &&
        partition.to + SETTLE_MS >= from,
    );
  }

  /** Records the start of something that is no fault but may reduce what can be served. */
  beginDisturbance(now: number): (at: number) => void {
    const disturbance = { from: now, to: Infinity };
    this.disturbances.push(disturbance);
    return (at) => {
      disturbance.to = at;
    };
  }

  /** Checks the response to a lookup; `instanceCount` is the number of all instances. */
  check(request: SentRequest, response: ReceivedResponse, instanceCount: number): void {
    if (request.kind !== 'idempotent' || !NOT_SERVED.has(response.status)) return;
    const { at, instance } = request;
    const current = this.partitions.find(
      ({ instances, from, to }) =>
        instances.includes(instance) && from + SERVED_AFTER_MS <= at && response.at <= to,
    );
    if (!current || current.instances.length >= instanceCount) return;
    const isNear = ({ from, to }: { from: number; to: number }) =>
      from <= response.at && to + SETTLE_MS >= at;
    const othersNear = this.partitions.some((other) => other !== current && isNear(other));
    if (othersNear || this.disturbances.some(isNear)) return;
    if (!this.faultHistory.calm(at, response.at)) return;
    this.reportViolation(
      'partition',
      request.id,
      `status ${response.status} at ${instance}, ${Math.round(at - current.from)} ms after its partition began`,
    );
  }
}
