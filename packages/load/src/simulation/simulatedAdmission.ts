/** Requests of one simulated instance that wait for a slot, and the turns of rejected callers. */
import type {
  AdmissionRequest,
  PlacementOutcome,
  ServicePool,
  TargetState,
} from '@cardamomladder/steering';
import { NO_SPILLOVER, ServiceAdmission } from '@cardamomladder/steering';
import type { EventQueue } from './eventQueue';

/** What a simulated instance does with requests that find no slot. */
export interface SimulatedAdmissionOptions {
  /** Longest wait as a share of the objective; 0 for none. */
  maxWaitShare: number;
  /** Whether rejected callers get turns; otherwise they are told what the placement policy says. */
  turns: boolean;
}

/** A caller's request through all its attempts. Times in virtual ms. */
export interface SimulatedRequest {
  id: number;
  object: string;
  askedAt: number;
  priority: number;
}

/** What the simulation does for one attempt. */
export interface SimulatedAttempt {
  pool: ServicePool;
  choose: (urgent: boolean, pool?: ServicePool) => PlacementOutcome;
  send: (target: TargetState) => void;
  refuse: (retryAfterMs: number) => void;
}

/** The same as in the gateway, ms. */
const TRY_INTERVAL_MS = 25;

/** Admission of one simulated instance. */
export class SimulatedAdmission {
  private readonly admission: ServiceAdmission<() => boolean>;

  constructor(
    private readonly options: SimulatedAdmissionOptions,
    private readonly times: { objectiveMs: number; deadlineMs: number },
    private readonly events: EventQueue,
  ) {
    this.admission = new ServiceAdmission(options.maxWaitShare);
  }

  /** Sends the request, lets it wait, or rejects it. */
  admit({ id, askedAt, priority }: SimulatedRequest, attempt: SimulatedAttempt): void {
    const { admission, events, times } = this;
    this.retryAll();
    const returned = admission.turns.take(String(id), events.now) !== undefined;
    const request: AdmissionRequest = {
      priority,
      returned,
      firstAskedAt: askedAt,
      objectiveMs: times.objectiveMs,
      waitedMs: events.now - askedAt,
      deadlineAt: askedAt + times.deadlineMs,
    };
    const refuse = (retryAfterMs: number) => {
      const turn = admission.refuse(request, events.now);
      if (this.options.turns && turn.reserved) admission.turns.keep(String(id), turn, askedAt);
      attempt.refuse(this.options.turns ? turn.retryAfterMs : retryAfterMs);
    };
    const first = attempt.choose(returned);
    if (first.kind === 'placed') this.send(attempt, first.target);
    if (first.kind === 'placed') return;
    const judgement = admission.judge(request, events.now);
    if (first.reason !== 'full' || judgement.kind === 'refuse') {
      refuse(first.retryAfterMs);
      return;
    }
    let waits = true;
    const remove = admission.add(() => {
      const outcome = attempt.choose(returned, { ...attempt.pool, spillover: NO_SPILLOVER });
      if (outcome.kind === 'rejected') return false;
      waits = false;
      this.send(attempt, outcome.target);
      return true;
    }, request);
    events.after(judgement.until - events.now, () => {
      if (!waits) return;
      waits = false;
      remove();
      refuse(first.retryAfterMs);
    });
    if (admission.size === 1) this.keepTrying();
  }

  /** Tries those that wait again after a send, answered after `ms` if it ran. */
  sendEnded(ms: number | undefined): void {
    if (ms !== undefined) this.admission.recordResponse(ms);
    this.retryAll();
  }

  private send({ send }: SimulatedAttempt, target: TargetState): void {
    this.admission.recordPlacement(this.events.now);
    send(target);
  }

  private retryAll(): void {
    if (this.admission.size > 0) this.admission.offer((retry) => retry());
  }

  private keepTrying(): void {
    this.events.after(TRY_INTERVAL_MS, () => {
      this.retryAll();
      if (this.admission.size > 0) this.keepTrying();
    });
  }
}
