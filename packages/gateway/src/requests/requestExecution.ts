/** The state of a request in progress, and the dependencies for handling requests. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Span } from '@opentelemetry/api';
import type { CrashReports } from '@cardamomladder/fleet';
import type { MemoryBudget, MemoryHolder } from '@cardamomladder/http-json';
import type { OverShare, Quarantine, RecentAnswers, ShareDecision } from '@cardamomladder/steering';
import type { GatewayMetrics } from '@cardamomladder/telemetry';
import type {
  IssuedRequest,
  CallerDigest,
  InstanceId,
  RequestDigest,
  ServiceName,
  StorePosition,
  TargetId,
} from '@cardamomladder/types';
import type { DecisionLog } from '../decisionLog';
import type { PaceProbes } from '../pace/paceProbes';
import type { ForwardingPeers } from '../reach/forwardingPeers';
import type { ReachMonitor } from '../reach/reachMonitor';
import type { Attempt, AttemptOutcome } from '../targets/attempt';
import type { CrashDetector } from '../targets/crashDetector';
import type { TargetRegistry } from '../targets/registry';
import type { WireProtocol } from '../wireProtocol';
import type { Admission } from './admission';
import { refuseStopping, sendGatewayResponse } from './responses';
import type { CallerRequest } from './callerRequest';
import { hasCallerLeft } from './callerRequest';
import type { FairShares } from './fairShares';
import { callerDigestOf, requestDigestOf } from './digest';
import type { ReadBarrier } from './readBarrier';
import type { ConnectionLoss } from './lostConnection';
import { recordCut, recordLostConnection } from './lostConnection';
import type { ServiceRetries, Withdrawal } from './retryBudgets';

/** Dependencies for handling requests, provided by the instance. */
export interface ServeContext {
  wire: WireProtocol;
  registry: TargetRegistry;
  /** Whether this instance reaches targets itself. */
  reach: ReachMonitor;
  /** The peers that serve its requests while it doesn't. */
  peers: ForwardingPeers;
  crashes: CrashDetector;
  quarantine: Quarantine;
  recentAnswers: RecentAnswers;
  crashReports: Pick<CrashReports, 'answered'>;
  fairShares: FairShares;
  /** Chooses the first destination; requests may wait for a slot. */
  admission: Admission;
  /** Asks targets for their pace. */
  paceProbes: Pick<PaceProbes, 'ask'>;
  retriesOf: (service: ServiceName) => ServiceRetries;
  /** True when customers authenticate with API keys, which must not be forwarded to targets. */
  apiKeysRequired: () => boolean;
  /** Versions of the configuration and of the store data in use, for the log. */
  versions: () => { configuration: number } & StorePosition;
  /** Tells when a request may be sent without missing that its caller has left. */
  reads: Pick<ReadBarrier, 'isRecent' | 'passed'>;
  /** The memory that answers share until they are passed on. */
  answers: MemoryBudget;
  /** When this process ends, ms on the monotonic clock; Infinity unless it is stopping. */
  endsAt: () => number;
  metrics: GatewayMetrics;
  log: DecisionLog;
  now: () => number;
}

/** How a request ended. */
export type ServeOutcome = 'answered' | 'rejected' | 'failed' | 'timed-out' | ConnectionLoss;

/** Sends allowed on top of the route's limit if connections fail: half a failure domain may fail at once. */
const EXTRA_SENDS = 2;

/** Why the send in progress of a request that ends early is lost. */
const LOST_REASONS = {
  'timed-out': 'timeout',
  'caller-left': 'cancelled',
  cut: 'cut',
  rejected: 'cut',
} as const;

/** The state of a request in progress. */
export class RequestExecution {
  readonly tried = new Set<TargetId>();

  /** Peers that this request was forwarded to. */
  readonly triedPeers = new Set<InstanceId>();

  sends = 0;

  /** When the request was last sent; monotonic clock, ms. */
  lastSentAt: number | undefined;

  /** Set once the request was within its claimant's share: true if it goes before others for that. */
  withinShare: { urgent: boolean } | undefined;

  /** Why the request is over its claimant's share. */
  overShare: OverShare | undefined;

  /** True once the request was counted as one that found no room. */
  private foundFull = false;

  private isUrgent: boolean;

  /** Set once the caller has disconnected or the request has timed out. */
  ended: ServeOutcome | undefined;

  private currentAttempt: Attempt | undefined;

  private withdrawal: Withdrawal | undefined;

  /** True once a send has ended without a statement that the request did not run. */
  private hasUnknownEnd = false;

  /** True once its answer only has to be delivered. */
  isAnswered = false;

  private endWait: (() => void) | undefined;

  private answerMemory: MemoryHolder | undefined;

  constructor(
    readonly request: CallerRequest,
    readonly req: IncomingMessage,
    readonly res: ServerResponse,
    readonly ctx: ServeContext,
    /** The request's span, the parent of the spans of its sends. */
    readonly span: Span,
  ) {
    const { priorityBaseline } = ctx.registry.forService(request.service);
    this.isUrgent = priorityBaseline.observe(request.priority);
  }

  /** Sends for which no connection could be established. */
  private unreachable = 0;

  private cachedRequestDigest: RequestDigest | undefined;

  private cachedCallerDigest: CallerDigest | undefined;

  /** Digest of the request without its caller; computed on first use. */
  get requestDigest(): RequestDigest {
    this.cachedRequestDigest ??= requestDigestOf(this.request);
    return this.cachedRequestDigest;
  }

  /** Digests of the request and its caller; the caller's is computed on first use, as it is needed only while a crash is suspected and to log failed sends. */
  get asked(): IssuedRequest {
    this.cachedCallerDigest ??= callerDigestOf(this.request);
    return { request: this.requestDigest, caller: this.cachedCallerDigest };
  }

  /** True if the request is quarantined because it crashes targets. */
  get quarantined(): boolean {
    const { quarantine } = this.ctx;
    return !quarantine.isEmpty && quarantine.blocks(this.asked);
  }

  /** Keeps whether the request is within its claimant's share: it is decided on once. */
  recordShare(decision: ShareDecision): void {
    if (decision.kind === 'within') this.withinShare = { urgent: decision.urgent };
    else this.overShare = decision;
  }

  /** Returns true the first time that the request finds no room. */
  countFull(): boolean {
    const isFirst = !this.foundFull;
    this.foundFull = true;
    return isFirst;
  }

  /** True if the request's priority is higher than that of most recent requests of its service, or its caller returns as told. */
  get urgent(): boolean {
    return this.isUrgent;
  }

  /** Lets the request take the extra place of urgent ones. */
  markUrgent(): void {
    this.isUrgent = true;
  }

  countSend(target: TargetId): void {
    this.recordSend();
    this.tried.add(target);
  }

  countForward(peer: InstanceId): void {
    this.recordSend();
    this.triedPeers.add(peer);
  }

  private recordSend(): void {
    this.sends += 1;
    this.lastSentAt = this.ctx.now();
  }

  /** Sends that may still reach a target, this one included; of a request that may be repeated, one is kept for another peer. */
  attemptsToForward(isRepeatable: boolean): number {
    const left = this.request.route.maxAttempts - (this.sends - this.unreachable);
    return Math.max(1, isRepeatable ? left - 1 : left);
  }

  countUnreachableSend(): void {
    this.unreachable += 1;
  }

  /** True while the route's limit allows another send; sends without a connection only count towards a higher limit. */
  get maySendMore(): boolean {
    const { maxAttempts } = this.request.route;
    const toTargets = this.sends - this.triedPeers.size;
    return this.sends - this.unreachable < maxAttempts && toTargets < maxAttempts + EXTRA_SENDS;
  }

  /** Keeps the repeat that was taken from the budget for the next send. */
  recordWithdrawal(withdrawal: Withdrawal): void {
    this.withdrawal = withdrawal;
  }

  /** Hands over the repeat that was taken from the budget, if any, to the send that uses it. */
  takeWithdrawal(): Withdrawal | undefined {
    const { withdrawal } = this;
    this.withdrawal = undefined;
    return withdrawal;
  }

  /** True if a send before the one in progress may have run at its destination. */
  get mayHaveRun(): boolean {
    return this.hasUnknownEnd;
  }

  recordSendEnd({ kind }: AttemptOutcome): void {
    if (kind !== 'not-run') this.hasUnknownEnd = true;
  }

  /** True if the send in progress may have reached its destination. */
  get hasConnected(): boolean {
    return this.currentAttempt?.isConnected() ?? false;
  }

  setCurrentAttempt(attempt: Attempt): void {
    this.currentAttempt = attempt;
  }

  /** The memory of the answer to the next send, held until the response is closed; that of an earlier answer counts no longer. */
  openAnswerMemory(): MemoryHolder {
    if (!this.answerMemory) this.res.once('close', () => this.answerMemory?.close());
    this.answerMemory?.close();
    this.answerMemory = this.ctx.answers.open();
    return this.answerMemory;
  }

  /** Calls back once the responses before this one on the caller's connection are complete. */
  whenNext(callback: () => void): void {
    if (this.res.socket) callback();
    else this.res.once('socket', callback);
  }

  /** Records that the answer is there, and measures how long its delivery takes once it is next on its connection. */
  recordAnswer(): void {
    const { request, res, ctx } = this;
    this.isAnswered = true;
    const deliveries = ctx.registry.forService(request.service).deliveries[request.route.kind];
    this.whenNext(() => {
      const delivery = deliveries.start(ctx.now(), request.callerLeavesAt);
      res.once('finish', () => delivery.answered(ctx.now()));
      res.once('close', () => delivery.discard());
    });
  }

  /** Gives up the request as this process ends, so that the answers behind it on its connection go out. */
  giveUpAtStop(): void {
    const { res, ctx, request, sends, lastSentAt } = this;
    if (this.ended || this.isAnswered || res.headersSent) return;
    recordCut(request.id, 'stop', { ...request, sends, lastSentAt }, ctx);
    sendGatewayResponse(res, { status: 504, message: 'no answer before this instance ends' });
    this.abort('cut');
  }

  /** Refuses the request as this process ends, unless a target may have seen it; returns whether it did. */
  refuseUnsent(): boolean {
    const { res } = this;
    if (this.ended || this.mayHaveRun || this.hasConnected || res.headersSent) return false;
    refuseStopping(res);
    this.abort('rejected');
    return true;
  }

  /**
   * Waits until it is known whether the caller has left, unless that has just been
   * read. Returns how the request has ended, if it has. To be called before each send.
   */
  async endedBeforeSend(): Promise<ServeOutcome | undefined> {
    const { reads } = this.ctx;
    if (!reads.isRecent) await reads.passed();
    if (hasCallerLeft(this.req)) this.connectionLost();
    return this.ended;
  }

  /** Ends the request because its connection has ended. */
  connectionLost(): void {
    if (this.ended) return;
    const { request, req, ctx, sends, lastSentAt, isAnswered } = this;
    const abandoned = { ...request, sends, lastSentAt, isAnswered };
    this.abort(recordLostConnection(request.id, req, abandoned, ctx));
  }

  /** Sets what ends the wait for a slot when the request is ended early. */
  onAbort(endWait: (() => void) | undefined): void {
    this.endWait = endWait;
  }

  /** Ends the request early, because its connection has ended, the deadline has passed or it is refused. */
  abort(outcome: keyof typeof LOST_REASONS): void {
    if (this.ended) return;
    this.ended = outcome;
    if (outcome === 'timed-out' && !this.res.headersSent)
      sendGatewayResponse(this.res, { status: 504, message: 'no answer in time' });
    this.endWait?.();
    this.currentAttempt?.cancel(LOST_REASONS[outcome]);
    this.currentAttempt?.discard();
  }

  /** Ends the send in progress after an exception. */
  endEarly(): void {
    this.ended ??= 'failed';
    this.currentAttempt?.cancel('cancelled');
    this.currentAttempt?.discard();
  }
}
