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
const CLOSE_CHECK_DELAYS_MS = [10, 40];

/** Whether an address refuses connections. */
export type RefusalCheck = (host: string, port: number) => Promise<boolean>;

/** A look at one target under way, or its finding that the target crashed. */
interface CrashCheck {
  requests: AskedRequest[];
  crashed: Promise<boolean>;
  confirmed: boolean;
}

/** Waits, and then until what has arrived meanwhile is read: a timer that is late fires before that. */
const waitForPendingReads = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(() => setImmediate(resolve), ms);
  });

/** True once no connection to the target is left. */
const allConnectionsClosed = async (target: ReachableTarget): Promise<boolean> => {
  for (const ms of CLOSE_CHECK_DELAYS_MS) {
    await waitForPendingReads(ms);
    if (!target.connections().hasOpenConnection) return true;
  }
  return false;
};

/** Looks into closed connections, once per target however many requests it closed under. */
export class CrashWitness {
  private readonly checks = new WeakMap<ReachableTarget, CrashCheck>();

  constructor(
    private readonly refusesConnections: RefusalCheck,
    private readonly report: (crash: TargetCrash) => void,
  ) {}

  /** Takes a request whose connection closed before its answer; true when the target has crashed. */
  checkClosedConnection(target: ReachableTarget, request: AskedRequest): Promise<boolean> {
    const existing = this.checks.get(target);
    if (existing?.confirmed) this.reportCrash(target, [request]);
    if (existing) {
      existing.requests.push(request);
      return existing.crashed;
    }
    const check: CrashCheck = {
      requests: [request],
      crashed: this.runCheck(target),
      confirmed: false,
    };
    this.checks.set(target, check);
    return check.crashed;
  }

  private async runCheck(target: ReachableTarget): Promise<boolean> {
    const crashed =
      (await allConnectionsClosed(target)) &&
      (await this.refusesConnections(target.host, target.port));
    const check = this.checks.get(target);
    if (!crashed) this.checks.delete(target);
    if (crashed && check) {
      check.confirmed = true;
      this.reportCrash(target, [...check.requests]);
    }
    return crashed;
  }

  private reportCrash({ entry }: ReachableTarget, requests: readonly AskedRequest[]): void {
    this.report({ run: targetRun(entry.id, entry.startedAt), requests });
  }
}
