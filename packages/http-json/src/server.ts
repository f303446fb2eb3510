/** Reads and writes JSON bodies on Node `http` servers. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { MemoryHolder } from './memoryBudget';
import { readPacer } from './readPacer';
import { ReceivedBytes } from './receivedBytes';

/** Maximum size of a JSON body: the platform stores values of up to a megabyte, plus framing. */
export const MAX_JSON_BYTES = 1_200_000;

/** Time within which a JSON body is complete, ms: the largest one over a link of 10 Mbit/s, three times. */
const MAX_JSON_MS = 3000;

/** Why a body can't be used; `status` is the response status. */
export class BodyError extends Error {
  constructor(
    readonly status: 400 | 408 | 413 | 431,
    message: string,
  ) {
    super(message);
  }
}

const failedBodies = new WeakMap<IncomingMessage, BodyError>();

/** Ends the read of a body whose rest can't be parsed, also if it begins later. */
export const failBody = (req: IncomingMessage, error: BodyError): void => {
  failedBodies.set(req, error);
  req.emit('error', error);
};

/**
 * Reads the whole request body; rejects if it can't be parsed; resolves with `too-large` as soon as it exceeds `limit`
 * bytes. The rest of an oversized body is not kept; it may never end, so that the
 * connection is to be closed some time after the response (`closeUnlessReceived`). While
 * `memory` has no room, the connection is not read; who passes it closes it.
 */
export const readBody = (
  req: IncomingMessage,
  limit: number,
  memory?: MemoryHolder,
): Promise<Buffer | 'too-large'> =>
  new Promise((resolve, reject) => {
    const failure = failedBodies.get(req);
    if (failure) {
      reject(failure);
      return;
    }
    let received: ReceivedBytes | undefined = new ReceivedBytes();
    req.on('data', (part: Buffer) => {
      if (!received || memory?.isClosed()) return;
      received.add(part);
      if (received.size > limit) {
        received = undefined;
        resolve('too-large');
      } else if (memory && !memory.add(part.length) && !memory.isWaiting())
        memory.whenRoom(readPacer.hold(req.socket));
    });
    req.on('end', () => {
      if (received) resolve(received.toBuffer());
    });
    req.on('error', reject);
  });

/** Reads the whole request body as `readBody` does; resolves with `too-late` if it is not complete after `maxMs`. */
export const readBodyInTime = async (
  req: IncomingMessage,
  limit: number,
  maxMs: number,
  memory?: MemoryHolder,
): Promise<Buffer | 'too-large' | 'too-late'> => {
  let timer: NodeJS.Timeout | undefined;
  const tooLate = new Promise<'too-late'>((resolve) => {
    timer = setTimeout(() => resolve('too-late'), maxMs);
  });
  try {
    return await Promise.race([readBody(req, limit, memory), tooLate]);
  } finally {
    clearTimeout(timer);
  }
};

/** Reads the request body as JSON; rejects with `BodyError` when it is too large, too slow or malformed. */
export const readJson = async (req: IncomingMessage, limit = MAX_JSON_BYTES): Promise<unknown> => {
  const body = await readBodyInTime(req, limit, MAX_JSON_MS);
  if (body === 'too-late') throw new BodyError(408, `body is not complete after ${MAX_JSON_MS} ms`);
  if (body === 'too-large')
    throw new BodyError(413, `body is over ${limit} bytes; send a smaller one`);
  if (body.length === 0) return undefined;
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    throw new BodyError(400, 'body is not JSON; send a JSON object');
  }
};

export const sendJson = (
  res: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void => {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  res.end(text);
};
