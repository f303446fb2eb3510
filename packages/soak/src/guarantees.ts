/**
 * Checks a soak's guarantees against what callers and targets observed. A
 * violation names the request and the observation; logs are never consulted.
 */
import { maxInWindow } from '@cardamomladder/load';
import type { FaultHistory } from './faultHistory';

/** `idempotent` requests may run more than once, `once` requests at most once. */
export type SoakRequestKind = 'idempotent' | 'once';

/** A request as its caller sent it; all times in ms on one monotonic clock. */
export interface SentRequest {
  id: string;
  kind: SoakRequestKind;
  path: string;
  body: string;
  instance: string;
  /** The process id of the instance; a restarted process need not know what the previous one served. */
  incarnation: number;
  at: number;
  /** The configuration with its route was acknowledged long enough ago that every instance must have it. */
  routeExpected: boolean;
  /** The configuration version that added its route; 0 if every version has it. */
  version: number;
  /** The customer that sent it; unset for a request without a customer. */
  customer?: string;
  /** Whether its API key is certainly valid or certainly revoked over an interval. */
  keyState?: (from: number, to: number) => 'valid' | 'revoked' | 'changing';
}

/** What the caller received; status 0 means that the connection ended without a complete response. */
export interface ReceivedResponse {
  status: number;
  at: number;
  /** The request id in the response. */
  id?: string;
  /** How the response differs from what a target sent, if it does. */
  corruption?: string;
}

/** One execution of a request, as a target observed it. */
export interface ObservedRun {
  id: string;
  path: string;
  body: string;
  target: string;
  at: number;
  /** The customer named in the request that reached the target. */
  customer?: string;
  /** True if the caller's API key reached the target. */
  apiKeyForwarded?: boolean;
}

export interface Violation {
  guarantee: string;
  detail: string;
}

/** The store as a component of the fault history. */
export const STORE = 'store';
/** An instance's network path to the store as a component of the fault history. */
export const storePathOf = (instance: string): string => `store path of ${instance}`;

/** Statuses that state that the request has not run and never will. */
const NOT_RUN = new Set([408, 421, 429, 503]);
const OK = 200;
const NOT_FOUND = 404;
const UNAUTHORIZED = 401;

/** Time bounds of the guarantees, ms. */
export interface GuaranteeBounds {
  /** Maximum time until a request's final response. */
  responseMs: number;
  /** A target that is leaving gets no request sent later than this after its leaving was acknowledged. */
  leavingMs: number;
}

/** Collects observations and reports violated guarantees. */
export class GuaranteeChecker {
  private readonly requests = new Map<string, SentRequest>();

  private readonly responses = new Map<string, ReceivedResponse>();

  private readonly runs = new Map<string, ObservedRun[]>();

  private readonly leavingAt = new Map<string, number>();

  /** The newest version whose route each process has served, and since when. */
  private readonly servedVersions = new Map<number, { version: number; at: number }>();

  private readonly violationsByKey = new Map<string, Violation>();

  constructor(
    private readonly faultHistory: FaultHistory,
    private readonly bounds: GuaranteeBounds,
  ) {}

  /** Numbers of requests sent and served successfully so far. */
  get counts(): { asked: number; served: number } {
    const served = [...this.responses.values()].filter((a) => a.status === 200).length;
    return { asked: this.requests.size, served };
  }

  get violations(): Violation[] {
    return [...this.violationsByKey.values()];
  }

  /** The status of a request's response; undefined if there is none yet. */
  statusOf(id: string): number | undefined {
    return this.responses.get(id)?.status;
  }

  requestOf(id: string): SentRequest | undefined {
    return this.requests.get(id);
  }

  recordRequest(request: SentRequest): void {
    this.requests.set(request.id, request);
  }

  /** Records that a target's leaving, or the evacuation of its failure domain, was acknowledged. */
  recordLeaving(target: string, at: number): void {
    this.leavingAt.set(target, at);
  }

  /** Records that the evacuation of a target's failure domain was cancelled. */
  recordRejoin(target: string): void {
    this.leavingAt.delete(target);
  }

  /** Records and checks a response that a caller received. */
  recordResponse(id: string, response: ReceivedResponse): void {
    const request = this.requests.get(id);
    if (!request) return;
    this.responses.set(id, response);
    if (response.status === 200 && (response.corruption || response.id !== id))
      this.reportViolation(
        'mixed',
        id,
        response.corruption ?? `the response carries request id ${response.id}`,
      );
    const unaffected = this.faultHistory.unaffected([request.instance], request.at, response.at);
    if (
      response.status === NOT_FOUND &&
      request.routeExpected &&
      this.couldReachStore(request, request.at, response.at)
    )
      this.reportViolation(
        'configuration',
        id,
        `status 404 for ${request.path}, whose route is in force`,
      );
    this.checkVersion(request, response);
    this.checkKey(request, response);
    if (unaffected && response.at - request.at > this.bounds.responseMs)
      this.reportViolation('late', id, `response after ${Math.round(response.at - request.at)} ms`);
    this.checkOutcome(request);
  }

  /** Records and checks a run at a target. */
  recordRun(run: ObservedRun): void {
    const request = this.requests.get(run.id);
    if (!request) {
      this.reportViolation('unasked', run.id, `ran at ${run.target}, but no caller sent it`);
      return;
    }
    const runs = [...(this.runs.get(run.id) ?? []), run];
    this.runs.set(run.id, runs);
    if (request.path !== run.path || request.body !== run.body)
      this.reportViolation('unasked', run.id, `ran as ${run.path} with a different path or body`);
    if (request.customer !== run.customer || run.apiKeyForwarded)
      this.reportViolation(
        'unasked',
        run.id,
        `ran for customer ${run.customer}, sent by ${request.customer}, or received the API key`,
      );
    if (request.kind === 'once' && runs.length > 1)
      this.reportViolation('twice', run.id, `ran at ${runs.map((r) => r.target).join(' and ')}`);
    const leavingAt = this.leavingAt.get(run.target) ?? Infinity;
    const isLate = Math.min(run.at, request.at) - leavingAt > this.bounds.leavingMs;
    if (isLate && this.couldReachStore(request, leavingAt, run.at))
      this.reportViolation(
        'leaving',
        run.id,
        `ran at ${run.target} ${Math.round(run.at - leavingAt)} ms after its leaving was acknowledged`,
      );
    this.checkOutcome(request);
  }

  /** Checks that at most `maxRuns` requests of a customer ran in any window. */
  checkRateLimit(customer: string, maxRuns: number, windowMs: number): void {
    const ran = [...this.runs.values()]
      .filter(([first]) => first.customer === customer)
      .map((all) => Math.min(...all.map(({ at }) => at)))
      .sort((a, b) => a - b);
    const count = maxInWindow(ran, windowMs);
    if (count > maxRuns)
      this.reportViolation('limit', customer, `${count} requests in a window, limit is ${maxRuns}`);
  }

  /** Reports a violated guarantee; it counts once per subject. */
  reportViolation(guarantee: string, subject: string, detail: string): void {
    this.violationsByKey.set(`${guarantee} ${subject}`, {
      guarantee,
      detail: `${subject}: ${detail}`,
    });
  }

  /** A process that has served a configuration version never returns to an older one, even during faults. */
  private checkVersion(
    { id, incarnation, version, at }: SentRequest,
    response: ReceivedResponse,
  ): void {
    if (version === 0) return;
    const served = this.servedVersions.get(incarnation);
    if (response.status === 200 && version > (served?.version ?? 0))
      this.servedVersions.set(incarnation, { version, at: response.at });
    if (response.status === NOT_FOUND && served && version <= served.version && at > served.at)
      this.reportViolation(
        'reverted',
        id,
        `no route of version ${version} after version ${served.version} was served`,
      );
  }

  /** A valid API key is accepted and a revoked one refused by instances that could reach the store. */
  private checkKey(request: SentRequest, { status, at }: ReceivedResponse): void {
    const state = request.keyState?.(request.at, at) ?? 'changing';
    if (state === 'changing' || !this.couldReachStore(request, request.at, at)) return;
    if (state === 'valid' && status === UNAUTHORIZED)
      this.reportViolation('key', request.id, 'refused with a valid API key');
    if (state === 'revoked' && status === OK)
      this.reportViolation('key', request.id, 'served with a revoked API key');
  }

  /** True if the instance could learn the store's state during the whole interval. */
  private couldReachStore({ instance }: SentRequest, from: number, to: number): boolean {
    return this.faultHistory.unaffected([instance, storePathOf(instance), STORE], from, to);
  }

  /** Checks that need both the response and the run; called by whichever is recorded last. */
  private checkOutcome(request: SentRequest): void {
    const response = this.responses.get(request.id);
    const run = this.runs.get(request.id)?.at(-1);
    if (!response || !run) return;
    if (request.kind === 'once' && NOT_RUN.has(response.status))
      this.reportViolation(
        'refused',
        request.id,
        `ran, though the response status was ${response.status}`,
      );
    // An instance that is closing doesn't forward a request that arrives
    // meanwhile; one forwarded to a healthy target must be answered, also
    // during a graceful shutdown.
    const unaffected = this.faultHistory.unaffected(
      [request.instance, run.target],
      request.at,
      response.at,
    );
    if (response.status === 0 && unaffected)
      this.reportViolation('lost', request.id, `ran at ${run.target}`);
  }
}
