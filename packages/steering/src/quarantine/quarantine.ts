/**
 * The requests that are kept from targets, as they crash what runs them.
 *
 * What goes wrong without it: such a request is repeated by the instance and
 * by its caller, at whichever instance; each attempt looks new, so each one
 * ends another target with all that it was working on. One notices targets of
 * one service that crash by the dozen and start again, while the bound on
 * repeats is kept. Here the crashes that all instances reported are put
 * together. What is held follows from the reports alone, so instances that
 * know the same reports hold the same requests, and one that starts anew
 * learns them with its other facts.
 */
import { Subject } from 'rxjs';
import type { CrashReport, RequestDigest, TargetRun } from '@cardamomladder/types';
import type { Attribution } from './attribution';
import { attributeCrashes } from './attribution';

/** A report and the store's revision at which it stands. */
interface FiledReport {
  revision: number;
  report: CrashReport;
  /** When this instance learned of it, steady clock, ms. */
  filedAt: number;
}

const NOTHING: Attribution = { causes: new Set(), suspects: new Map() };

/** Requests held, by the reports of crashes that are known. */
export class Quarantine {
  /** Emits what is held when that changes. */
  readonly changes = new Subject<ReadonlySet<RequestDigest>>();

  private readonly reports = new Map<string, FiledReport>();

  private attribution = NOTHING;

  constructor(private readonly now: () => number) {}

  /** True while nothing is held and nothing suspected, as on most days: requests need no look then. */
  get idle(): boolean {
    return this.attribution.causes.size === 0 && this.attribution.suspects.size === 0;
  }

  /** The requests held. */
  get held(): ReadonlySet<RequestDigest> {
    return this.attribution.causes;
  }

  /** True when a request must not be sent to a target. */
  holds(request: RequestDigest): boolean {
    return this.attribution.causes.has(request);
  }

  /** Crashes without a known cause at which a request was under way. */
  crashesUnder(request: RequestDigest): number {
    return this.attribution.suspects.get(request) ?? 0;
  }

  /** Files a report, or a later state of it. */
  file(key: string, revision: number, report: CrashReport): void {
    const filedAt = this.reports.get(key)?.filedAt ?? this.now();
    this.reports.set(key, { revision, report, filedAt });
    this.update();
  }

  /** Forgets a report. */
  drop(key: string): void {
    if (this.reports.delete(key)) this.update();
  }

  /** Keys of the reports that have been known for `ms` or longer. */
  olderThan(ms: number): string[] {
    const before = this.now() - ms;
    return [...this.reports].filter(([, { filedAt }]) => filedAt <= before).map(([key]) => key);
  }

  private update(): void {
    const before = this.attribution.causes;
    this.attribution = this.attribute();
    const { causes } = this.attribution;
    const same = causes.size === before.size && [...causes].every((cause) => before.has(cause));
    if (!same) this.changes.next(causes);
  }

  private attribute(): Attribution {
    if (this.reports.size === 0) return NOTHING;
    const answeredAt = this.answeredAt();
    const crashes = new Map<TargetRun, Set<RequestDigest>>();
    this.reports.forEach(({ revision, report }) =>
      report.crashes.forEach(({ run, requests }) => {
        const suspected = crashes.get(run) ?? new Set();
        requests
          .filter((request) => (answeredAt.get(request) ?? 0) <= revision)
          .forEach((request) => suspected.add(request));
        crashes.set(run, suspected);
      }),
    );
    return attributeCrashes([...crashes.values()]);
  }

  /** The latest revision at which each request is known to have been answered by a target that lived on. */
  private answeredAt(): Map<RequestDigest, number> {
    const latest = new Map<RequestDigest, number>();
    this.reports.forEach(({ revision, report }) =>
      report.answered.forEach((request) =>
        latest.set(request, Math.max(revision, latest.get(request) ?? 0)),
      ),
    );
    return latest;
  }
}
