/**
 * One send of a request to one target, and its outcome. A response is accepted
 * only if it verifiably belongs to this request and is complete; all other
 * outcomes are classified by whether the request may have run, which determines
 * whether it may be retried.
 */
import type { ClientRequest, IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import { request as httpRequest } from 'node:http';
import { Result } from 'neverthrow';
import type { MemoryHolder } from '@cardamomladder/http-json';
import { ReceivedBytes, detectReset, discardRest, readPacer } from '@cardamomladder/http-json';
import type { LoadReport, TargetStatement, WireProtocol } from '../wireProtocol';
import { CUT_OFF_HEADER } from '../reach/forwardedRequest';
import type { TargetConnections } from './connections';
import type { NotRunReason } from './responseChecks';
import { echoesRequestId, isGenuine, notRunReasonOf } from './responseChecks';

/** Connect timeout, ms: above the round trip between any two regions, well below callers' timeouts. */
export const CONNECT_TIMEOUT_MS = 700;
/** Responses up to this size are buffered completely before any part is forwarded, so that a truncated one can be retried. */
export const MAX_BUFFERED_RESPONSE_BYTES = 1024 * 1024;

/** What a response proves about its request: that it ran, that it did not run, or neither. */
export type ResponseSource = 'run' | 'refusal' | 'garbled';

/** The request to send, and its timeout. */
export interface AttemptRequest {
  host: string;
  port: number;
  method: string;
  path: string;
  /** Called while the send is set up, so that an exception ends this send only. */
  headers: () => OutgoingHttpHeaders;
  body: Buffer | undefined;
  requestId: string;
  timeoutMs: number;
  /** `CONNECT_TIMEOUT_MS` by default. */
  connectTimeoutMs?: number;
  connections: TargetConnections;
  wire: WireProtocol;
  /** Called with the target's statement as soon as the headers of its response arrive, whether or not the response is accepted. */
  onStatement: (statement: TargetStatement, source: ResponseSource) => void;
  /** Called if the request opens a new connection. */
  onNewConnection?: () => void;
  /** The memory of the response; without room its connection is not read. */
  memory?: MemoryHolder;
  /** Called each time that the response waits for room. */
  onWait?: () => void;
  /** Calls back once what arrives of the response can be passed on, as those before it on its caller's connection are complete. */
  whenNext?: (callback: () => void) => void;
  /** Resolves when it is known again whether the request is wanted; called before it is written to a connection that opened late. */
  confirm?: () => Promise<unknown>;
}

/** Reason why it is unknown whether a request ran. */
export type LostReason = 'timeout' | 'closed' | 'garbled' | 'cancelled' | 'cut';

/** True if a send ended since its request's connection did, which says nothing about its destination. */
export const isAborted = (reason: LostReason | NotRunReason): boolean =>
  reason === 'cancelled' || reason === 'cut';

/** The rest of a response that is too large to buffer. Its connection is not read until it is released. */
export interface RemainingBody {
  message: IncomingMessage;
  /** What arrives from now on. */
  received: ReceivedBytes;
  release: () => void;
}

/** Outcome of a send. */
export type AttemptOutcome =
  | {
      kind: 'answer';
      status: number;
      head: IncomingMessage;
      chunks: Buffer[];
      /** Undefined if `chunks` is the complete body. */
      remaining?: RemainingBody;
      load?: LoadReport;
    }
  | {
      kind: 'not-run';
      reason: NotRunReason;
      load?: LoadReport;
      restMs?: number;
      /** The instance that a peer which is cut off names instead of itself. */
      otherPeer?: string;
      /** Why the request could not be sent at all. */
      problem?: string;
    }
  | { kind: 'lost'; reason: LostReason };

/** A send in progress. */
export interface Attempt {
  outcome: Promise<AttemptOutcome>;
  /** True once a connection is established, so that the request may run. */
  isConnected: () => boolean;
  /** True while its response has arrived in part and waits for room. */
  waitsForRoom: () => boolean;
  /** Aborts the send by closing the connection, whereupon the target cancels the work. */
  cancel: (reason: LostReason) => void;
  /** Gives up the rest of a response that is too large to buffer, if there is one. */
  discard: () => void;
}

/** Time after the send's start from which it is asked again whether the request is wanted, ms: above the round trip between any two regions. */
const CONFIRM_AFTER_MS = 100;
/** Reasons for which nothing was sent, so that the connection is of no use. */
const UNSENT_REASONS: ReadonlySet<NotRunReason> = new Set(['unreachable', 'unsendable']);
/** Number of interim responses (1xx) to one request from which they are taken for garbage. */
const MAX_INTERIM_RESPONSES = 16;

/** Creates the request without sending anything yet; fails if Node.js refuses a part of it. */
const openRequest = Result.fromThrowable(
  ({ host, port, method, path, headers, connections }: AttemptRequest) =>
    httpRequest({ host, port, method, path, headers: headers(), agent: connections }),
  (error) => error as Error,
);

const unsendableOutcome = ({ message }: Error): AttemptOutcome => ({
  kind: 'not-run',
  reason: 'unsendable',
  problem: message,
});

/** The send of a request that could not be created. */
const unsendable = (error: Error): Attempt => ({
  outcome: Promise.resolve(unsendableOutcome(error)),
  isConnected: () => false,
  waitsForRoom: () => false,
  cancel: () => {},
  discard: () => {},
});

/** Sends a created request and determines its outcome. */
const awaitOutcome = (request: ClientRequest, options: AttemptRequest): Attempt => {
  const { wire, requestId } = options;
  let resolveOutcome: (outcome: AttemptOutcome) => void = () => {};
  const outcome = new Promise<AttemptOutcome>((resolve) => {
    resolveOutcome = resolve;
  });
  let connected = false;
  let settled = false;
  /** A response whose rest is left to whoever gets the outcome. */
  let unclaimed: IncomingMessage | undefined;
  let connectTimer: NodeJS.Timeout | undefined;
  const timer = setTimeout(() => finish({ kind: 'lost', reason: 'timeout' }), options.timeoutMs);

  function abort(): void {
    // After an orderly close the system would still deliver the request once a cut link heals.
    if (connected) request.socket?.resetAndDestroy();
    request.destroy();
  }

  function finish(result: AttemptOutcome): void {
    if (settled) return;
    settled = true;
    clearTimeout(timer);
    clearTimeout(connectTimer);
    const isUnsent = result.kind === 'not-run' && UNSENT_REASONS.has(result.reason);
    if (result.kind === 'lost' || isUnsent) abort();
    // Nothing has been sent if the connection was never established.
    resolveOutcome(
      result.kind === 'lost' && !connected ? { kind: 'not-run', reason: 'unreachable' } : result,
    );
  }

  const handleResponse = (response: IncomingMessage): void => {
    const statement = wire.parseTargetStatement(response.statusCode ?? 0, response.headers);
    const { load, restMs } = statement;
    const notRun = notRunReasonOf(response, wire.headers, requestId);
    if (notRun) {
      // A statement from the wrong target doesn't apply to the intended one.
      if (notRun === 'rejected') options.onStatement(statement, 'refusal');
      discardRest(response);
      const otherPeer = response.headers[CUT_OFF_HEADER] as string | undefined;
      finish({ kind: 'not-run', reason: notRun, load, restMs, otherPeer });
      return;
    }
    if (!isGenuine(response, wire.headers, requestId)) {
      if (echoesRequestId(response, wire.headers, requestId))
        options.onStatement(statement, 'garbled');
      finish({ kind: 'lost', reason: 'garbled' });
      return;
    }
    options.onStatement(statement, 'run');
    const status = response.statusCode ?? 0;
    const received = new ReceivedBytes();
    const releases: (() => void)[] = [];
    const holdConnection = (): (() => void) => {
      const release = readPacer.hold(response.socket);
      releases.push(release);
      return release;
    };
    const passOn = (): void => {
      if (settled) return;
      const release = holdConnection();
      const remaining = { message: response, received, release };
      unclaimed = response;
      finish({ kind: 'answer', status, head: response, chunks: received.take(), remaining, load });
    };
    const waitForRoom = ({ isWaiting, whenRoom }: MemoryHolder): void => {
      const release = holdConnection();
      whenRoom(release);
      options.onWait?.();
      // Whoever is next may read slowly, so its response is not read whole before it is passed on.
      options.whenNext?.(() => {
        if (!isWaiting()) return;
        passOn();
        release();
      });
    };
    response.on('data', (part: Buffer) => {
      received.add(part);
      if (settled) return;
      const { memory } = options;
      const hasRoom = memory?.add(part.length) ?? true;
      if (received.size > MAX_BUFFERED_RESPONSE_BYTES) passOn();
      else if (memory && !hasRoom && !memory.isWaiting()) waitForRoom(memory);
    });
    response.on('end', () => {
      // The next request may already have the connection.
      releases.forEach((release) => release());
      if (settled) return;
      if (response.complete)
        finish({ kind: 'answer', status, head: response, chunks: received.take(), load });
      else finish({ kind: 'lost', reason: 'closed' });
    });
    response.on('error', () => finish({ kind: 'lost', reason: 'closed' }));
    response.on('aborted', () => finish({ kind: 'lost', reason: 'closed' }));
  };

  detectReset(request);
  const startedAt = performance.now();
  const write = (): void => {
    if (settled) return;
    connected = true;
    try {
      request.end(options.body);
    } catch (error) {
      finish(unsendableOutcome(error as Error));
    }
  };
  const writeIfWanted = (): void => {
    if (options.confirm && performance.now() - startedAt > CONFIRM_AFTER_MS)
      options.confirm().then(write, write);
    else write();
  };
  request.on('socket', (socket) => {
    if (!socket.connecting) {
      writeIfWanted();
      return;
    }
    options.onNewConnection?.();
    connectTimer = setTimeout(
      () => finish({ kind: 'not-run', reason: 'unreachable' }),
      options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS,
    );
    socket.once('connect', () => {
      clearTimeout(connectTimer);
      writeIfWanted();
    });
  });
  let interimResponses = 0;
  request.on('information', () => {
    interimResponses += 1;
    if (interimResponses > MAX_INTERIM_RESPONSES) finish({ kind: 'lost', reason: 'garbled' });
  });
  let hasResponse = false;
  request.on('response', (response) => {
    hasResponse = true;
    try {
      handleResponse(response);
    } catch {
      // A response that can't be read is of no use, and no reason to end other requests.
      finish({ kind: 'lost', reason: 'garbled' });
    }
  });
  request.on('error', () => {
    if (!settled && !hasResponse) options.connections.recordUnansweredClose(request);
    finish({ kind: 'lost', reason: 'closed' });
  });
  request.on('close', () => finish({ kind: 'lost', reason: 'closed' }));

  return {
    outcome,
    isConnected: () => connected,
    waitsForRoom: () => options.memory?.isWaiting() ?? false,
    cancel: (reason) => finish({ kind: 'lost', reason }),
    discard: () => unclaimed?.destroy(),
  };
};

/** Sends the request; never throws, and the outcome's promise never rejects. */
export const sendAttempt = (options: AttemptRequest): Attempt => {
  const opened = openRequest(options);
  return opened.isErr() ? unsendable(opened.error) : awaitOutcome(opened.value, options);
};
