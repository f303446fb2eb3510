/**
 * Files what this instance sees of crashes in the store, where all others and
 * those that start later learn of it.
 *
 * What is seen is put into force here at once and written soon after: the
 * store may be away for long, and a request that crashes targets comes again
 * within a fraction of a second. A failed write is repeated until it is done;
 * a report has one key, so one that was written without an answer is only
 * written again. Reports have no lease, as one would end with a power loss or
 * an outage; they are removed when they are old. Until the store has a report,
 * peers that ask get it from here. What a store that came back from an older
 * copy has lost is filed again, by the one that saw it or else by any other.
 */
import type {
  AnsweredRequest,
  CrashReport,
  StoreEpoch,
  StoreMoment,
  TargetCrash,
} from '@cardamomladder/types';
import { pause } from '@cardamomladder/types';
import type { Store, StoreFailure } from './facts';
import { GatheredReport } from './gatheredReport';
import type { PassedReport, PassedReports, ReportMark } from './passedReports';
import { PassedReportLog } from './passedReports';

/** How long to gather before a report is written, ms: all connections of a target that crashed close within this; with it nine instances all knew of a crash 0.13 s later, three under test 0.26 s. */
const GATHER_MS = 100;
/** Between two reports of one instance, ms for each instance of the fleet: when all see crashes without end, they make half of the writes that the store takes (400 a second). */
const SPACING_PER_INSTANCE_MS = 5;
/** Pause before the first and the longest repeat of a failed write, ms. */
const RETRY_FIRST_MS = 100;
const RETRY_MOST_MS = 2000;
/** Reports that wait while the store is away; the oldest are given up then. */
const WAITING_MOST = 200;
/** How long a report counts, ms: a request that crashes targets may then do so again for three of them. */
export const REPORT_KEPT_MS = 600_000;
/** How often old reports are looked for, ms, and the part by which instances differ, so that they do not all remove the same ones. */
const SWEEP_EVERY_MS = 60_000;

/** Revisions above any of the store's, for reports that it does not have yet. */
const UNWRITTEN_FROM = 2 ** 52;

/** How long an instance leaves it to the one that saw a crash to file its lost report again, ms: from then on those that know it follow each other at random. */
const LEFT_TO_OTHERS_MS = 1000;

/** Where reports take effect. */
export interface ReportBook {
  file: (key: string, moment: StoreMoment, report: CrashReport) => void;
  all: () => readonly { key: string; report: CrashReport; place: StoreMoment }[];
  knows: (key: string) => boolean;
  drop: (key: string) => void;
  olderThan: (ms: number) => string[];
}

/** What filing needs. */
export interface CrashReportsOptions {
  store: Pick<Store, 'fileReport' | 'reportKey' | 'reportId' | 'removeReports'>;
  book: ReportBook;
  fleetSize: () => number;
  /** A name that no other report has. */
  nextId: () => string;
  /** Tells this process from others, also from earlier ones of this instance. */
  logName: string;
  random: () => number;
  /** The store's epoch that is followed. */
  epoch: () => StoreEpoch;
  /** Steady clock, ms. */
  now: () => number;
  log: (
    event: 'filed' | 'heard' | 'failed' | 'given up' | 'removed' | 'lost by the store',
    detail: string,
  ) => void;
}

/** A report with its id. */
interface WaitingReport {
  id: string;
  report: CrashReport;
}

/** The reports of one instance. */
export class CrashReports {
  private gathered: GatheredReport | undefined;

  private readonly waiting: WaitingReport[] = [];

  private filed = 0;

  /** Keys of the reports of what this process saw. */
  private readonly own = new Set<string>();

  /** Keys of the reports that it removed since the last sweep. */
  private readonly removed = new Set<string>();

  private writing = false;

  private stopped = false;

  private readonly sweep: NodeJS.Timeout;

  private readonly passed: PassedReportLog;

  constructor(private readonly options: CrashReportsOptions) {
    this.passed = new PassedReportLog(options.logName, REPORT_KEPT_MS, options.now);
    this.sweep = setInterval(() => this.removeOld(), SWEEP_EVERY_MS * (1 + options.random()));
    this.sweep.unref();
  }

  /** Takes a crash that this instance saw. */
  crashed(crash: TargetCrash): void {
    this.gather((gathered) => gathered.addCrash(crash));
  }

  /** Takes it that a target answered a suspected request and lived on. */
  answered(request: AnsweredRequest): void {
    this.gather((gathered) => gathered.addAnswered(request));
  }

  /** Up to where this instance has reports for its peers. */
  get mark(): ReportMark {
    return this.passed.mark;
  }

  /** Reports that the store may not have yet, for a peer that knows them up to `mark`. */
  after(mark: ReportMark | undefined): PassedReports {
    return this.passed.after(mark);
  }

  /** Takes reports from a peer, which may be unable to write them; one that reaches the store does so in its place. */
  hear(reports: readonly PassedReport[], storeReached: boolean): void {
    const { store, book, log } = this.options;
    const news = reports.filter(({ id }) => !book.knows(store.reportKey(id)));
    if (news.length === 0) return;
    news.forEach((heard) => {
      this.put(heard.id, heard.report);
      this.passed.add(store.reportKey(heard.id), heard);
    });
    log('heard', news.map(({ id }) => id).join(' '));
    if (!storeReached) return;
    this.writeSoon(...news.map(({ id, report }) => ({ id, report })));
  }

  /** Takes it that the store has a report. */
  stored(key: string): void {
    this.passed.drop(key);
  }

  /**
   * Takes it that the store came back from an older copy: files again what it
   * has lost, and removes what was removed. `isStored` tells what it has now.
   */
  restored(isStored: (key: string) => boolean, outdated: readonly string[]): void {
    const { book, fleetSize, random, log } = this.options;
    const lost = book.all().filter(({ key }) => !isStored(key));
    if (lost.length > 0) log('lost by the store', lost.map(({ key }) => key).join(' '));
    lost.filter(({ key }) => this.own.has(key)).forEach((each) => this.fileAgain(each));
    const others = lost.filter(({ key }) => !this.own.has(key));
    const spreadMs = LEFT_TO_OTHERS_MS + SPACING_PER_INSTANCE_MS * fleetSize();
    setTimeout(
      () => others.filter(({ key }) => !isStored(key)).forEach((each) => this.fileAgain(each)),
      LEFT_TO_OTHERS_MS + spreadMs * random(),
    ).unref();
    const back = outdated.filter((key) => this.removed.has(key));
    if (back.length > 0) this.remove(back);
  }

  /** Ends the writing; what waits is lost. */
  stop(): void {
    this.stopped = true;
    clearInterval(this.sweep);
  }

  private gather(add: (gathered: GatheredReport) => void): void {
    const first = this.gathered === undefined;
    this.gathered ??= new GatheredReport(this.options.nextId());
    add(this.gathered);
    this.put(this.gathered.id, this.gathered.report());
    if (first && !this.writing) this.startWriting();
  }

  /** Puts a report into force before the store has it, as the latest so far. */
  private put(id: string, report: CrashReport): void {
    const { store, book } = this.options;
    this.filed += 1;
    const moment = { epoch: this.options.epoch(), revision: UNWRITTEN_FROM + this.filed };
    book.file(store.reportKey(id), moment, report);
  }

  private fileAgain({ key, report, place }: ReturnType<ReportBook['all']>[number]): void {
    const id = this.options.store.reportId(key);
    const isUnderWay = this.gathered?.id === id || this.waiting.some((each) => each.id === id);
    if (isUnderWay || !this.options.book.knows(key)) return;
    const isPlaced = place.revision < UNWRITTEN_FROM;
    this.writeSoon({ id, report: isPlaced ? { ...report, place } : report });
  }

  private writeSoon(...reports: WaitingReport[]): void {
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

  /** Writes reports until none is left. */
  private async write(): Promise<void> {
    await pause(GATHER_MS);
    let retryMs = RETRY_FIRST_MS;
    while (!this.stopped && this.closeGathered()) {
      const written = await this.writeNext();
      const spacingMs = Math.max(GATHER_MS, SPACING_PER_INSTANCE_MS * this.options.fleetSize());
      await pause(written ? spacingMs : retryMs * (0.5 + this.options.random()));
      retryMs = written ? RETRY_FIRST_MS : Math.min(RETRY_MOST_MS, retryMs * 2);
    }
    this.writing = false;
  }

  /** Queues what was gathered; true while a report waits. */
  private closeGathered(): boolean {
    const { gathered, waiting } = this;
    this.gathered = undefined;
    if (gathered) this.queue(gathered);
    if (waiting.length > WAITING_MOST)
      this.options.log('given up', `report ${waiting.shift()?.id}: ${WAITING_MOST} wait already`);
    return waiting.length > 0;
  }

  private queue(gathered: GatheredReport): void {
    const { id } = gathered;
    const report = gathered.report();
    this.own.add(this.options.store.reportKey(id));
    this.waiting.push({ id, report });
    this.passed.add(this.options.store.reportKey(id), { id, report, ageMs: 0 });
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
    this.stored(store.reportKey(id));
    log('filed', `${id}: ${report.crashes.length} crashes, ${report.answered.length} answered`);
    return true;
  }

  private removeOld(): void {
    const { book } = this.options;
    // Copies of the store are far younger than the time between two sweeps.
    this.removed.clear();
    const keys = book.olderThan(REPORT_KEPT_MS);
    if (keys.length > 0) this.remove(keys);
  }

  private remove(keys: readonly string[]): void {
    const { book, store, log } = this.options;
    const failed = (failure: StoreFailure) => log('failed', `removal: ${failure.message}`);
    const removed = () => {
      keys.forEach((key) => {
        book.drop(key);
        this.own.delete(key);
        this.removed.add(key);
      });
      log('removed', `${keys.length} old reports`);
    };
    store
      .removeReports(keys)
      .match(removed, failed)
      .catch((error: Error) => log('failed', error.message));
  }
}
