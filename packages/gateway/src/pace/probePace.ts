/** Asks a target's health check for its pace. Not a request: it takes no slot and shows nothing about crashes. */
import { discardRest } from '@cardamomladder/http-json';
import type { ProbedTarget } from '../reach/probe';
import { PROBE_TIMEOUT_MS, openHealthCheck } from '../reach/probe';
import type { WireProtocol } from '../wireProtocol';

/** What a probe found: the stated pace, that none was stated, or no response in time. */
export type PaceProbeResult =
  { kind: 'stated'; pace: number } | { kind: 'unstated' } | { kind: 'silent' };

/** Sends one health check over a new connection; never rejects. */
export const probePace = (
  target: ProbedTarget,
  wire: Pick<WireProtocol, 'parseTargetStatement'>,
): Promise<PaceProbeResult> =>
  new Promise((resolve) => {
    const opened = openHealthCheck(target, AbortSignal.timeout(PROBE_TIMEOUT_MS));
    if (opened.isErr()) {
      resolve({ kind: 'silent' });
      return;
    }
    const req = opened.value;
    req.on('response', (res) => {
      discardRest(res);
      const { load } = wire.parseTargetStatement(res.statusCode ?? 0, res.headers);
      resolve(
        load?.pace === undefined ? { kind: 'unstated' } : { kind: 'stated', pace: load.pace },
      );
    });
    req.on('error', () => resolve({ kind: 'silent' }));
    req.end();
  });
