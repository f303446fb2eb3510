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
import type { AskedRequest, CrashReport, TargetRun } from '@cardamomladder/types';
import type { Attribution, Suspect } from './attribution';
import { askedByAnyone, askedByOne, attributeCrashes } from './attribution';

/** A report and the store's revision at which it stands. */
interface FiledReport {
  revision: number;
  report: CrashReport;
  /** When this instance learned of it, steady clock, ms. */
  filedAt: number;
}

const NOTHING: Attribution = { causes: new Set(), suspects: new Map() };

/** Both ways to suspect a request. */
const suspectsOf = (asked: AskedRequest): Suspect[] => [
  askedByAnyone(asked.request),
  askedByOne(asked),
];

/** Requests held, by the reports of crashes that are known. */
export class Quarantine {
  /** Emits what is held when that changes. */
  readonly changes = new Subject<ReadonlySet<Suspect>>();

  private readonly reports = new Map<string, FiledReport>();

  private attribution = NOTHING;

  constructor(private readonly now: () => number) {}

  /** True while nothing is held and nothing suspected, as on most days: requests need no look then. */
  get idle(): boolean {
    return this.attribution.causes.size === 0 && this.attribution.suspects.size === 0;
  }

  /** True when a request must not be sent to a target. */
  holds(asked: AskedRequest): boolean {
    return suspectsOf(asked).some((suspect) => this.attribution.causes.has(suspect));
  }

  /** Crashes without a known cause that a request may have caused. */
  crashesUnder(asked: AskedRequest): number {
    const { suspects } = this.attribution;
    return Math.max(...suspectsOf(asked).map((suspect) => suspects.get(suspect) ?? 0));
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
    const crashes = new Map<TargetRun, Set<Suspect>>();
    this.reports.forEach(({ revision, report }) =>
      report.crashes.forEach(({ run, requests }) => {
        const suspected = crashes.get(run) ?? new Set();
        requests
          .flatMap(suspectsOf)
          .filter((suspect) => (answeredAt.get(suspect) ?? -1) < revision)
          .forEach((suspect) => suspected.add(suspect));
        crashes.set(run, suspected);
      }),
    );
    return attributeCrashes([...crashes.values()]);
  }

  /** The latest revision at which each suspect is known to have been answered by a target that lived on. */
  private answeredAt(): Map<Suspect, number> {
    const latest = new Map<Suspect, number>();
    const note = (suspect: Suspect, revision: number) =>
      latest.set(suspect, Math.max(revision, latest.get(suspect) ?? -1));
    this.reports.forEach(({ revision, report }) =>
      report.answered.forEach(({ request, caller }) => {
        note(askedByAnyone(request), revision);
        if (caller !== undefined) note(askedByOne({ request, caller }), revision);
      }),
    );
    return latest;
  }
}
