/**
 * The paces of a service's targets as this instance and its peers have found them. State
 * of the process only; whatever is older than `FINDING_VALID_MS` is void, so a target
 * that nobody hears of is treated as usual again.
 */
import type { TargetId } from '@cardamomladder/types';
import { crediblePace } from './expectedTime';

/** How long a finding is valid, ms: as long as a peer's statement. */
export const FINDING_VALID_MS = 2000;
/** Reports that agree at this distance are no short moment, ms: within 50 ms the same moment answers twice. */
const MIN_AGREEMENT_MS = 150;
/** Maximum age of a report for the expected time, ms: three of four reports agree so long. */
const CURRENT_MS = 250;

/** A target that has been found slow. */
export interface SlowFinding {
  pace: number;
  /** When the target stated it, ms on the monotonic clock. */
  at: number;
  source: 'own' | 'heard';
}

/** A pace that a peer has stated for a target. */
export interface HeardPace {
  id: TargetId;
  pace: number;
  at: number;
}

interface OwnReport {
  pace: number;
  at: number;
  /** Time of the first of the reports that agree that the target is slow. */
  slowSince?: number;
  confirmed: boolean;
}

/** What is known of the paces of a service's targets. */
export class KnownPaces {
  private readonly own = new Map<TargetId, OwnReport>();

  private heard = new Map<TargetId, HeardPace>();

  /** Records a target's statement; `ratio` is the pace from which it is slow. */
  report(
    id: TargetId,
    stated: number | undefined,
    source: 'response' | 'probe',
    ratio: number,
    now: number,
  ): void {
    const pace = crediblePace(stated);
    if (pace === undefined) return;
    const before = this.own.get(id);
    const continues = before?.slowSince !== undefined && now - before.at <= FINDING_VALID_MS;
    const slowSince = (continues ? before.slowSince : undefined) ?? now;
    const isSlow = pace >= ratio;
    const isConfirmed = source === 'probe' || now - slowSince >= MIN_AGREEMENT_MS;
    this.own.set(id, {
      pace,
      at: now,
      slowSince: isSlow ? slowSince : undefined,
      confirmed: isSlow && (isConfirmed || (continues && before.confirmed)),
    });
  }

  /** Replaces what peers have stated; of several statements on a target the latest counts. */
  hear(statements: readonly HeardPace[]): void {
    this.heard = new Map();
    statements.forEach((statement) => {
      const other = this.heard.get(statement.id);
      if (crediblePace(statement.pace) !== undefined && !(other && other.at >= statement.at))
        this.heard.set(statement.id, statement);
    });
  }

  /** Drops what is known of a target. */
  forget(id: TargetId): void {
    this.own.delete(id);
    this.heard.delete(id);
  }

  /** Returns the slowness that this instance itself has found. */
  ownFinding(id: TargetId, now: number): SlowFinding | undefined {
    const report = this.own.get(id);
    return report?.confirmed && now - report.at <= FINDING_VALID_MS
      ? { pace: report.pace, at: report.at, source: 'own' }
      : undefined;
  }

  /** Returns the latest finding that a target is slow; a later own report below the ratio refutes a peer. */
  finding(id: TargetId, ratio: number, now: number): SlowFinding | undefined {
    const own = this.ownFinding(id, now);
    const heard = this.heard.get(id);
    if (!heard || heard.pace < ratio || now - heard.at > FINDING_VALID_MS) return own;
    const report = this.own.get(id);
    if (report && report.slowSince === undefined && report.at >= heard.at) return undefined;
    if (own && own.at >= heard.at) return own;
    return { pace: heard.pace, at: heard.at, source: 'heard' };
  }

  /** Returns how many times as long as usual work takes now: 1 if no current report tells. */
  paceAt(id: TargetId, now: number): number {
    const report = this.own.get(id);
    return report && now - report.at <= CURRENT_MS ? report.pace : 1;
  }

  /** Ids of the targets that anything is known of that may be a slowness. */
  suspects(): Set<TargetId> {
    const own = [...this.own].filter(([, { confirmed }]) => confirmed).map(([id]) => id);
    return new Set([...own, ...this.heard.keys()]);
  }
}
