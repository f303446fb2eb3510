/**
 * A watch on a key prefix as an rxjs stream. It starts a new long poll after
 * every response and resumes from the newest revision seen. It reads the whole
 * prefix again if the store has compacted that revision or is at an earlier
 * one. While the store is unavailable it retries with backoff and jitter, so
 * that many watchers do not overload a store that is recovering.
 */
import { Observable } from 'rxjs';
import type { Failure } from '@cardamomladder/types';
import type { KvItem } from '../protocol';
import type { KvClient } from './kvClient';

/** What a watch emits: items and the revision they reach, or the failure if the store is unavailable. */
export type WatchUpdate =
  { kind: 'items'; items: KvItem[]; revision: number } | { kind: 'down'; failure: Failure };

/** Timing of a watch. */
export interface WatchOptions {
  /** How long the store holds one long poll, in milliseconds. */
  waitMs?: number;
  /** Initial backoff after a failed call, in milliseconds. */
  backoffMs?: number;
  /** Maximum backoff, in milliseconds. */
  maxBackoffMs?: number;
  /** Returns a number in [0, 1) for the jitter; pass a seeded generator in tests. */
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
    const baseBackoffMs = options.backoffMs ?? 200;
    const maxBackoffMs = options.maxBackoffMs ?? 5000;
    const random = options.random ?? Math.random;
    let stopped = false;
    let revision = -1;
    let currentBackoffMs = baseBackoffMs;
    let timer: NodeJS.Timeout | undefined;

    const schedulePoll = (ms: number) => {
      timer = setTimeout(poll, ms);
    };

    const handleFailure = (f: Failure) => {
      subscriber.next({ kind: 'down', failure: f });
      schedulePoll(currentBackoffMs / 2 + random() * currentBackoffMs);
      currentBackoffMs = Math.min(currentBackoffMs * 2, maxBackoffMs);
    };

    function poll(): void {
      if (stopped) return;
      if (revision < 0) {
        client.list(prefix).match(
          (reply) => {
            if (stopped) return;
            currentBackoffMs = baseBackoffMs;
            revision = reply.revision;
            subscriber.next({ kind: 'items', items: reply.items, revision });
            schedulePoll(0);
          },
          (f) => !stopped && handleFailure(f),
        );
        return;
      }
      client.watchOnce(prefix, revision, waitMs).match(
        (reply) => {
          if (stopped) return;
          currentBackoffMs = baseBackoffMs;
          // An earlier revision means that the store was restored from an older copy.
          if (reply.compacted || reply.revision < revision) {
            revision = -1;
          } else if (reply.events.length > 0) {
            revision = Math.max(revision, ...reply.events.map((e) => e.modRevision));
            subscriber.next({ kind: 'items', items: reply.events, revision });
          }
          schedulePoll(0);
        },
        (f) => !stopped && handleFailure(f),
      );
    }

    schedulePoll(0);
    return () => {
      stopped = true;
      if (timer) clearTimeout(timer);
    };
  });
