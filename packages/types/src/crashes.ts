/** What instances tell each other of targets that crashed. */
import type { CallerDigest, RequestDigest, TargetRun } from './ids';
import type { StoreMoment } from './storeMoment';

/** A request as one caller asked it. */
export interface AskedRequest {
  request: RequestDigest;
  caller: CallerDigest;
}

/** A request that a target answered and lived on: as one caller asked it, or, with none named, as some caller did. */
export interface AnsweredRequest {
  request: RequestDigest;
  caller?: CallerDigest;
}

/** A run of a target that crashed, and requests that were under way there. */
export interface TargetCrash {
  run: TargetRun;
  requests: readonly AskedRequest[];
}

/** What one instance saw: crashes, and answers to requests that were under way at crashes. */
export interface CrashReport {
  crashes: readonly TargetCrash[];
  answered: readonly AnsweredRequest[];
  /** Where it stood in the store, if it was filed again after the store had lost it. */
  place?: StoreMoment;
}
