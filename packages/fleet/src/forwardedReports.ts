/**
 * Crash reports that the store may not have yet, forwarded between peers.
 *
 * Without forwarding, each instance would find out by itself during a store
 * outage which requests crash targets, which costs three targets per instance: a
 * caller that tries nine instances in turn crashes 27. Instances query peers for
 * records throughout an outage, and these reports are exchanged in both
 * directions with those queries until the store has them.
 */
import type { CrashReport } from '@cardamomladder/types';

/** Maximum number of reports per exchange: 20 reports with a dozen crashes each are about 60 kB, and the next request fetches the rest. */
export const MAX_REPORTS_PER_EXCHANGE = 20;
/** Maximum number of kept reports: the same as the maximum waiting to be written to the store. */
const MAX_KEPT_REPORTS = 200;

/** A report as exchanged between peers. */
export interface ForwardedReport {
  id: string;
  report: CrashReport;
  /** Time since the report was made, ms; an age rather than a timestamp, since clocks differ between machines. */
  ageMs: number;
}

/** Position in an instance's report log up to which a peer knows its reports. */
export interface ReportCursor {
  /** Identifies the process of an instance; a new process numbers its reports from the beginning. */
  log: string;
  sequence: number;
}

/** Whether a peer whose cursor is `known` has all reports up to `mark`. */
export const hasAllReports = (mark: ReportCursor, known: ReportCursor | undefined): boolean =>
  mark.sequence === 0 || (known?.log === mark.log && known.sequence >= mark.sequence);

/** A batch of reports and the cursor after it. */
export interface ForwardedReports {
  mark: ReportCursor;
  reports: ForwardedReport[];
}

interface KeptReport {
  sequence: number;
  id: string;
  report: CrashReport;
  seenAt: number;
}

/** Log of the reports that an instance forwards to its peers, in the order in which it learned of them. */
export class ForwardedReportLog {
  private sequence = 0;

  private readonly kept = new Map<string, KeptReport>();

  /** Sequence number of the most recently added report. */
  private lastSequence = 0;

  constructor(
    private readonly name: string,
    private readonly retentionMs: number,
    /** Monotonic clock, ms. */
    private readonly now: () => number,
  ) {}

  /** Cursor of the latest report; its sequence is 0 while no report is kept. */
  get mark(): ReportCursor {
    this.dropExpired();
    return { log: this.name, sequence: this.kept.size === 0 ? 0 : this.lastSequence };
  }

  /** Adds a report; drops the oldest one if there are too many. */
  add(key: string, { id, report, ageMs }: ForwardedReport): void {
    this.sequence += 1;
    this.lastSequence = this.sequence;
    this.kept.set(key, { sequence: this.sequence, id, report, seenAt: this.now() - ageMs });
    const [oldest] = this.kept.keys();
    if (this.kept.size > MAX_KEPT_REPORTS) this.kept.delete(oldest);
  }

  /** Drops a report that has been written to the store. */
  drop(key: string): void {
    this.kept.delete(key);
  }

  /** Returns the next batch of reports after a peer's cursor. */
  after(mark: ReportCursor | undefined): ForwardedReports {
    this.dropExpired();
    const afterSequence = mark?.log === this.name ? mark.sequence : 0;
    const newer = [...this.kept.values()].filter(({ sequence }) => sequence > afterSequence);
    const next = newer.slice(0, MAX_REPORTS_PER_EXCHANGE);
    const last = newer.length > next.length ? next.at(-1) : undefined;
    return {
      mark: { log: this.name, sequence: last?.sequence ?? this.sequence },
      reports: next.map(({ id, report, seenAt }) => ({ id, report, ageMs: this.now() - seenAt })),
    };
  }

  /** Drops expired reports, so that the same reports are not exchanged indefinitely during a long outage. */
  private dropExpired(): void {
    const oldestSeenAt = this.now() - this.retentionMs;
    this.kept.forEach(({ seenAt }, key) => {
      if (seenAt < oldestSeenAt) this.kept.delete(key);
    });
  }
}
