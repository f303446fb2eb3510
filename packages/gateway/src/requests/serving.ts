/** The state of one request while it is served, and what serving needs of the instance. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Span } from '@opentelemetry/api';
import type { CrashReports } from '@cardamomladder/fleet';
import type { AnsweredLately, Quarantine, RepeatBudget } from '@cardamomladder/steering';
import type { GatewayMetrics } from '@cardamomladder/telemetry';
import type {
  AskedRequest,
  CallerDigest,
  RequestDigest,
  ServiceName,
  StoreMoment,
  TargetId,
} from '@cardamomladder/types';
import type { DecisionLog } from '../decisionLog';
import type { Attempt } from '../targets/attempt';
import type { CrashWitness } from '../targets/crashWitness';
import type { TargetRegistry } from '../targets/registry';
import type { Wire } from '../wireNames';
import { answerOwn } from './answers';
import type { CallerRequest } from './callerRequest';
import { callerDigestOf, requestDigestOf } from './digest';

/** What serving needs of the instance. */
export interface ServeContext {
  wire: Wire;
  registry: TargetRegistry;
  crashes: CrashWitness;
  quarantine: Quarantine;
  answeredLately: AnsweredLately;
  crashReports: Pick<CrashReports, 'answered'>;
  budgetOf: (service: ServiceName) => RepeatBudget;
  /** Instances that share the repeat budget. */
  fleetSize: () => number;
  /** True when customers have keys, which targets must not see. */
  keysRequired: () => boolean;
  /** Versions of what is believed, for the log. */
  versions: () => { configuration: number } & StoreMoment;
  metrics: GatewayMetrics;
  log: DecisionLog;
  now: () => number;
}

/** How a request ended. */
export type ServeOutcome = 'answered' | 'rejected' | 'failed' | 'timed-out' | 'caller-left';

/** Most sends that reached nobody, beside those that the route allows: half a failure domain may have gone at once. */
const EXTRA_SENDS = 2;

/** The state of one request while it is served. */
export class RequestExecution {
  readonly tried = new Set<TargetId>();

  sends = 0;

  /** More urgent than most of its service's requests of late. */
  readonly urgent: boolean;

  /** Set once the caller has gone or the final answer was given. */
  ended: ServeOutcome | undefined;

  private currentAttempt: Attempt | undefined;

  constructor(
    readonly request: CallerRequest,
    readonly req: IncomingMessage,
    readonly res: ServerResponse,
    readonly ctx: ServeContext,
    /** The request's span; its sends are the span's children. */
    readonly span: Span,
  ) {
    const { usualPriority } = ctx.registry.forService(request.service);
    this.urgent = usualPriority.take(request.priority);
  }

  /** Sends that reached nobody: no connection was made. */
  private unreachable = 0;

  private cachedRequestDigest: RequestDigest | undefined;

  private cachedCallerDigest: CallerDigest | undefined;

  /** What is asked, whoever asks; worked out when it is first needed. */
  get requestDigest(): RequestDigest {
    this.cachedRequestDigest ??= requestDigestOf(this.request);
    return this.cachedRequestDigest;
  }

  /** What is asked, and by whom. The caller's part is needed only while a crash is suspected. */
  get asked(): AskedRequest {
    this.cachedCallerDigest ??= callerDigestOf(this.request);
    return { request: this.requestDigest, caller: this.cachedCallerDigest };
  }

  /** True when the request must not be sent to a target, as it crashes them. */
  get quarantined(): boolean {
    const { quarantine } = this.ctx;
    return !quarantine.idle && quarantine.holds(this.asked);
  }

  /** Counts a send to `target`. */
  countSend(target: TargetId): void {
    this.sends += 1;
    this.tried.add(target);
  }

  /** Notes that a send reached nobody. */
  countUnreachableSend(): void {
    this.unreachable += 1;
  }

  /** True while one more send keeps to the route's limit; those that reached nobody count only against runaway tries. */
  get maySendMore(): boolean {
    const { maxAttempts } = this.request.route;
    return this.sends - this.unreachable < maxAttempts && this.sends < maxAttempts + EXTRA_SENDS;
  }

  /** Notes the send that is under way. */
  setCurrentAttempt(attempt: Attempt): void {
    this.currentAttempt = attempt;
  }

  /** Ends the request from outside its sends: the caller left, or the answer is due. */
  abort(outcome: 'timed-out' | 'caller-left'): void {
    if (this.ended) return;
    this.ended = outcome;
    if (outcome === 'timed-out' && !this.res.headersSent)
      answerOwn(this.res, { status: 504, message: 'no answer in time' });
    this.currentAttempt?.cancel(outcome === 'timed-out' ? 'timeout' : 'cancelled');
  }
}
