/** Limits the probes for targets' paces, and records what they find. */
import type { ServicePace, TargetInfo } from '@cardamomladder/steering';
import type { GatewayMetrics } from '@cardamomladder/telemetry';
import type { TargetId } from '@cardamomladder/types';
import type { DecisionLog } from '../decisionLog';
import type { PaceProbeResult } from './probePace';

/** Minimum time between two probes of one target by this instance, ms. */
const PROBE_INTERVAL_MS = 1000;

/** Dependencies of the probes. */
export interface PaceProbesOptions {
  probe: (target: TargetInfo) => Promise<PaceProbeResult>;
  metrics: Pick<GatewayMetrics, 'paceProbes'>;
  log: DecisionLog;
  now: () => number;
}

/** Why a target is asked: a send is late, or an ejected target's finding is old. */
export type PaceProbeReason = 'late' | 'renewal';

/** The probes of all targets. */
export class PaceProbes {
  private readonly probedAt = new Map<TargetId, number>();

  constructor(private readonly options: PaceProbesOptions) {}

  /** Asks a target for its pace, unless it was asked a moment ago. */
  async ask(target: TargetInfo, pace: ServicePace, reason: PaceProbeReason): Promise<void> {
    const { probe, metrics, log, now } = this.options;
    const { id } = target;
    const askedAt = now();
    this.dropOld(askedAt);
    if (this.probedAt.has(id)) return;
    this.probedAt.set(id, askedAt);
    const result = await probe(target);
    metrics.paceProbes.inc({ result: result.kind });
    const stated = result.kind === 'stated' ? result.pace : undefined;
    const ms = Math.round(now() - askedAt);
    log.write('target-pace', undefined, {
      event: 'probe',
      target: id,
      reason,
      result: result.kind,
      pace: stated,
      ms,
    });
    pace.report(id, stated, 'probe', now());
  }

  private dropOld(now: number): void {
    this.probedAt.forEach((at, id) => {
      if (now - at >= PROBE_INTERVAL_MS) this.probedAt.delete(id);
    });
  }
}
