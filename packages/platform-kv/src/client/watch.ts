/**
 * A watch on a key prefix as an rxjs stream. It re-arms the long poll after
 * every answer, resumes from the newest revision seen, re-reads the whole
 * prefix when the store's event log no longer reaches back or the store is at
 * an earlier revision, and backs off
 * with jitter while the store is down so that a fleet of watchers does not
 * hammer a store that is coming back.
 */
import { Observable } from 'rxjs';
import type { Failure } from '@cardamomladder/types';
import type { KvItem } from '../protocol';
import type { KvClient } from './kvClient';

/** What a watch emits: items seen (newest revision last), or the store being unreachable. */
export type WatchUpdate =
  { kind: 'items'; items: KvItem[]; revision: number } | { kind: 'down'; failure: Failure };

/** Timing of a watch. */
export interface WatchOptions {
  /** How long one long poll waits in the store, in milliseconds. */
  waitMs?: number;
  /** First and largest backoff after a failed call, in milliseconds. */
  backoffMs?: number;
  maxBackoffMs?: number;
  /** Returns a number in [0, 1) for jitter; pass a seeded one in tests. */
  random?: () => number;
}

/** Watches `prefix`, starting with a full read; completes only on unsubscribe. */
export const watchPrefix = (
  client: KvClient,
  prefix: string,
  options: WatchOptions = {},
): Observable<WatchUpdate> =>
  new Observable<WatchUpdate>((subscriber) => {
    const waitMs = options.waitMs ?? 30_000;
    const baseBackoff = options.backoffMs ?? 200;
    const maxBackoff = options.maxBackoffMs ?? 5000;
    const random = options.random ?? Math.random;
    let stopped = false;
    let revision = -1;
    let backoff = baseBackoff;
    let timer: NodeJS.Timeout | undefined;

    const later = (ms: number) => {
      timer = setTimeout(step, ms);
    };

    const fail = (f: Failure) => {
      subscriber.next({ kind: 'down', failure: f });
      later(backoff / 2 + random() * backoff);
      backoff = Math.min(backoff * 2, maxBackoff);
    };

    function step(): void {
      if (stopped) return;
      if (revision < 0) {
        client.list(prefix).match(
          (reply) => {
            if (stopped) return;
            backoff = baseBackoff;
            revision = reply.revision;
            subscriber.next({ kind: 'items', items: reply.items, revision });
            later(0);
          },
          (f) => !stopped && fail(f),
        );
        return;
      }
      client.watchOnce(prefix, revision, waitMs).match(
        (reply) => {
          if (stopped) return;
          backoff = baseBackoff;
          // Lower than before: the store came back from an older copy.
          if (reply.compacted || reply.revision < revision) {
            revision = -1;
          } else if (reply.events.length > 0) {
            revision = Math.max(revision, ...reply.events.map((e) => e.modRevision));
            subscriber.next({ kind: 'items', items: reply.events, revision });
          }
          later(0);
        },
        (f) => !stopped && fail(f),
      );
    }

    later(0);
    return () => {
      stopped = true;
      if (timer) clearTimeout(timer);
    };
  });
