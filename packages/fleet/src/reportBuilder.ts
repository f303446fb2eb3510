/** A report of crashes while it is being gathered. */
import type {
  AnsweredRequest,
  AskedRequest,
  CrashReport,
  TargetCrash,
  TargetRun,
} from '@cardamomladder/types';

/** Requests named per crash, so that a target with a long queue makes no huge report: targets in use take a dozen or two at once. */
const REQUESTS_MOST = 100;

/** What was seen since the last report. */
export class GatheredReport {
  private readonly crashes = new Map<TargetRun, AskedRequest[]>();

  private readonly answered: AnsweredRequest[] = [];

  constructor(readonly id: string) {}

  addCrash({ run, requests }: TargetCrash): void {
    const known = this.crashes.get(run) ?? [];
    this.crashes.set(run, [...known, ...requests].slice(0, REQUESTS_MOST));
  }

  addAnswered(request: AnsweredRequest): void {
    this.answered.push(request);
  }

  report(): CrashReport {
    return {
      crashes: [...this.crashes].map(([run, requests]) => ({ run, requests })),
      answered: [...this.answered],
    };
  }
}
