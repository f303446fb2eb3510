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
import type { AskedRequest, CrashReport, StoreMoment, TargetRun } from '@cardamomladder/types';
import { compareMoments } from '@cardamomladder/types';
import type { Attribution, Suspect } from './attribution';
import { askedByAnyone, askedByOne, attributeCrashes } from './attribution';

/** A report and its place among the others: where it stands in the store, or stood before the store lost it. */
export interface PlacedReport {
  place: StoreMoment;
  report: CrashReport;
}

interface FiledReport extends PlacedReport {
  /** When this instance learned of it, steady clock, ms. */
  filedAt: number;
}

/**
 * How long a request is held whose crashes another one may explain, ms after
 * the last of them. Until then it is not known which of them to blame, and
 * letting both through ends targets faster than they start again; a caller that
 * is turned away wrongly has failed three times by then. One that polls misses
 * a few rounds; one released wrongly ends a target or two before it is held
 * again.
 */
const HELD_ON_SUSPICION_MS = 120_000;

const NOTHING: Attribution = { suspected: new Set(), causes: new Set(), crashes: new Map() };

/** Both ways to suspect a request. */
const suspectsOf = (asked: AskedRequest): Suspect[] => [
  askedByAnyone(asked.request),
  askedByOne(asked),
];

/** True when there is a moment that is `place` or later. */
const isSince = (moment: StoreMoment | undefined, place: StoreMoment): boolean =>
  moment !== undefined && compareMoments(moment, place) >= 0;

/** Requests held, by the reports of crashes that are known. */
export class Quarantine {
  /** Emits the requests held, or held until lately, when a crash or an answer changes them. */
  readonly changes = new Subject<ReadonlySet<Suspect>>();

  private readonly reports = new Map<string, FiledReport>();

  private known = NOTHING;

  /** When this instance heard of the last crash under each suspect, steady clock, ms. */
  private lastCrashAt = new Map<Suspect, number>();

  /** True when reports have changed since what is known was worked out. */
  private changed = false;

  constructor(private readonly now: () => number) {}

  /** Worked out at the first question after a change: hundreds of reports come together when many targets crash. */
  private get attribution(): Attribution {
    if (!this.changed) return this.known;
    this.changed = false;
    const before = this.known.suspected;
    this.known = this.attribute();
    const { suspected } = this.known;
    const isSame =
      suspected.size === before.size && [...suspected].every((suspect) => before.has(suspect));
    if (!isSame) this.changes.next(suspected);
    return this.known;
  }

  /** True while no crash is known, as on most days: requests need no look then. */
  get idle(): boolean {
    return this.attribution.crashes.size === 0;
  }

  /** True when a request must not be sent to a target. */
  holds(asked: AskedRequest): boolean {
    return suspectsOf(asked).some((suspect) => this.holdsSuspect(suspect));
  }

  /** Crashes at which a request was under way, whoever asked it. */
  crashesUnder(asked: AskedRequest): number {
    const { crashes } = this.attribution;
    return Math.max(...suspectsOf(asked).map((suspect) => crashes.get(suspect) ?? 0));
  }

  /** Files a report, or a later state of it. */
  file(key: string, moment: StoreMoment, report: CrashReport): void {
    const filedAt = this.reports.get(key)?.filedAt ?? this.now();
    this.reports.set(key, { place: report.place ?? moment, report, filedAt });
    this.changed = true;
  }

  /** True while the report under `key` is filed. */
  knows(key: string): boolean {
    return this.reports.has(key);
  }

  /** All reports with their keys. */
  all(): (PlacedReport & { key: string })[] {
    return [...this.reports].map(([key, { place, report }]) => ({ key, place, report }));
  }

  /** Forgets a report. */
  drop(key: string): void {
    if (this.reports.delete(key)) this.changed = true;
  }

  /** Keys of the reports that have been known for `ms` or longer. */
  olderThan(ms: number): string[] {
    const before = this.now() - ms;
    return [...this.reports].filter(([, { filedAt }]) => filedAt <= before).map(([key]) => key);
  }

  private holdsSuspect(suspect: Suspect): boolean {
    const { suspected, causes } = this.attribution;
    if (causes.has(suspect)) return true;
    if (!suspected.has(suspect)) return false;
    return this.now() - (this.lastCrashAt.get(suspect) ?? 0) <= HELD_ON_SUSPICION_MS;
  }

  private attribute(): Attribution {
    this.lastCrashAt = new Map();
    if (this.reports.size === 0) return NOTHING;
    const answeredAt = this.answeredAt();
    const crashes = new Map<TargetRun, Set<Suspect>>();
    this.reports.forEach(({ place, report, filedAt }) =>
      report.crashes.forEach(({ run, requests }) => {
        const suspected = crashes.get(run) ?? new Set();
        requests
          .flatMap(suspectsOf)
          .filter((suspect) => !isSince(answeredAt.get(suspect), place))
          .forEach((suspect) => {
            suspected.add(suspect);
            const last = this.lastCrashAt.get(suspect) ?? -Infinity;
            this.lastCrashAt.set(suspect, Math.max(last, filedAt));
          });
        crashes.set(run, suspected);
      }),
    );
    return attributeCrashes([...crashes.values()]);
  }

  /** The latest place at which each suspect is known to have been answered by a target that lived on. */
  private answeredAt(): Map<Suspect, StoreMoment> {
    const latest = new Map<Suspect, StoreMoment>();
    const note = (suspect: Suspect, place: StoreMoment) => {
      if (!isSince(latest.get(suspect), place)) latest.set(suspect, place);
    };
    this.reports.forEach(({ place, report }) =>
      report.answered.forEach(({ request, caller }) => {
        note(askedByAnyone(request), place);
        if (caller !== undefined) note(askedByOne({ request, caller }), place);
      }),
    );
    return latest;
  }
}
