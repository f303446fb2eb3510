/**
 * Tells a target that crashed from a connection that broke. Both look alike to
 * the request that was under way; but after a crash no connection to the
 * target is left, and its address refuses new ones. A broken link, a lost
 * answer or a full target leave other connections open or accept a new one,
 * and a machine without power does not answer at all.
 */
import type { AskedRequest, TargetCrash } from '@cardamomladder/types';
import { targetRun } from '@cardamomladder/types';
import type { ReachableTarget } from './registry';

/** How long to wait for a target's other connections to close too, ms: those of one process close together, but a busy instance reads their closes with pauses between. */
const SETTLE_MS = [10, 40];

/** Whether an address refuses connections. */
export type RefusalCheck = (host: string, port: number) => Promise<boolean>;

/** A look at one target under way, or its finding that the target crashed. */
interface Look {
  requests: AskedRequest[];
  crashed: Promise<boolean>;
  settled: boolean;
}

/** Waits, and then until what has arrived meanwhile is read: a timer that is late fires before that. */
const settle = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(() => setImmediate(resolve), ms);
  });

/** True once no connection to the target is left. */
const allClosed = async (target: ReachableTarget): Promise<boolean> => {
  for (const ms of SETTLE_MS) {
    await settle(ms);
    if (!target.connections().anyOpen) return true;
  }
  return false;
};

/** Looks into closed connections, once per target however many requests it closed under. */
export class CrashWitness {
  private readonly looks = new WeakMap<ReachableTarget, Look>();

  constructor(
    private readonly refuses: RefusalCheck,
    private readonly report: (crash: TargetCrash) => void,
  ) {}

  /** Takes a request whose connection closed before its answer; true when the target has crashed. */
  closedUnder(target: ReachableTarget, request: AskedRequest): Promise<boolean> {
    const known = this.looks.get(target);
    if (known?.settled) this.reportCrash(target, [request]);
    if (known) {
      known.requests.push(request);
      return known.crashed;
    }
    const look: Look = {
      requests: [request],
      crashed: this.look(target),
      settled: false,
    };
    this.looks.set(target, look);
    return look.crashed;
  }

  private async look(target: ReachableTarget): Promise<boolean> {
    const crashed = (await allClosed(target)) && (await this.refuses(target.host, target.port));
    const look = this.looks.get(target);
    if (!crashed) this.looks.delete(target);
    if (crashed && look) {
      look.settled = true;
      this.reportCrash(target, [...look.requests]);
    }
    return crashed;
  }

  private reportCrash({ entry }: ReachableTarget, requests: readonly AskedRequest[]): void {
    this.report({ run: targetRun(entry.id, entry.startedAt), requests });
  }
}
