/** What instances tell each other of targets that crashed. */
import type { RequestDigest, TargetRun } from './ids';

/** A run of a target that crashed, and requests that were under way there. */
export interface TargetCrash {
  run: TargetRun;
  requests: readonly RequestDigest[];
}

/** What one instance saw: crashes, and requests suspected until then that a target has answered since. */
export interface CrashReport {
  crashes: readonly TargetCrash[];
  answered: readonly RequestDigest[];
}
