/**
 * Blocks the requests that crash the targets they run on.
 *
 * Without it, such a request is repeated by the instance and by its caller, at any
 * instance. Each attempt looks new, so each one crashes another target together with
 * all of its other work: dozens of targets of one service crash and restart although
 * the bound on repeats is kept. The quarantine combines the crashes reported by all
 * instances. What is blocked depends on the reports alone, so instances with the same
 * reports block the same requests, and a restarted instance learns them together with
 * its other records.
 */
import { Subject } from 'rxjs';
import type { IssuedRequest, CrashReport, StorePosition, TargetRun } from '@cardamomladder/types';
import { comparePositions } from '@cardamomladder/types';
import type { Attribution, Suspect } from './attribution';
import { anyCallerSuspect, attributeCrashes, callerSuspect } from './attribution';

/**
 * A report and its position in the order of reports: where it is in the store, or was
 * before the store lost it.
 */
export interface OrderedReport {
  place: StorePosition;
  report: CrashReport;
}

interface StoredReport extends OrderedReport {
  /** When this instance received it, ms on the monotonic clock. */
  receivedAt: number;
}

/**
 * How long a request is blocked whose crashes another request may explain, ms after
 * the last of them. Until then it is not known which of them is the cause, and letting
 * both through crashes targets faster than they restart. A caller that is blocked
 * wrongly has already failed three times by then. A polling caller misses a few polls;
 * a request released wrongly crashes one or two targets before it is blocked again.
 */
const SUSPICION_BLOCK_MS = 120_000;

const NO_CRASHES: Attribution = { suspected: new Set(), causes: new Set(), crashes: new Map() };

/** Returns the suspects of a request: the request of this caller, and the request of any caller. */
const suspectsOf = (asked: IssuedRequest): Suspect[] => [
  anyCallerSuspect(asked.request),
  callerSuspect(asked),
];

/** Returns true if `position` is defined and not earlier than `place`. */
const isAtOrAfter = (position: StorePosition | undefined, place: StorePosition): boolean =>
  position !== undefined && comparePositions(position, place) >= 0;

/** The requests blocked because of the known crash reports. */
export class Quarantine {
  /**
   * Emits the suspected requests, blocked now or until recently, when a crash or an
   * answer changes them.
   */
  readonly changes = new Subject<ReadonlySet<Suspect>>();

  private readonly reports = new Map<string, StoredReport>();

  private known = NO_CRASHES;

  /**
   * When this instance learned of the last crash under each suspect, ms on the
   * monotonic clock.
   */
  private lastCrashAt = new Map<Suspect, number>();

  /** True if reports have changed since the attribution was computed. */
  private changed = false;

  constructor(private readonly now: () => number) {}

  /**
   * Computed on first use after a change: hundreds of reports arrive together when
   * many targets crash.
   */
  private get attribution(): Attribution {
    if (!this.changed) return this.known;
    this.changed = false;
    const before = this.known.suspected;
    this.known = this.computeAttribution();
    const { suspected } = this.known;
    const isUnchanged =
      suspected.size === before.size && [...suspected].every((suspect) => before.has(suspect));
    if (!isUnchanged) this.changes.next(suspected);
    return this.known;
  }

  /** True while no crash is known, as on most days; requests then need no check. */
  get isEmpty(): boolean {
    return this.attribution.crashes.size === 0;
  }

  /** Returns true if a request must not be sent to a target. */
  blocks(asked: IssuedRequest): boolean {
    return suspectsOf(asked).some((suspect) => this.isSuspectBlocked(suspect));
  }

  /**
   * Returns the number of crashes during which a request was in flight, from this or
   * any caller.
   */
  crashCount(asked: IssuedRequest): number {
    const { crashes } = this.attribution;
    return Math.max(...suspectsOf(asked).map((suspect) => crashes.get(suspect) ?? 0));
  }

  /** Stores a report, or a later version of it. */
  add(key: string, position: StorePosition, report: CrashReport): void {
    const receivedAt = this.reports.get(key)?.receivedAt ?? this.now();
    this.reports.set(key, { place: report.place ?? position, report, receivedAt });
    this.changed = true;
  }

  /** Returns true if a report is stored under `key`. */
  has(key: string): boolean {
    return this.reports.has(key);
  }

  /** Returns all reports with their keys. */
  all(): (OrderedReport & { key: string })[] {
    return [...this.reports].map(([key, { place, report }]) => ({ key, place, report }));
  }

  /** Removes a report. */
  remove(key: string): void {
    if (this.reports.delete(key)) this.changed = true;
  }

  /** Returns the keys of the reports that have been known for at least `ms` milliseconds. */
  olderThan(ms: number): string[] {
    const cutoff = this.now() - ms;
    return [...this.reports]
      .filter(([, { receivedAt }]) => receivedAt <= cutoff)
      .map(([key]) => key);
  }

  private isSuspectBlocked(suspect: Suspect): boolean {
    const { suspected, causes } = this.attribution;
    if (causes.has(suspect)) return true;
    if (!suspected.has(suspect)) return false;
    return this.now() - (this.lastCrashAt.get(suspect) ?? 0) <= SUSPICION_BLOCK_MS;
  }

  private computeAttribution(): Attribution {
    this.lastCrashAt = new Map();
    if (this.reports.size === 0) return NO_CRASHES;
    const lastAnswers = this.lastAnswers();
    const crashes = new Map<TargetRun, Set<Suspect>>();
    this.reports.forEach(({ place, report, receivedAt }) =>
      report.crashes.forEach(({ run, requests }) => {
        const suspected = crashes.get(run) ?? new Set();
        requests
          .flatMap(suspectsOf)
          .filter((suspect) => !isAtOrAfter(lastAnswers.get(suspect), place))
          .forEach((suspect) => {
            suspected.add(suspect);
            const last = this.lastCrashAt.get(suspect) ?? -Infinity;
            this.lastCrashAt.set(suspect, Math.max(last, receivedAt));
          });
        crashes.set(run, suspected);
      }),
    );
    return attributeCrashes([...crashes.values()]);
  }

  /**
   * Returns the latest position at which each suspect is known to have been answered
   * by a target that did not crash.
   */
  private lastAnswers(): Map<Suspect, StorePosition> {
    const latest = new Map<Suspect, StorePosition>();
    const record = (suspect: Suspect, place: StorePosition) => {
      if (!isAtOrAfter(latest.get(suspect), place)) latest.set(suspect, place);
    };
    this.reports.forEach(({ place, report }) =>
      report.answered.forEach(({ request, caller }) => {
        record(anyCallerSuspect(request), place);
        if (caller !== undefined) record(callerSuspect({ request, caller }), place);
      }),
    );
    return latest;
  }
}
