/** Builds a crash report from individual observations. */
import type {
  AnsweredRequest,
  IssuedRequest,
  CrashReport,
  TargetCrash,
  TargetRun,
} from '@cardamomladder/types';

/** Maximum number of requests listed per crash, which limits the report size for a target with a long queue; targets in use process one or two dozen requests at once. */
const MAX_REQUESTS_PER_CRASH = 100;

/** Collects the observations made since the last report. */
export class ReportBuilder {
  private readonly crashes = new Map<TargetRun, IssuedRequest[]>();

  private readonly answered: AnsweredRequest[] = [];

  constructor(readonly id: string) {}

  addCrash({ run, requests }: TargetCrash): void {
    const known = this.crashes.get(run) ?? [];
    this.crashes.set(run, [...known, ...requests].slice(0, MAX_REQUESTS_PER_CRASH));
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
