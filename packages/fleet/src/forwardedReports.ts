/**
 * Reports of crashes that the store may not have yet, for peers.
 *
 * While the store is away each instance would learn for itself which requests
 * crash targets, at the price of three targets each; nine instances that a
 * caller asks in turn end 27. Peers are asked for facts all the while, and
 * these reports go along, both ways, until the store has them.
 */
import type { CrashReport } from '@cardamomladder/types';

/** Reports handed over at a time: twenty with a dozen crashes each are some 60 kB, and the next question takes the rest. */
export const REPORTS_AT_A_TIME = 20;
/** Reports kept: as many as wait for the store. */
const KEPT_MOST = 200;

/** A report on its way from peer to peer. */
export interface PassedReport {
  id: string;
  report: CrashReport;
  /** Since it was seen, ms; clocks differ between machines. */
  ageMs: number;
}

/** Up to where one instance's reports are known to another. */
export interface ReportMark {
  /** One process of an instance: a new one counts from the beginning. */
  log: string;
  sequence: number;
}

/** True when all up to `mark` is known to one that knows up to `known`. */
export const isCovered = (mark: ReportMark, known: ReportMark | undefined): boolean =>
  mark.sequence === 0 || (known?.log === mark.log && known.sequence >= mark.sequence);

/** Some reports, and up to where they go. */
export interface PassedReports {
  mark: ReportMark;
  reports: PassedReport[];
}

interface KeptReport {
  sequence: number;
  id: string;
  report: CrashReport;
  seenAt: number;
}

/** What one instance has for its peers, in the order in which it learned of it. */
export class PassedReportLog {
  private sequence = 0;

  private readonly kept = new Map<string, KeptReport>();

  /** The sequence of the newest report that is kept. */
  private lastKept = 0;

  constructor(
    private readonly name: string,
    private readonly keptMs: number,
    /** Steady clock, ms. */
    private readonly now: () => number,
  ) {}

  /** Up to where there is something for peers; 0 while there is nothing. */
  get mark(): ReportMark {
    this.dropOld();
    return { log: this.name, sequence: this.kept.size === 0 ? 0 : this.lastKept };
  }

  /** Keeps a report; the oldest goes when there are too many. */
  add(key: string, { id, report, ageMs }: PassedReport): void {
    this.sequence += 1;
    this.lastKept = this.sequence;
    this.kept.set(key, { sequence: this.sequence, id, report, seenAt: this.now() - ageMs });
    const [oldest] = this.kept.keys();
    if (this.kept.size > KEPT_MOST) this.kept.delete(oldest);
  }

  /** Drops a report that the store has. */
  drop(key: string): void {
    this.kept.delete(key);
  }

  /** The next reports for a peer that knows them up to `mark`. */
  after(mark: ReportMark | undefined): PassedReports {
    this.dropOld();
    const from = mark?.log === this.name ? mark.sequence : 0;
    const newer = [...this.kept.values()].filter(({ sequence }) => sequence > from);
    const next = newer.slice(0, REPORTS_AT_A_TIME);
    const last = newer.length > next.length ? next.at(-1) : undefined;
    return {
      mark: { log: this.name, sequence: last?.sequence ?? this.sequence },
      reports: next.map(({ id, report, seenAt }) => ({ id, report, ageMs: this.now() - seenAt })),
    };
  }

  /** An outage without end must not hand the same reports round for ever. */
  private dropOld(): void {
    const before = this.now() - this.keptMs;
    this.kept.forEach(({ seenAt }, key) => {
      if (seenAt < before) this.kept.delete(key);
    });
  }
}
