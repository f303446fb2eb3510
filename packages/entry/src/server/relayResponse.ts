/** Relays a target's response to the caller. */
import type { ServerResponse } from 'node:http';
import { ATTEMPTS_HEADER, OUTCOME_HEADER, SERVED_BY_HEADER } from '@cardamomladder/callers';
import { breakOff, endsWithConnection } from '@cardamomladder/http-json';
import type { TargetView } from '@cardamomladder/steering';
import type { AttemptResult } from '@cardamomladder/targets';
import type { RequestKey } from '@cardamomladder/types';
import type { DedupCache } from '../state/dedup';
import { endToEndHeaders } from './headers';

/**
 * Streams the target's response to the caller and stores it for replay. If the
 * target fails partway, the caller's connection is broken off.
 */
export const relayResponse = (
  res: ServerResponse,
  result: Extract<AttemptResult, { kind: 'answer' }>,
  target: TargetView,
  attempts: number,
  key: RequestKey | undefined,
  dedup: DedupCache,
): Promise<void> =>
  new Promise((resolve) => {
    const headers = {
      ...endToEndHeaders(result.headers),
      ...(result.headers['content-length']
        ? { 'content-length': result.headers['content-length'] }
        : {}),
      [OUTCOME_HEADER]: 'ok',
      [SERVED_BY_HEADER]: target.id,
      [ATTEMPTS_HEADER]: String(attempts),
    };
    // A caller of HTTP/1.0 gets no chunks, so that only the end of its connection tells it the end.
    if (!result.headers['content-length'] && !res.useChunkedEncodingByDefault)
      endsWithConnection(res);
    res.writeHead(result.status, headers);
    const chunks: Buffer[] = [];
    result.body.on('data', (chunk: Buffer) => {
      if (key) chunks.push(chunk);
      if (!res.write(chunk)) {
        result.body.pause();
        res.once('drain', () => result.body.resume());
      }
    });
    result.body.on('end', () => {
      if (key)
        dedup.complete(key, {
          status: result.status,
          headers: result.headers,
          body: Buffer.concat(chunks),
        });
      res.end();
      resolve();
    });
    // The target's connection failed during the response. Ending the response
    // normally would make a truncated body look complete; breaking it off lets
    // the caller detect it (the length does not match, the last chunk is missing,
    // or the connection is reset).
    result.body.on('error', () => {
      if (key) dedup.markUnknown(key);
      breakOff(res);
      resolve();
    });
    result.body.on('aborted', () => {
      breakOff(res);
      resolve();
    });
  });
