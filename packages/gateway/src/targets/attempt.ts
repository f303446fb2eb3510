/**
 * One send of a request to one target, and what became of it. An answer is
 * believed only if it is provably this request's and whole; everything else
 * is sorted by the one question that matters for a repeat: may the request
 * have run?
 */
import type { ClientRequest, IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import { request as httpRequest } from 'node:http';
import type { HeaderNames, LoadReport, TargetStatement, Wire } from '../wireNames';
import type { TargetConnections } from './connections';

/** Time to open a connection, ms: over the way there and back between any two regions, well under a caller's patience. */
export const CONNECT_TIMEOUT_MS = 700;
/** Answers up to this size are read whole before the caller gets any of them, so that a cut one can be asked for again. */
export const MAX_BUFFERED_RESPONSE_BYTES = 1024 * 1024;

/** What an answer shows of its request: it ran, it did not, or nothing that is certain. */
export type ResponseSource = 'run' | 'refusal' | 'garbled';

/** What to send, and for how long to wait. */
export interface AttemptRequest {
  host: string;
  port: number;
  method: string;
  path: string;
  headers: OutgoingHttpHeaders;
  body: Buffer | undefined;
  requestId: string;
  timeoutMs: number;
  connections: TargetConnections;
  wire: Wire;
  /** Called with what the target says of itself, as soon as an answer of its own begins, whatever becomes of the answer. */
  onStatement: (statement: TargetStatement, response: ResponseSource) => void;
}

/** Why a request surely did not run. */
export type NotRunReason = 'rejected' | 'wrong-target' | 'unreachable';
/** Why nothing certain is known of a request that was sent. */
export type LostReason = 'timeout' | 'closed' | 'garbled' | 'cancelled';

/** What became of one send. */
export type AttemptOutcome =
  | {
      kind: 'answer';
      status: number;
      head: IncomingMessage;
      chunks: Buffer[];
      /** The rest of an answer too large to hold; undefined when `chunks` is all. */
      remaining?: IncomingMessage;
      load?: LoadReport;
    }
  | { kind: 'not-run'; reason: NotRunReason; load?: LoadReport }
  | { kind: 'lost'; reason: LostReason };

/** A send under way. */
export interface Attempt {
  outcome: Promise<AttemptOutcome>;
  /** Gives up: the connection is closed, at which the target drops the work. */
  cancel: (reason: LostReason) => void;
}

const WRONG_TARGET = 421;

const echoesRequestId = (
  response: IncomingMessage,
  names: HeaderNames,
  requestId: string,
): boolean => response.headers[names.requestId] === requestId;

/** True for an answer that is a target's own answer to this request. */
const isGenuine = (response: IncomingMessage, names: HeaderNames, requestId: string): boolean => {
  if (!echoesRequestId(response, names, requestId)) return false;
  if (response.headers['content-encoding'] !== undefined) return false;
  const status = response.statusCode ?? 0;
  const success = status >= 200 && status < 300;
  return !success || response.headers[names.signature] !== undefined;
};

/** True when an answer states where it ends; one that does not ends with its connection. */
export const isFramed = (response: IncomingMessage): boolean =>
  response.headers['content-length'] !== undefined ||
  response.headers['transfer-encoding'] !== undefined;

/**
 * A check, made once an answer has ended, of whether it is whole. Node
 * reports an unframed answer as complete also when the connection was reset,
 * which cuts it; so the connection's own end is looked at.
 */
export const completenessCheck = (response: IncomingMessage): (() => boolean) => {
  const { socket } = response;
  return () => response.complete && (isFramed(response) || socket.readableEnded);
};

/** A refusal counts as "not run" if it says so and doesn't name another request. */
const notRunReasonOf = (
  response: IncomingMessage,
  names: HeaderNames,
  requestId: string,
): NotRunReason | undefined => {
  const echoed = response.headers[names.requestId];
  if (echoed !== undefined && echoed !== requestId) return undefined;
  if (response.statusCode === WRONG_TARGET) return 'wrong-target';
  return response.headers[names.notRun] === undefined ? undefined : 'rejected';
};

/** Sends the request; the outcome never rejects. */
export const sendAttempt = (options: AttemptRequest): Attempt => {
  const { wire, requestId } = options;
  let resolveOutcome: (outcome: AttemptOutcome) => void = () => {};
  const outcome = new Promise<AttemptOutcome>((resolve) => {
    resolveOutcome = resolve;
  });
  let connected = false;
  let settled = false;
  let connectTimer: NodeJS.Timeout | undefined;
  let request: ClientRequest;
  const timer = setTimeout(() => finish({ kind: 'lost', reason: 'timeout' }), options.timeoutMs);

  function finish(result: AttemptOutcome): void {
    if (settled) return;
    settled = true;
    clearTimeout(timer);
    clearTimeout(connectTimer);
    if (result.kind === 'lost' || (result.kind === 'not-run' && result.reason === 'unreachable'))
      request.destroy();
    // Nothing is written to a connection before it is open.
    resolveOutcome(
      result.kind === 'lost' && !connected ? { kind: 'not-run', reason: 'unreachable' } : result,
    );
  }

  const handleResponse = (response: IncomingMessage): void => {
    const statement = wire.statementOf(response.statusCode ?? 0, response.headers);
    const { load } = statement;
    const notRun = notRunReasonOf(response, wire.headers, requestId);
    if (notRun) {
      // A wrong target speaks for itself, not for the one that was meant.
      if (notRun === 'rejected') options.onStatement(statement, 'refusal');
      response.resume();
      response.on('error', () => {});
      finish({ kind: 'not-run', reason: notRun, load });
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
    const chunks: Buffer[] = [];
    const isComplete = completenessCheck(response);
    let size = 0;
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      size += chunk.length;
      if (size <= MAX_BUFFERED_RESPONSE_BYTES) return;
      response.removeListener('data', onData);
      response.pause();
      finish({ kind: 'answer', status, head: response, chunks, remaining: response, load });
    };
    response.on('data', onData);
    response.on('end', () => {
      if (isComplete()) finish({ kind: 'answer', status, head: response, chunks, load });
      else finish({ kind: 'lost', reason: 'closed' });
    });
    response.on('error', () => finish({ kind: 'lost', reason: 'closed' }));
    response.on('aborted', () => finish({ kind: 'lost', reason: 'closed' }));
  };

  request = httpRequest({
    host: options.host,
    port: options.port,
    method: options.method,
    path: options.path,
    headers: options.headers,
    agent: options.connections,
  });
  request.on('socket', (socket) => {
    if (!socket.connecting) {
      connected = true;
      return;
    }
    connectTimer = setTimeout(
      () => finish({ kind: 'not-run', reason: 'unreachable' }),
      CONNECT_TIMEOUT_MS,
    );
    socket.once('connect', () => {
      connected = true;
      clearTimeout(connectTimer);
    });
  });
  request.on('response', handleResponse);
  request.on('error', () => {
    if (!settled) options.connections.recordUnansweredClose(request);
    finish({ kind: 'lost', reason: 'closed' });
  });
  request.on('close', () => finish({ kind: 'lost', reason: 'closed' }));
  request.end(options.body);

  return { outcome, cancel: (reason) => finish({ kind: 'lost', reason }) };
};
