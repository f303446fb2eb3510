/** Decides, while a send is under way, whether the request is sent once more. */
import { isIdempotent } from '@cardamomladder/routing';
import { Subscription, filter } from 'rxjs';
import type { AttemptOutcome } from '../targets/attempt';
import { chooseRetry } from './chooseRetry';
import type { Destination } from './destination';
import type { RequestExecution } from './requestExecution';
import { retryTimeoutMs } from './retryPolicy';
import type { Send } from './send';

const TIMED_OUT: AttemptOutcome = { kind: 'lost', reason: 'timeout' };

/** How long to wait for a response before a retry is considered, ms; undefined to wait until the deadline. */
const retryTimeoutOf = (
  { request, ctx, maySendMore }: RequestExecution,
  send: Send,
  destination: Destination,
): number | undefined => {
  if (!isIdempotent(request.route.kind) || !maySendMore) return undefined;
  const { peakResponseTimes } = ctx.registry.forService(request.service);
  const now = ctx.now();
  const isCold = destination.kind === 'target' && destination.target.placed.coldUntil > now;
  const kind = send.likelyCached && !isCold ? 'cached' : 'uncached';
  return retryTimeoutMs(request.deadlineAt - now, {
    send: peakResponseTimes[kind].estimateAt(now),
    retry: peakResponseTimes.uncached.estimateAt(now),
  });
};

/** Waits for a send's outcome, its retry timeout, or the moment at which this instance is found to be cut off. */
const waitForSend = async (
  { ctx }: RequestExecution,
  send: Send,
  destination: Destination,
  waitMs: number | undefined,
): Promise<'ended' | 'silent' | 'cut-off'> => {
  const { reach } = ctx;
  const waits: Promise<'ended' | 'silent' | 'cut-off'>[] = [send.outcome.then(() => 'ended')];
  const subscriptions = new Subscription();
  if (waitMs !== undefined)
    waits.push(
      new Promise((resolve) => {
        const timeout = setTimeout(() => resolve('silent'), waitMs);
        subscriptions.add(() => clearTimeout(timeout));
      }),
    );
  if (destination.kind === 'target' && !reach.isCutOff)
    waits.push(
      new Promise((resolve) => {
        subscriptions.add(reach.cutOff.pipe(filter(Boolean)).subscribe(() => resolve('cut-off')));
      }),
    );
  const first = await Promise.race(waits);
  subscriptions.unsubscribe();
  return first;
};

/** Waits until the send has ended or a retry is due; then returns the retry's destination, if one is allowed. */
export const chooseRetryWhileWaiting = async (
  execution: RequestExecution,
  send: Send,
  destination: Destination,
): Promise<Destination | undefined> => {
  const { request, ctx } = execution;
  const waitMs = retryTimeoutOf(execution, send, destination);
  const first = await waitForSend(execution, send, destination, waitMs);
  if (first === 'ended' || send.waitsForRoom()) return undefined;
  if (first === 'silent') return chooseRetry(execution, TIMED_OUT);
  if (!send.isConnected()) {
    // Ends the send as not run; the retry then follows from its outcome.
    send.cancel();
    return undefined;
  }
  // An open connection may have lived on.
  const isSilent = !ctx.reach.hasAnswerSince(send.sentAt);
  return isSilent && isIdempotent(request.route.kind)
    ? chooseRetry(execution, TIMED_OUT)
    : undefined;
};
