/**
 * Distinguishes a crashed target from a broken connection. The affected request
 * sees the same error in both cases, but after a crash all connections to the
 * target are closed and its address refuses new ones. With a network failure, a
 * lost response or an overloaded target, other connections stay open or new
 * ones are accepted; a machine without power does not respond at all. An instance
 * that has lost its links to all targets sees the same as after crashes of all of
 * them, so a crash counts only while it reaches other targets.
 */
import type { IssuedRequest, TargetCrash } from '@cardamomladder/types';
import { targetRun } from '@cardamomladder/types';
import type { ReachableTarget } from './registry';

/** Delays before each check whether a target's other connections are closed too, ms: the connections of a process close together, but a busy instance processes the events with gaps between them. */
const CLOSE_CHECK_DELAYS_MS = [10, 40];

/** Whether an address refuses connections. */
export type ConnectionRefusalCheck = (host: string, port: number) => Promise<boolean>;

/** A crash check in progress, or one that has confirmed a crash. */
interface CrashCheck {
  requests: IssuedRequest[];
  crashed: Promise<boolean>;
  confirmed: boolean;
}

/** Waits for a delay and then for pending I/O: a late timer fires before the events that arrived meanwhile are processed. */
const waitForPendingReads = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(() => setImmediate(resolve), ms);
  });

/** True if no connection to the target is open at one of the checks. */
const allConnectionsClosed = async (target: ReachableTarget): Promise<boolean> => {
  for (const ms of CLOSE_CHECK_DELAYS_MS) {
    await waitForPendingReads(ms);
    if (!target.connections().hasOpenConnection) return true;
  }
  return false;
};

/** Investigates closed connections, with one check per target for all affected requests. */
export class CrashDetector {
  private readonly checks = new WeakMap<ReachableTarget, CrashCheck>();

  constructor(
    private readonly refusesConnections: ConnectionRefusalCheck,
    private readonly report: (crash: TargetCrash) => void,
    /** Whether this instance reaches other targets; if not, its own links are the cause. */
    private readonly reachesTargets: () => Promise<boolean>,
  ) {}

  /** Handles a connection that closed before the request's response; true if the target has crashed. */
  checkClosedConnection(target: ReachableTarget, request: IssuedRequest): Promise<boolean> {
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
      (await this.refusesConnections(target.host, target.port)) &&
      (await this.reachesTargets());
    const check = this.checks.get(target);
    if (!crashed) this.checks.delete(target);
    if (crashed && check) {
      check.confirmed = true;
      this.reportCrash(target, [...check.requests]);
    }
    return crashed;
  }

  private reportCrash({ entry }: ReachableTarget, requests: readonly IssuedRequest[]): void {
    this.report({ run: targetRun(entry.id, entry.startedAt), requests });
  }
}
