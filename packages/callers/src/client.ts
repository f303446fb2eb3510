/**
 * Client side of the caller protocol: discovers the entry instances from a
 * known one and sends requests to them over Node http with keep-alive. The
 * load generator runs many callers.
 */
import { request } from 'node:http';
import { PacedAgent, detectReset } from '@cardamomladder/http-json';
import type { EntriesReply, EntryAddress, Outcome } from './protocol';
import { IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER } from './protocol';

/** Result of one request, as measured by the caller. */
export interface CallResult {
  status: number;
  outcome: Outcome | 'transport';
  bytes: number;
  latencyMs: number;
  retryAfterS?: number;
}

/** Fetches the list of entry instances from the one at `seed` (`host:port`). */
export const discoverEntries = async (
  seed: string,
  failureDomain?: string,
): Promise<EntriesReply> => {
  const query = failureDomain ? `?failureDomain=${encodeURIComponent(failureDomain)}` : '';
  const reply = await fetch(`http://${seed}/v1/entries${query}`, {
    signal: AbortSignal.timeout(2000),
  });
  if (!reply.ok)
    throw new Error(
      `entry ${seed} responded with status ${reply.status} to /v1/entries; try another seed entry`,
    );
  return (await reply.json()) as EntriesReply;
};

/** A caller that sends each request to a random one of its entry instances. */
export class Caller {
  private readonly agent = new PacedAgent({ keepAlive: true, maxSockets: 64 });

  constructor(
    private entries: EntryAddress[],
    private readonly random: () => number = Math.random,
  ) {}

  /** Replaces the entry instances that this caller uses. */
  setEntries(entries: EntryAddress[]): void {
    this.entries = entries;
  }

  /** Sends one request to `service` and reads the whole response. */
  call(
    service: string,
    options: { method?: string; body?: string; idempotencyKey?: string; path?: string } = {},
  ): Promise<CallResult> {
    const entry = this.entries[Math.floor(this.random() * this.entries.length)];
    const [host, port] = entry.address.split(':');
    const startedAt = performance.now();
    const body = Buffer.from(options.body ?? '');
    return new Promise((resolve) => {
      const req = request(
        {
          host,
          port: Number(port),
          method: options.method ?? 'GET',
          path: `/s/${service}${options.path ?? '/'}`,
          agent: this.agent,
          headers: {
            'content-length': body.length,
            ...(options.idempotencyKey ? { [IDEMPOTENCY_KEY_HEADER]: options.idempotencyKey } : {}),
          },
        },
        (res) => {
          let bytes = 0;
          res.on('data', (chunk: Buffer) => {
            bytes += chunk.length;
          });
          res.on('end', () => {
            const retryAfter = Number(res.headers['retry-after']);
            resolve({
              status: res.statusCode ?? 0,
              outcome: (res.headers[OUTCOME_HEADER] as Outcome | undefined) ?? 'ok',
              bytes,
              latencyMs: performance.now() - startedAt,
              retryAfterS: Number.isFinite(retryAfter) ? retryAfter : undefined,
            });
          });
          res.on('error', () =>
            resolve({
              status: 0,
              outcome: 'transport',
              bytes,
              latencyMs: performance.now() - startedAt,
            }),
          );
        },
      );
      detectReset(req);
      req.on('error', () =>
        resolve({
          status: 0,
          outcome: 'transport',
          bytes: 0,
          latencyMs: performance.now() - startedAt,
        }),
      );
      req.end(body);
    });
  }

  /** Closes the caller's pooled connections. */
  close(): void {
    this.agent.destroy();
  }
}
