/** Passing a target's answer on to the caller. */
import type { ServerResponse } from 'node:http';
import { ATTEMPTS_HEADER, OUTCOME_HEADER, SERVED_BY_HEADER } from '@cardamomladder/callers';
import type { TargetView } from '@cardamomladder/steering';
import type { AttemptResult } from '@cardamomladder/targets';
import type { RequestKey } from '@cardamomladder/types';
import type { Dedup } from '../state/dedup';
import { forwardHeaders } from './headers';

/** Sends the target's answer to the caller, whole or visibly cut, and records it for replays. */
export const relayAnswer = (
  res: ServerResponse,
  result: Extract<AttemptResult, { kind: 'answer' }>,
  target: TargetView,
  attempts: number,
  key: RequestKey | undefined,
  dedup: Dedup,
): Promise<void> =>
  new Promise((resolve) => {
    const headers = {
      ...forwardHeaders(result.headers),
      ...(result.headers['content-length']
        ? { 'content-length': result.headers['content-length'] }
        : {}),
      [OUTCOME_HEADER]: 'ok',
      [SERVED_BY_HEADER]: target.id,
      [ATTEMPTS_HEADER]: String(attempts),
    };
    res.writeHead(result.status, headers);
    const kept: Buffer[] = [];
    result.body.on('data', (chunk: Buffer) => {
      if (key) kept.push(chunk);
      if (!res.write(chunk)) {
        result.body.pause();
        res.once('drain', () => result.body.resume());
      }
    });
    result.body.on('end', () => {
      if (key)
        dedup.finish(key, {
          status: result.status,
          headers: result.headers,
          body: Buffer.concat(kept),
        });
      res.end();
      resolve();
    });
    // The target went away mid-answer. Ending the caller's answer normally
    // would hand it a cut body that looks whole; destroying the connection
    // makes the cut visible (the length does not match).
    result.body.on('error', () => {
      if (key) dedup.markUnknown(key);
      res.destroy();
      resolve();
    });
    result.body.on('aborted', () => {
      res.destroy();
      resolve();
    });
  });
