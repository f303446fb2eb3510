/** Instances in virtual time: what each knows of crashes, and how they tell each other. */
import { AnsweredLately, Quarantine } from '@cardamomladder/steering';
import type { CrashReport } from '@cardamomladder/types';
import type { EventQueue } from './eventQueue';

/** How long an instance gathers what it sees before it reports, ms. */
const GATHER_MS = 100;
/** From then until the others have the report, ms: the store, a relay and a follower. */
const HEARD_AFTER_MS = { least: 150, most: 600 };
/** Revisions above any of the store's. */
const UNWRITTEN_FROM = 2 ** 52;

/** A report as the store has it: key, revision, content. */
type StoredReport = [string, number, CrashReport];

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

  private readonly stored: StoredReport[] = [];

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

  /** Files what an instance saw: there at once, with the others once it is gathered and stored. */
  file(instance: PlayedInstance, report: CrashReport): void {
    if (!instance.gathered) this.events.after(GATHER_MS, () => this.closeGathered(instance));
    const { key, report: before } = instance.gathered ?? this.newReport();
    const together = {
      crashes: [...before.crashes, ...report.crashes],
      answered: [...before.answered, ...report.answered],
    };
    Object.assign(instance, { gathered: { key, report: together } });
    instance.quarantine.file(key, UNWRITTEN_FROM + this.named, together);
  }

  private start(): PlayedInstance {
    const now = () => this.events.now;
    const quarantine = new Quarantine(now);
    this.stored.forEach((filed) => quarantine.file(...filed));
    const lately = new AnsweredLately(now);
    return { quarantine, lately, apart: false, waiting: [], gathered: undefined };
  }

  private catchUp(instance: PlayedInstance): void {
    this.stored.forEach((filed) => instance.quarantine.file(...filed));
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

  private store(key: string, report: CrashReport): void {
    const filed: StoredReport = [key, this.stored.length + 1, report];
    this.stored.push(filed);
    const { least, most } = HEARD_AFTER_MS;
    this.instances.forEach((instance) =>
      this.events.after(least + (most - least) * this.random(), () => {
        if (!instance.apart) instance.quarantine.file(...filed);
      }),
    );
  }
}
