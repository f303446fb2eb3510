/**
 * A caller as the brief describes one: it learns the entries from any entry
 * it knows, caches the list, and sends requests to an entry of its own
 * failure domain over Node http with keep-alive. The load tool runs many.
 */
import { Agent, request } from 'node:http';
import type { EntriesReply, EntryAddress, Outcome } from './protocol';
import { IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER } from './protocol';

/** The result of one caller request, as the caller measures it. */
export interface CallResult {
  status: number;
  outcome: Outcome | 'transport';
  bytes: number;
  latencyMs: number;
  retryAfterS?: number;
}

/** Fetches the entry list from an entry at `seed` (`host:port`). */
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
      `entry ${seed} answered ${reply.status} to /v1/entries; try another seed entry`,
    );
  return (await reply.json()) as EntriesReply;
};

/** A caller bound to a set of entries. */
export class Caller {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 64 });

  constructor(
    private entries: EntryAddress[],
    private readonly random: () => number = Math.random,
  ) {}

  /** Replaces the entries this caller uses. */
  useEntries(entries: EntryAddress[]): void {
    this.entries = entries;
  }

  /** Sends one request to `service` and reads the whole answer. */
  call(
    service: string,
    options: { method?: string; body?: string; key?: string; path?: string } = {},
  ): Promise<CallResult> {
    const entry = this.entries[Math.floor(this.random() * this.entries.length)];
    const [host, port] = entry.address.split(':');
    const started = performance.now();
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
            ...(options.key ? { [IDEMPOTENCY_KEY_HEADER]: options.key } : {}),
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
              latencyMs: performance.now() - started,
              retryAfterS: Number.isFinite(retryAfter) ? retryAfter : undefined,
            });
          });
          res.on('error', () =>
            resolve({
              status: 0,
              outcome: 'transport',
              bytes,
              latencyMs: performance.now() - started,
            }),
          );
        },
      );
      req.on('error', () =>
        resolve({
          status: 0,
          outcome: 'transport',
          bytes: 0,
          latencyMs: performance.now() - started,
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
