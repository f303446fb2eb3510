/**
 * Detects that this instance has lost its links to all targets while callers, the
 * store and peers still reach it. The same silence may have other causes (slow or
 * stopped targets, few requests), so it only leads to probes of some targets over new
 * connections; the instance counts as cut off if no probe is answered.
 */
import type { BehaviorSubject } from 'rxjs';
import { UnansweredSends } from '@cardamomladder/steering';
import type { TargetId } from '@cardamomladder/types';
import { sleep } from '@cardamomladder/types';

/** Silence of all targets after which some are probed, ms. */
const MIN_SILENCE_MS = 250;
/** The same after probes that were answered, ms: responses of this deployment take longer. */
const MAX_SILENCE_MS = 375;
const SILENCE_GROWTH = 1.5;
/** The silence is reset to its minimum after this long without a needless probe, ms. */
const SILENCE_RESET_MS = 10_000;
/** Interval between checks while sends are in flight, ms. */
const CHECK_INTERVAL_MS = 50;
/** Minimum time from an answered probe to the next one, ms. */
const PROBE_PAUSE_MS = 400;
/** Number of different targets whose connections must fail, without a response from any target in between, before some are probed; fewer if a service has no others. */
const MIN_FAILED_TARGETS = 2;
/** Consecutive unanswered probes after which requests that nobody else can serve are rejected without a send. */
const MIN_PROBES_TO_REJECT = 2;
/** Minimum and maximum pause between probes while cut off, ms; it grows, as the targets themselves may be down and are probed by all instances. */
const MIN_RECHECK_MS = 250;
const MAX_RECHECK_MS = 1000;
const RECHECK_GROWTH = 1.5;
/** A response within this time shows that open connections still work, ms. */
const OPEN_CONNECTIONS_WORK_MS = 1000;
/** Margin added to the time until the next probe in Retry-After, ms. */
const RETRY_MARGIN_MS = 100;

/** How a send ended: a response arrived, its connection failed, or neither is known. */
export type SendEnd = 'answered' | 'failed' | 'unknown';

/** One send, as the monitor sees it. */
export interface WatchedSend {
  /** Called if the send opens a new connection. */
  openedConnection: () => void;
  end: (outcome: SendEnd) => void;
}

/** The result of a probe; `unknown` if there was no target to probe or this instance was too busy to read the answer. */
export type ProbeResult = 'answered' | 'silent' | 'unknown';

/** Dependencies of the monitor. */
export interface ReachMonitorOptions {
  /** Probes some targets over new connections; never rejects. */
  probe: () => Promise<ProbeResult>;
  /** Returns true if a service has no usable target besides the given ones: requests for it are rejected without a send, so no further failure follows. */
  leavesNone: (failedTargets: ReadonlySet<TargetId>) => boolean;
  /** Set to true while this instance reaches no target over new connections. */
  cutOff: BehaviorSubject<boolean>;
  /** Monotonic clock, ms. */
  now: () => number;
  log: (event: 'probe answered' | 'cut off' | 'reached', detail: Record<string, unknown>) => void;
}

/** Watches the sends to all targets. */
export class ReachMonitor {
  private readonly sends = new UnansweredSends();

  /** Sends over new connections only: open connections may live on while new ones hang. */
  private readonly newConnectionSends = new UnansweredSends();

  private readonly failedTargets = new Set<TargetId>();

  private lastAnswerAt = -Infinity;

  private lastNewConnectionAnswerAt = -Infinity;

  private inFlight = 0;

  private checkTimer: NodeJS.Timeout | undefined;

  private silenceMs = MIN_SILENCE_MS;

  private needlessProbeAt = -Infinity;

  private nextProbeAt = -Infinity;

  private probing: Promise<boolean> | undefined;

  private unansweredProbes = 0;

  private stopped = false;

  constructor(private readonly options: ReachMonitorOptions) {}

  /** True while this instance reaches no target over new connections. */
  get isCutOff(): boolean {
    return this.cutOff.value;
  }

  get cutOff(): BehaviorSubject<boolean> {
    return this.options.cutOff;
  }

  /** True while no send can succeed: probes remain unanswered, and so do sends over open connections. */
  get isIsolated(): boolean {
    return (
      this.isCutOff &&
      this.unansweredProbes >= MIN_PROBES_TO_REJECT &&
      this.lastAnswerAt < this.options.now() - OPEN_CONNECTIONS_WORK_MS
    );
  }

  /** Retry delay of requests rejected while isolated, ms: until the next probe has been answered. */
  get retryAfterMs(): number {
    return Math.max(0, this.nextProbeAt - this.options.now()) + RETRY_MARGIN_MS;
  }

  /** True if any target has answered since `at`. */
  hasAnswerSince(at: number): boolean {
    return this.lastAnswerAt >= at;
  }

  /** Records a send to a target. */
  startSend(target: TargetId): WatchedSend {
    const sentAt = this.options.now();
    const endSend = this.sends.start(sentAt, this.silenceMs);
    let endNewConnectionSend: ReturnType<UnansweredSends['start']> | undefined;
    this.inFlight += 1;
    this.startChecks();
    return {
      openedConnection: () => {
        endNewConnectionSend = this.newConnectionSends.start(this.options.now(), this.silenceMs);
      },
      end: (outcome) => {
        this.inFlight -= 1;
        const at = this.options.now();
        const ended = outcome === 'answered' ? 'answered' : 'lost';
        endSend(ended, at);
        endNewConnectionSend?.(ended, at);
        if (outcome === 'answered') this.recordAnswer(endNewConnectionSend !== undefined);
        if (outcome === 'failed') this.recordFailure(target);
      },
    };
  }

  /** Probes at once, and resolves to whether this instance reaches targets; also true if that is unknown. */
  async verify(): Promise<boolean> {
    return this.isCutOff ? false : this.probe();
  }

  /** Finds out whether this instance reaches targets before callers send it requests. */
  async verifyAtStart(): Promise<void> {
    // A single probe may time out because the process itself is still starting.
    if ((await this.options.probe()) === 'silent') await this.probe();
  }

  stop(): void {
    this.stopped = true;
    clearInterval(this.checkTimer);
  }

  private recordAnswer(overNewConnection: boolean): void {
    this.lastAnswerAt = this.options.now();
    this.failedTargets.clear();
    if (!overNewConnection) return;
    this.lastNewConnectionAnswerAt = this.lastAnswerAt;
    if (this.isCutOff) this.markReached('a request was answered over a new connection');
  }

  private recordFailure(target: TargetId): void {
    this.failedTargets.add(target);
    this.check();
  }

  private startChecks(): void {
    if (this.checkTimer || this.stopped) return;
    this.checkTimer = setInterval(() => {
      this.check();
      if (this.inFlight > 0) return;
      clearInterval(this.checkTimer);
      this.checkTimer = undefined;
    }, CHECK_INTERVAL_MS).unref();
  }

  private check(): void {
    const now = this.options.now();
    if (this.isCutOff || this.probing || now < this.nextProbeAt) return;
    const suspicious =
      this.failedTargets.size >= MIN_FAILED_TARGETS ||
      (this.failedTargets.size > 0 && this.options.leavesNone(this.failedTargets)) ||
      this.sends.isUnresponsive(now) ||
      this.newConnectionSends.isUnresponsive(now);
    if (suspicious) this.probe();
  }

  private probe(): Promise<boolean> {
    this.probing ??= this.runProbe().finally(() => {
      this.probing = undefined;
    });
    return this.probing;
  }

  private async runProbe(): Promise<boolean> {
    const startedAt = this.options.now();
    const result = await this.options.probe();
    const now = this.options.now();
    const answered = result === 'answered' || this.lastNewConnectionAnswerAt >= startedAt;
    if (answered || result === 'unknown') {
      this.recordNeedlessProbe(now);
      return true;
    }
    if (!this.isCutOff) this.markCutOff();
    return false;
  }

  private recordNeedlessProbe(now: number): void {
    const recent = now - this.needlessProbeAt < SILENCE_RESET_MS;
    this.silenceMs = recent
      ? Math.min(MAX_SILENCE_MS, this.silenceMs * SILENCE_GROWTH)
      : MIN_SILENCE_MS;
    this.needlessProbeAt = now;
    this.nextProbeAt = now + PROBE_PAUSE_MS;
    this.failedTargets.clear();
    this.options.log('probe answered', { silenceMs: this.silenceMs });
  }

  private markCutOff(): void {
    this.unansweredProbes = 1;
    this.options.log('cut off', {
      lastAnswerMsAgo: Math.round(this.options.now() - this.lastAnswerAt),
      failedTargets: [...this.failedTargets],
    });
    this.cutOff.next(true);
    this.probeUntilReached().catch(() => {});
  }

  private markReached(reason: string): void {
    this.unansweredProbes = 0;
    this.failedTargets.clear();
    this.nextProbeAt = this.options.now() + PROBE_PAUSE_MS;
    this.options.log('reached', { reason });
    this.cutOff.next(false);
  }

  private async probeUntilReached(): Promise<void> {
    let pauseMs = MIN_RECHECK_MS;
    while (this.isCutOff && !this.stopped) {
      const result = await this.options.probe();
      if (!this.isCutOff || this.stopped) return;
      if (result === 'answered') {
        this.markReached('a probe was answered');
        return;
      }
      if (result === 'silent') this.unansweredProbes += 1;
      this.nextProbeAt = this.options.now() + pauseMs;
      await sleep(pauseMs);
      pauseMs = Math.min(MAX_RECHECK_MS, pauseMs * RECHECK_GROWTH);
    }
  }
}
