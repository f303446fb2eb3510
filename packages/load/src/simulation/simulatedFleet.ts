/** Simulated instances that exchange crash reports through a store. */
import { RecentAnswers, Quarantine } from '@cardamomladder/steering';
import type { CrashReport, StorePosition } from '@cardamomladder/types';
import { storeEpoch } from '@cardamomladder/types';
import type { EventQueue } from './eventQueue';

/** Time for which an instance batches its observations into one report, ms. */
const REPORT_BATCH_MS = 100;
/** Time from submitting a report until the other instances have it, ms: through the store, a relay and a follower. */
const PROPAGATION_MS = { least: 150, most: 600 };
/** Base of the revisions of reports that are not stored yet; higher than any revision of the store. */
const UNSTORED_REVISION_BASE = 2 ** 52;

/** Time from a restore of the store until a report that it lost is filed again, ms: by the instance that created it, or by another that has it. */
const REFILING_MS = { least: 250, most: 2500 };

/** A report in the store. */
interface StoredReport {
  key: string;
  position: StorePosition;
  report: CrashReport;
  at: number;
}

/** A simulated instance with its quarantine state. */
export interface CrashSimulationInstance {
  quarantine: Quarantine;
  recentAnswers: RecentAnswers;
  /** True while a network partition cuts the instance off from the store. */
  isolated: boolean;
  /** Reports to be stored once the store is reachable again. */
  waiting: [string, CrashReport][];
  /** Observations since the last report, and the key under which they will be reported. */
  openReport: { key: string; report: CrashReport } | undefined;
}

/** All instances, and the reports in the store. */
export class CrashReportingFleet {
  instances: CrashSimulationInstance[];

  private storedReports: StoredReport[] = [];

  private epoch = 0;

  private lastId = 0;

  constructor(
    size: number,
    private readonly events: EventQueue,
    private readonly random: () => number,
  ) {
    this.instances = Array.from({ length: size }, () => this.startInstance());
  }

  /** Restarts all instances; they load the reports in the store. */
  restart(): void {
    this.instances = this.instances.map(() => this.startInstance());
  }

  /** Schedules a partition that isolates half of the instances. */
  schedulePartition({ fromMs, toMs }: { fromMs: number; toMs: number }): void {
    const half = this.instances.slice(0, Math.floor(this.instances.length / 2));
    const setIsolated = (isolated: boolean) =>
      half.forEach((instance) => Object.assign(instance, { isolated }));
    this.events.after(fromMs, () => setIsolated(true));
    this.events.after(toMs, () => {
      setIsolated(false);
      half.forEach((instance) => this.catchUp(instance));
    });
  }

  /** Restores the store from a backup; connected instances file the lost reports again. */
  restoreStore(lostMs: number): void {
    const isLost = ({ at }: StoredReport) => at > this.events.now - lostMs;
    const lost = this.storedReports.filter(isLost);
    this.storedReports = this.storedReports.filter((each) => !isLost(each));
    this.epoch += 1;
    lost.forEach(({ key, position, report }) =>
      this.events.after(this.between(REFILING_MS), () => {
        const isKnown = this.instances.some(
          ({ isolated, quarantine }) => !isolated && quarantine.has(key),
        );
        if (isKnown) this.store(key, { ...report, place: report.place ?? position });
      }),
    );
  }

  /** Files an observation: in the instance's own quarantine at once, in the others' after batching and storing. */
  file(instance: CrashSimulationInstance, report: CrashReport): void {
    if (!instance.openReport)
      this.events.after(REPORT_BATCH_MS, () => this.submitOpenReport(instance));
    const { key, report: previous } = instance.openReport ?? this.newReport();
    const merged = {
      crashes: [...previous.crashes, ...report.crashes],
      answered: [...previous.answered, ...report.answered],
    };
    Object.assign(instance, { openReport: { key, report: merged } });
    instance.quarantine.add(key, this.positionAt(UNSTORED_REVISION_BASE + this.lastId), merged);
  }

  private startInstance(): CrashSimulationInstance {
    const now = () => this.events.now;
    const quarantine = new Quarantine(now);
    this.storedReports.forEach(({ key, position, report }) =>
      quarantine.add(key, position, report),
    );
    const recentAnswers = new RecentAnswers(now);
    return { quarantine, recentAnswers, isolated: false, waiting: [], openReport: undefined };
  }

  private catchUp(instance: CrashSimulationInstance): void {
    this.storedReports.forEach(({ key, position, report }) =>
      instance.quarantine.add(key, position, report),
    );
    instance.waiting.splice(0).forEach(([key, report]) => this.store(key, report));
  }

  private newReport(): NonNullable<CrashSimulationInstance['openReport']> {
    this.lastId += 1;
    return { key: `report-${this.lastId}`, report: { crashes: [], answered: [] } };
  }

  private submitOpenReport(instance: CrashSimulationInstance): void {
    if (!instance.openReport) return;
    const { key, report } = instance.openReport;
    Object.assign(instance, { openReport: undefined });
    if (instance.isolated) instance.waiting.push([key, report]);
    else this.store(key, report);
  }

  private positionAt(revision: number): StorePosition {
    return { epoch: storeEpoch(this.epoch), revision };
  }

  private between({ least, most }: { least: number; most: number }): number {
    return least + (most - least) * this.random();
  }

  private store(key: string, report: CrashReport): void {
    if (this.storedReports.some((each) => each.key === key)) return;
    const position = this.positionAt(this.storedReports.length + 1);
    this.storedReports.push({ key, position, report, at: this.events.now });
    this.instances.forEach((instance) =>
      this.events.after(this.between(PROPAGATION_MS), () => {
        if (!instance.isolated) instance.quarantine.add(key, position, report);
      }),
    );
  }
}
