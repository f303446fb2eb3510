/** Reads and writes JSON bodies on Node `http` servers. */
import type { IncomingMessage, ServerResponse } from 'node:http';

/** Maximum size of a JSON body: the platform stores values of up to a megabyte, plus framing. */
export const MAX_JSON_BYTES = 1_200_000;

/** Thrown by `readJson` for a body that is too large or not JSON; `status` is the response status. */
export class BodyError extends Error {
  constructor(
    readonly status: 400 | 413,
    message: string,
  ) {
    super(message);
  }
}

/**
 * Reads the whole request body; resolves with `too-large` if it exceeds `limit`
 * bytes. The rest of an oversized body is read and discarded, so that the
 * error response can still be sent on the connection.
 */
export const readBody = (req: IncomingMessage, limit: number): Promise<Buffer | 'too-large'> =>
  new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= limit) chunks.push(chunk);
    });
    req.on('end', () => resolve(size > limit ? 'too-large' : Buffer.concat(chunks)));
    req.on('error', reject);
  });

/** Reads the request body as JSON; rejects with `BodyError` when it is too large or malformed. */
export const readJson = async (req: IncomingMessage, limit = MAX_JSON_BYTES): Promise<unknown> => {
  const body = await readBody(req, limit);
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
