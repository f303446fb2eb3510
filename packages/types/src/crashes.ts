/** Crash reports that instances exchange about targets. */
import type { CallerDigest, RequestDigest, TargetRun } from './ids';
import type { StorePosition } from './storePosition';

/** A request together with the caller that issued it. */
export interface IssuedRequest {
  request: RequestDigest;
  caller: CallerDigest;
}

/** A request that a target answered without crashing. Without `caller`, the request came from an unspecified caller. */
export interface AnsweredRequest {
  request: RequestDigest;
  caller?: CallerDigest;
}

/** A target run that crashed, with the requests that were in flight on it. */
export interface TargetCrash {
  run: TargetRun;
  requests: readonly IssuedRequest[];
}

/** Crashes observed by one instance, and answers to requests that were in flight during a crash. */
export interface CrashReport {
  crashes: readonly TargetCrash[];
  answered: readonly AnsweredRequest[];
  /** The report's original store position; set if it was written again after the store lost it. */
  place?: StorePosition;
}
