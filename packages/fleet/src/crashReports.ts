/**
 * Writes the crashes that this instance observes to the store, where all other
 * instances, including those started later, read them.
 *
 * An observation takes effect locally at once and is written soon after: the
 * store may be unavailable for long, and a request that crashes targets is
 * repeated within a fraction of a second. A failed write is retried until it
 * succeeds; a report has a fixed key, so retrying a write whose response was
 * lost is idempotent. Reports have no lease, since a lease would expire during a
 * power loss or an outage; they are removed by age instead. Until the store has
 * a report, it is forwarded to peers on request. Reports lost when the store is
 * restored from an older copy are written again by the instance that made them,
 * or otherwise by any instance that knows them.
 */
import type {
  AnsweredRequest,
  CrashReport,
  StoreEpoch,
  StorePosition,
  TargetCrash,
} from '@cardamomladder/types';
import { sleep } from '@cardamomladder/types';
import type { Store, StoreFailure } from './records';
import { ReportBuilder } from './reportBuilder';
import type { ForwardedReport, ForwardedReports, ReportCursor } from './forwardedReports';
import { ForwardedReportLog } from './forwardedReports';

/** Delay for batching observations before a report is written, ms: all connections of a crashed target close within it. With this value nine instances all knew of a crash after 0.13 s, and three under test after 0.26 s. */
const BATCH_DELAY_MS = 100;
/** Interval between two reports of an instance, ms per instance in the fleet: under continuous crashes all instances together use half of the store's write rate (400 per second). */
const WRITE_INTERVAL_PER_INSTANCE_MS = 5;
/** Minimum and maximum delay before a failed write is retried, ms, before jitter. */
const RETRY_MIN_DELAY_MS = 100;
const RETRY_MAX_DELAY_MS = 2000;
/** Maximum number of reports waiting to be written during an outage; beyond it the oldest are dropped. */
const MAX_WAITING_REPORTS = 200;
/** Retention period of a report, ms; afterwards a request that crashes targets may crash three more of them. */
export const REPORT_RETENTION_MS = 600_000;
/** Minimum interval between sweeps for expired reports, ms. A random extension of up to the same length keeps instances from all removing the same reports. */
const SWEEP_INTERVAL_MS = 60_000;

/** Base for the revisions of reports not written yet; above every revision of the store. */
const UNWRITTEN_BASE_REVISION = 2 ** 52;

/** How long other instances wait for the author of a lost report to write it again, ms; afterwards they write it after random delays. */
const REWRITE_DELAY_MS = 1000;

/** Index of the reports in effect on this instance. */
export interface CrashReportIndex {
  add: (key: string, position: StorePosition, report: CrashReport) => void;
  all: () => readonly { key: string; report: CrashReport; place: StorePosition }[];
  has: (key: string) => boolean;
  remove: (key: string) => void;
  olderThan: (ms: number) => string[];
}

/** Options of `CrashReports`. */
export interface CrashReportsOptions {
  store: Pick<Store, 'fileReport' | 'reportKey' | 'reportId' | 'removeReports'>;
  index: CrashReportIndex;
  fleetSize: () => number;
  /** Returns a unique report id. */
  nextId: () => string;
  /** Identifies this process among all processes, including earlier ones of this instance. */
  logName: string;
  random: () => number;
  /** Returns the store epoch being followed. */
  epoch: () => StoreEpoch;
  /** Monotonic clock, ms. */
  now: () => number;
  log: (
    event: 'filed' | 'heard' | 'failed' | 'given up' | 'removed' | 'lost by the store',
    detail: string,
  ) => void;
}

/** A report that is waiting to be written. */
interface WaitingReport {
  id: string;
  report: CrashReport;
}

/** Collects, writes, forwards and removes the crash reports of one instance. */
export class CrashReports {
  private builder: ReportBuilder | undefined;

  private readonly waiting: WaitingReport[] = [];

  private filed = 0;

  /** Keys of the reports made by this process. */
  private readonly ownKeys = new Set<string>();

  /** Keys of the reports that this process removed since the last sweep. */
  private readonly removed = new Set<string>();

  private writing = false;

  private stopped = false;

  private readonly sweepTimer: NodeJS.Timeout;

  private readonly forwarded: ForwardedReportLog;

  constructor(private readonly options: CrashReportsOptions) {
    this.forwarded = new ForwardedReportLog(options.logName, REPORT_RETENTION_MS, options.now);
    this.sweepTimer = setInterval(
      () => this.sweepExpired(),
      SWEEP_INTERVAL_MS * (1 + options.random()),
    );
    this.sweepTimer.unref();
  }

  /** Adds a crash observed by this instance. */
  addCrash(crash: TargetCrash): void {
    this.addToReport((builder) => builder.addCrash(crash));
  }

  /** Adds a suspected request that a target answered without crashing. */
  answered(request: AnsweredRequest): void {
    this.addToReport((builder) => builder.addAnswered(request));
  }

  /** Cursor of the latest report that this instance has for its peers. */
  get mark(): ReportCursor {
    return this.forwarded.mark;
  }

  /** Returns reports that the store may not have yet, after a peer's cursor. */
  after(mark: ReportCursor | undefined): ForwardedReports {
    return this.forwarded.after(mark);
  }

  /** Adds reports from a peer. The peer may be unable to write them, so this instance does if it reaches the store. */
  receive(reports: readonly ForwardedReport[], storeReached: boolean): void {
    const { store, index, log } = this.options;
    const newReports = reports.filter(({ id }) => !index.has(store.reportKey(id)));
    if (newReports.length === 0) return;
    newReports.forEach((received) => {
      this.indexUnwritten(received.id, received.report);
      this.forwarded.add(store.reportKey(received.id), received);
    });
    log('heard', newReports.map(({ id }) => id).join(' '));
    if (!storeReached) return;
    this.enqueue(...newReports.map(({ id, report }) => ({ id, report })));
  }

  /** Stops forwarding a report that has been written to the store. */
  markStored(key: string): void {
    this.forwarded.drop(key);
  }

  /**
   * Handles a restore of the store from an older copy: writes lost reports again,
   * and removes again those that this process had removed. `isStored` tells
   * whether the store currently has a report.
   */
  restored(isStored: (key: string) => boolean, outdated: readonly string[]): void {
    const { index, fleetSize, random, log } = this.options;
    const lost = index.all().filter(({ key }) => !isStored(key));
    if (lost.length > 0) log('lost by the store', lost.map(({ key }) => key).join(' '));
    lost.filter(({ key }) => this.ownKeys.has(key)).forEach((each) => this.rewrite(each));
    const others = lost.filter(({ key }) => !this.ownKeys.has(key));
    const delayRangeMs = REWRITE_DELAY_MS + WRITE_INTERVAL_PER_INSTANCE_MS * fleetSize();
    setTimeout(
      () => others.filter(({ key }) => !isStored(key)).forEach((each) => this.rewrite(each)),
      REWRITE_DELAY_MS + delayRangeMs * random(),
    ).unref();
    const reappeared = outdated.filter((key) => this.removed.has(key));
    if (reappeared.length > 0) this.remove(reappeared);
  }

  /** Stops writing; reports that have not been written are lost. */
  stop(): void {
    this.stopped = true;
    clearInterval(this.sweepTimer);
  }

  private addToReport(add: (builder: ReportBuilder) => void): void {
    const first = this.builder === undefined;
    this.builder ??= new ReportBuilder(this.options.nextId());
    add(this.builder);
    this.indexUnwritten(this.builder.id, this.builder.report());
    if (first && !this.writing) this.startWriting();
  }

  /** Indexes a report before the store has it, ordered after all reports so far. */
  private indexUnwritten(id: string, report: CrashReport): void {
    const { store, index } = this.options;
    this.filed += 1;
    const position = {
      epoch: this.options.epoch(),
      revision: UNWRITTEN_BASE_REVISION + this.filed,
    };
    index.add(store.reportKey(id), position, report);
  }

  private rewrite({ key, report, place }: ReturnType<CrashReportIndex['all']>[number]): void {
    const id = this.options.store.reportId(key);
    const isPending = this.builder?.id === id || this.waiting.some((each) => each.id === id);
    if (isPending || !this.options.index.has(key)) return;
    const isWritten = place.revision < UNWRITTEN_BASE_REVISION;
    this.enqueue({ id, report: isWritten ? { ...report, place } : report });
  }

  private enqueue(...reports: WaitingReport[]): void {
    this.waiting.push(...reports);
    if (!this.writing) this.startWriting();
  }

  private startWriting(): void {
    this.writing = true;
    this.write().catch((error: Error) => {
      this.writing = false;
      this.options.log('failed', error.message);
    });
  }

  /** Writes reports until none is waiting. */
  private async write(): Promise<void> {
    await sleep(BATCH_DELAY_MS);
    let retryMs = RETRY_MIN_DELAY_MS;
    while (!this.stopped && this.flushBuilder()) {
      const written = await this.writeNext();
      const spacingMs = Math.max(
        BATCH_DELAY_MS,
        WRITE_INTERVAL_PER_INSTANCE_MS * this.options.fleetSize(),
      );
      await sleep(written ? spacingMs : retryMs * (0.5 + this.options.random()));
      retryMs = written ? RETRY_MIN_DELAY_MS : Math.min(RETRY_MAX_DELAY_MS, retryMs * 2);
    }
    this.writing = false;
  }

  /** Queues the report being built, if any; returns whether a report is waiting. */
  private flushBuilder(): boolean {
    const { builder, waiting } = this;
    this.builder = undefined;
    if (builder) this.enqueueOwn(builder);
    if (waiting.length > MAX_WAITING_REPORTS)
      this.options.log(
        'given up',
        `dropped report ${waiting.shift()?.id}: more than ${MAX_WAITING_REPORTS} reports are waiting`,
      );
    return waiting.length > 0;
  }

  private enqueueOwn(builder: ReportBuilder): void {
    const { id } = builder;
    const report = builder.report();
    this.ownKeys.add(this.options.store.reportKey(id));
    this.waiting.push({ id, report });
    this.forwarded.add(this.options.store.reportKey(id), { id, report, ageMs: 0 });
  }

  private async writeNext(): Promise<boolean> {
    const { store, log } = this.options;
    const [{ id, report }] = this.waiting;
    const written = await store.fileReport(id, report);
    if (written.isErr()) {
      log('failed', written.error.message);
      return false;
    }
    const at = this.waiting.findIndex((each) => each.id === id);
    if (at >= 0) this.waiting.splice(at, 1);
    this.markStored(store.reportKey(id));
    log('filed', `${id}: ${report.crashes.length} crashes, ${report.answered.length} answered`);
    return true;
  }

  private sweepExpired(): void {
    const { index } = this.options;
    // A copy from which the store is restored is far younger than the interval
    // between two sweeps, so it lacks the reports that the previous sweep removed.
    this.removed.clear();
    const keys = index.olderThan(REPORT_RETENTION_MS);
    if (keys.length > 0) this.remove(keys);
  }

  private remove(keys: readonly string[]): void {
    const { index, store, log } = this.options;
    const failed = (failure: StoreFailure) =>
      log('failed', `removal of expired reports: ${failure.message}`);
    const removed = () => {
      keys.forEach((key) => {
        index.remove(key);
        this.ownKeys.delete(key);
        this.removed.add(key);
      });
      log('removed', `${keys.length} expired reports`);
    };
    store
      .removeReports(keys)
      .match(removed, failed)
      .catch((error: Error) => log('failed', error.message));
  }
}
