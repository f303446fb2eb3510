/**
 * Chooses a request's first destination, and holds the requests that wait for one:
 * timers, callers that leave, and the events after which those that wait are tried
 * again. Who waits, in which order and when refused callers come back is decided in
 * `ServiceAdmission`.
 */
import type { AdmissionRequest, Judgement, RefusedRequest, Turn } from '@cardamomladder/steering';
import { ServiceAdmission } from '@cardamomladder/steering';
import type { InstanceSettings } from '@cardamomladder/settings';
import type { GatewayMetrics } from '@cardamomladder/telemetry';
import type { ServiceName } from '@cardamomladder/types';
import { appliesTo } from '../scope';
import type { TargetRegistry } from '../targets/registry';
import { consumeRateLimit } from './chooseRetry';
import { QUARANTINE_RETRY_AFTER_MS } from './crashEvidence';
import type { DestinationChoice } from './destination';
import { chooseDestination } from './destination';
import type { Admitted, Refusal, StartSend } from './firstSend';
import { hasNews } from './placeable';
import type { ReadBarrier } from './readBarrier';
import type { RequestExecution } from './requestExecution';

/** Dependencies of the admission. */
export interface AdmissionOptions {
  settings: InstanceSettings['admission'];
  registry: Pick<TargetRegistry, 'forService'>;
  metrics: Pick<GatewayMetrics, 'waitingRequests' | 'waitSeconds' | 'turns'>;
  reads: Pick<ReadBarrier, 'isRecent' | 'passed'>;
  now: () => number;
}

/** A request that waits. */
interface Held {
  /** Tries to place it; returns true if it waits no longer. */
  retry: () => boolean;
  refuse: () => void;
}

interface ServiceState {
  admission: ServiceAdmission<Held>;
  triedAt: number;
  /** True while a try waits until it is known which callers have left. */
  isTryDue?: boolean;
  timer?: NodeJS.Timeout;
}

/** Longest time between two tries while requests wait, ms: estimates of load decay without an event. */
const MAX_TRY_INTERVAL_MS = 25;
/** Those that wait are tried before a new request, or when a send ends or a target changes, if the last try is this old, ms. */
const MIN_TRY_INTERVAL_MS = 5;
const MS_PER_SECOND = 1000;

const digestOf = ({ asked }: RequestExecution): string => `${asked.request}/${asked.caller}`;

/** The admission of all services at one instance. */
export class Admission {
  private readonly services = new Map<ServiceName, ServiceState>();

  private isStopping = false;

  constructor(private readonly options: AdmissionOptions) {}

  /** Chooses a destination and starts the send; waits for a slot where that serves the caller. */
  firstSend(execution: RequestExecution, start: StartSend): Admitted | Promise<Admitted> {
    const { request } = execution;
    if (!this.appliesTo(request.service)) return this.begin(execution, start);
    const state = this.stateOf(request.service);
    const { admission } = state;
    const now = this.options.now();
    // What is free after this is nothing that those who wait can take.
    this.retryIfDue(state);
    const firstAskedAt = admission.turns.isAnyKept(now)
      ? admission.turns.take(digestOf(execution), now)
      : undefined;
    const returned = firstAskedAt !== undefined;
    if (returned) execution.markUrgent();
    const first = this.begin(execution, start);
    if (first.kind === 'sent' || first.reason !== 'full') return first;
    const waiting: AdmissionRequest = {
      priority: request.priority,
      returned,
      firstAskedAt: Math.min(
        firstAskedAt ?? request.arrivedAt,
        request.arrivedAt - request.waitedBeforeMs,
      ),
      objectiveMs: request.route.latencyObjectiveMs,
      waitedMs: 0,
      deadlineAt: request.deadlineAt,
    };
    waiting.waitedMs = now - waiting.firstAskedAt;
    const judgement = admission.judge(waiting, now);
    if (judgement.kind === 'refuse' || this.isStopping)
      return this.refusal(execution, waiting, judgement, now);
    return this.wait(execution, start, waiting, judgement);
  }

  /** The turn of a request that targets refused; `otherwiseMs` where no turns are given. */
  retryAfterMs(execution: RequestExecution, otherwiseMs: number): number {
    const { request } = execution;
    if (!this.appliesTo(request.service)) return otherwiseMs;
    return this.giveTurn(execution, {
      firstAskedAt: request.arrivedAt - request.waitedBeforeMs,
      objectiveMs: request.route.latencyObjectiveMs,
      deadlineAt: request.deadlineAt,
    }).retryAfterMs;
  }

  /** Tries those that wait for the service again, as a send to one of its targets has ended. */
  sendEnded(service: ServiceName, answeredAfterMs: number | undefined): void {
    if (!this.appliesTo(service)) return;
    const state = this.stateOf(service);
    if (answeredAfterMs !== undefined) state.admission.recordResponse(answeredAfterMs);
    this.retryIfDue(state);
  }

  /** Tries all that wait, as targets have appeared. */
  targetsChanged(): void {
    this.services.forEach((state) => this.retryIfDue(state));
  }

  /** Refuses those that wait; from now on none does. */
  stop(): void {
    this.isStopping = true;
    this.services.forEach(({ admission }) =>
      admission.offer((held) => {
        held.refuse();
        return true;
      }),
    );
  }

  private appliesTo(service: ServiceName): boolean {
    const { settings, registry } = this.options;
    return (
      settings.scope !== 'off' && appliesTo(settings.scope, registry.forService(service).statesPace)
    );
  }

  private stateOf(service: ServiceName): ServiceState {
    const existing = this.services.get(service);
    if (existing) return existing;
    const { maxWaitShare } = this.options.settings;
    const created = { admission: new ServiceAdmission<Held>(maxWaitShare), triedAt: 0 };
    this.services.set(service, created);
    return created;
  }

  private begin(execution: RequestExecution, start: StartSend): Admitted {
    const choice: DestinationChoice = chooseDestination(execution);
    if (choice.kind === 'rejected') return choice;
    const destination = consumeRateLimit(choice, execution);
    if (destination.kind === 'target')
      this.services.get(execution.request.service)?.admission.recordPlacement(this.options.now());
    return { kind: 'sent', destination, send: start(execution, destination) };
  }

  /** Each try places all that wait, so the interval bounds what a burst of events costs. */
  private retryIfDue(state: ServiceState): void {
    if (state.admission.size > 0 && this.options.now() - state.triedAt >= MIN_TRY_INTERVAL_MS)
      this.retryAll(state);
  }

  /** Tries all that wait, once it is known whose callers have left. */
  private retryAll(state: ServiceState): void {
    const { reads, now } = this.options;
    Object.assign(state, { triedAt: now() });
    if (reads.isRecent) {
      state.admission.offer((held) => held.retry());
      return;
    }
    if (state.isTryDue) return;
    Object.assign(state, { isTryDue: true });
    reads.passed().then(
      () => {
        Object.assign(state, { isTryDue: false });
        state.admission.offer((held) => held.retry());
      },
      () => {},
    );
  }

  private wait(
    execution: RequestExecution,
    start: StartSend,
    waiting: AdmissionRequest,
    judgement: Judgement,
  ): Promise<Admitted> {
    const { now, metrics } = this.options;
    const state = this.stateOf(execution.request.service);
    const since = now();
    metrics.waitingRequests.inc();
    return new Promise((resolve, reject) => {
      const endWait = (outcome: 'placed' | 'refused' | 'left'): void => {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        clearTimeout(timeout);
        execution.onAbort(undefined);
        metrics.waitingRequests.dec();
        metrics.waitSeconds.observe({ outcome }, (now() - since) / MS_PER_SECOND);
      };
      const end = (outcome: 'placed' | 'refused' | 'left', admitted: Admitted): void => {
        endWait(outcome);
        resolve(admitted);
      };
      const tryOnce = (): boolean => {
        if (execution.quarantined) {
          end('refused', {
            kind: 'rejected',
            reason: 'quarantined',
            retryAfterMs: QUARANTINE_RETRY_AFTER_MS,
          });
          return true;
        }
        if (!hasNews(execution)) return false;
        const first = this.begin(execution, start);
        if (first.kind === 'rejected' && first.reason === 'full') return false;
        end(first.kind === 'sent' ? 'placed' : 'refused', first);
        return true;
      };
      const refuse = (): void => end('refused', this.refusal(execution, waiting, judgement, since));
      const remove = state.admission.add(
        {
          // Called from timers, where an exception would end the process.
          retry: () => {
            try {
              return tryOnce();
            } catch (error) {
              endWait('refused');
              reject(error instanceof Error ? error : new Error(String(error)));
              return true;
            }
          },
          refuse,
        },
        waiting,
      );
      const timeout = setTimeout(() => {
        remove();
        refuse();
      }, judgement.until - since);
      execution.onAbort(() => {
        remove();
        end('left', { kind: 'rejected', reason: 'full', retryAfterMs: 0 });
      });
      this.keepTrying(state);
    });
  }

  private keepTrying(state: ServiceState): void {
    if (state.timer) return;
    const timer = setInterval(() => {
      if (state.admission.size > 0) {
        this.retryAll(state);
        return;
      }
      clearInterval(timer);
      Object.assign(state, { timer: undefined });
    }, MAX_TRY_INTERVAL_MS);
    Object.assign(state, { timer });
  }

  private giveTurn(execution: RequestExecution, refused: RefusedRequest): Turn {
    const { now, metrics } = this.options;
    const { admission } = this.stateOf(execution.request.service);
    const turn = admission.refuse(refused, now());
    if (turn.reserved) admission.turns.keep(digestOf(execution), turn, refused.firstAskedAt);
    metrics.turns.inc({ given: turn.reserved ? 'yes' : 'no' });
    return turn;
  }

  private refusal(
    execution: RequestExecution,
    waiting: AdmissionRequest,
    { ahead, expectedMs }: Judgement,
    since: number,
  ): Refusal {
    const turn = this.giveTurn(execution, waiting);
    return {
      kind: 'rejected',
      reason: 'full',
      retryAfterMs: turn.retryAfterMs,
      admission: {
        expectedWaitMs: Number.isFinite(expectedMs) ? Math.round(expectedMs) : undefined,
        ahead,
        waitedMs: Math.round(this.options.now() - since),
        turn: turn.reserved ? 'given' : 'none-left',
        caller: waiting.returned ? 'returned' : 'new',
      },
    };
  }
}
