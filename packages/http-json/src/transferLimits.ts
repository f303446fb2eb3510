/**
 * Limits the time of a response by its progress. A limit on the whole response
 * would also be one on its size: over a slow link a large response would be given
 * up and requested again without end, and the link would carry nothing else.
 */
import type { ClientRequest, IncomingMessage } from 'node:http';

/** Maximum duration of a response after its head, ms: 6 MB over a link of 10 Mbit/s. */
const MAX_BODY_MS = 5000;

/** Maximum size of a response, bytes: more than all records of the largest deployment. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Time limits of one response, ms. */
export interface TransferLimits {
  /** Until its head arrives. */
  headMs: number;
  /** Between two parts of its body. */
  silenceMs: number;
  /** For the whole response. */
  totalMs: number;
}

/** A response received in full. */
export interface Transfer {
  bytes: number;
  /** Time from its head to its end, ms. */
  ms: number;
}

/** The limits of a response whose size is bounded, so that it is useless after `totalMs`. */
export const withinMs = (totalMs: number): TransferLimits => ({
  headMs: totalMs,
  silenceMs: totalMs,
  totalMs,
});

/** The limits of a response of any size, for which the sender may wait `waitMs` before its head. */
export const whileProgressing = (silenceMs: number, waitMs = 0): TransferLimits => ({
  headMs: waitMs + silenceMs,
  silenceMs,
  totalMs: waitMs + silenceMs + MAX_BODY_MS,
});

/** A response that made progress but was not complete within its total time or size: requested again, it would be no smaller. */
export class TransferTooLong extends Error {}

/** Calls `onTimeout` with the reason when the response exceeds a limit of time or size, `onReceived` when it is complete. */
export const limitTransfer = (
  req: ClientRequest,
  { headMs, silenceMs, totalMs }: TransferLimits,
  onTimeout: (reason: Error) => void,
  onReceived: (transfer: Transfer) => void = () => {},
): void => {
  let bytes = 0;
  let isClosed = false;
  let isHeadReceived = false;
  const silenceReason = (): Error =>
    new Error(
      isHeadReceived
        ? `no data for ${silenceMs} ms after ${bytes} bytes`
        : `no response within ${headMs} ms`,
    );
  const startTimer = (ms: number, reason: () => Error): NodeJS.Timeout =>
    setTimeout(() => {
      const progress = { bytes, isHeadReceived };
      // After a delay of the event loop, timers run before data that has already arrived.
      setImmediate(() => {
        const isStalled = bytes === progress.bytes && isHeadReceived === progress.isHeadReceived;
        if (!isClosed && (isStalled || ms === totalMs)) onTimeout(reason());
      });
    }, ms);
  const whole = startTimer(totalMs, () =>
    isHeadReceived
      ? new TransferTooLong(`incomplete after ${totalMs} ms and ${bytes} bytes`)
      : silenceReason(),
  );
  let silence = startTimer(headMs, silenceReason);
  const restart = () => {
    clearTimeout(silence);
    if (!isClosed) silence = startTimer(silenceMs, silenceReason);
  };
  req.on('response', (res: IncomingMessage) => {
    const headAt = performance.now();
    isHeadReceived = true;
    restart();
    res.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= MAX_RESPONSE_BYTES && !isClosed) silence.refresh();
      else if (!isClosed) onTimeout(new TransferTooLong(`incomplete after ${bytes} bytes`));
    });
    res.on('end', () => {
      if (res.complete) onReceived({ bytes, ms: Math.round(performance.now() - headAt) });
    });
  });
  req.on('close', () => {
    isClosed = true;
    clearTimeout(silence);
    clearTimeout(whole);
  });
};
