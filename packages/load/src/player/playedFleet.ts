/** Instances in virtual time: what each knows of crashes, and how they tell each other. */
import { AnsweredLately, Quarantine } from '@cardamomladder/steering';
import type { CrashReport, StoreMoment } from '@cardamomladder/types';
import { storeEpoch } from '@cardamomladder/types';
import type { EventQueue } from './eventQueue';

/** How long an instance gathers what it sees before it reports, ms. */
const GATHER_MS = 100;
/** From then until the others have the report, ms: the store, a relay and a follower. */
const HEARD_AFTER_MS = { least: 150, most: 600 };
/** Revisions above any of the store's. */
const UNWRITTEN_FROM = 2 ** 52;

/** From the store's return from an older copy until a report that it has lost is filed again, ms: by the instance that saw it, or by another that knows it. */
const FILED_AGAIN_MS = { least: 250, most: 2500 };

/** A report as the store has it. */
interface StoredReport {
  key: string;
  moment: StoreMoment;
  report: CrashReport;
  at: number;
}

/** One instance. */
export interface PlayedInstance {
  quarantine: Quarantine;
  lately: AnsweredLately;
  /** True while it neither reaches the store nor hears of it. */
  apart: boolean;
  /** Reports that wait for the store. */
  waiting: [string, CrashReport][];
  /** What it saw since its last report, and the key of the next. */
  gathered: { key: string; report: CrashReport } | undefined;
}

/** All instances and the store's reports. */
export class PlayedFleet {
  instances: PlayedInstance[];

  private stored: StoredReport[] = [];

  private epoch = 0;

  private named = 0;

  constructor(
    size: number,
    private readonly events: EventQueue,
    private readonly random: () => number,
  ) {
    this.instances = Array.from({ length: size }, () => this.start());
  }

  /** Starts all instances anew, with what the store has. */
  restart(): void {
    this.instances = this.instances.map(() => this.start());
  }

  /** Cuts half of the instances off for a while. */
  planCut({ fromMs, toMs }: { fromMs: number; toMs: number }): void {
    const half = this.instances.slice(0, Math.floor(this.instances.length / 2));
    const setApart = (apart: boolean) =>
      half.forEach((instance) => Object.assign(instance, { apart }));
    this.events.after(fromMs, () => setApart(true));
    this.events.after(toMs, () => {
      setApart(false);
      half.forEach((instance) => this.catchUp(instance));
    });
  }

  /** The store comes back from an older copy; instances that are in touch file what it has lost again. */
  restore(lostMs: number): void {
    const isLost = ({ at }: StoredReport) => at > this.events.now - lostMs;
    const lost = this.stored.filter(isLost);
    this.stored = this.stored.filter((each) => !isLost(each));
    this.epoch += 1;
    lost.forEach(({ key, moment, report }) =>
      this.events.after(this.between(FILED_AGAIN_MS), () => {
        const isKnown = this.instances.some(
          ({ apart, quarantine }) => !apart && quarantine.knows(key),
        );
        if (isKnown) this.store(key, { ...report, place: report.place ?? moment });
      }),
    );
  }

  /** Files what an instance saw: there at once, with the others once it is gathered and stored. */
  file(instance: PlayedInstance, report: CrashReport): void {
    if (!instance.gathered) this.events.after(GATHER_MS, () => this.closeGathered(instance));
    const { key, report: before } = instance.gathered ?? this.newReport();
    const together = {
      crashes: [...before.crashes, ...report.crashes],
      answered: [...before.answered, ...report.answered],
    };
    Object.assign(instance, { gathered: { key, report: together } });
    instance.quarantine.file(key, this.momentAt(UNWRITTEN_FROM + this.named), together);
  }

  private start(): PlayedInstance {
    const now = () => this.events.now;
    const quarantine = new Quarantine(now);
    this.stored.forEach(({ key, moment, report }) => quarantine.file(key, moment, report));
    const lately = new AnsweredLately(now);
    return { quarantine, lately, apart: false, waiting: [], gathered: undefined };
  }

  private catchUp(instance: PlayedInstance): void {
    this.stored.forEach(({ key, moment, report }) => instance.quarantine.file(key, moment, report));
    instance.waiting.splice(0).forEach(([key, report]) => this.store(key, report));
  }

  private newReport(): NonNullable<PlayedInstance['gathered']> {
    this.named += 1;
    return { key: `report-${this.named}`, report: { crashes: [], answered: [] } };
  }

  private closeGathered(instance: PlayedInstance): void {
    if (!instance.gathered) return;
    const { key, report } = instance.gathered;
    Object.assign(instance, { gathered: undefined });
    if (instance.apart) instance.waiting.push([key, report]);
    else this.store(key, report);
  }

  private momentAt(revision: number): StoreMoment {
    return { epoch: storeEpoch(this.epoch), revision };
  }

  private between({ least, most }: { least: number; most: number }): number {
    return least + (most - least) * this.random();
  }

  private store(key: string, report: CrashReport): void {
    if (this.stored.some((each) => each.key === key)) return;
    const moment = this.momentAt(this.stored.length + 1);
    this.stored.push({ key, moment, report, at: this.events.now });
    this.instances.forEach((instance) =>
      this.events.after(this.between(HEARD_AFTER_MS), () => {
        if (!instance.apart) instance.quarantine.file(key, moment, report);
      }),
    );
  }
}
