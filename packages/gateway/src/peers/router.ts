/**
 * What peers may ask of each other: the facts this instance holds, for one
 * that the store turns away; and the changes it watches, for those that
 * follow the store through it. Each question carries the asker's own entry;
 * hearing from it directly vouches that it lives, though its entry in the
 * store may be gone.
 */
import { initTRPC } from '@trpc/server';
import { filter, first, firstValueFrom, merge, timer } from 'rxjs';
import { z } from 'zod';
import type {
  Beliefs,
  FactChanges,
  Follower,
  InstanceEntry,
  PeerAnswer,
  StoreStatus,
} from '@cardamomladder/fleet';

const t = initTRPC.create();

/** The longest a question waits here, ms, whatever the asker wants. */
const WAIT_MOST_MS = 2000;

/** What the router needs of the instance. */
export interface PeerRouterOptions {
  beliefs: Beliefs;
  follower: Follower;
  vouch: (asker: InstanceEntry) => void;
  /** Steady clock, ms. */
  now: () => number;
}

/** An answer to a peer that follows: changes; or why it must ask elsewhere. */
export type FollowedChanges =
  ({ kind: 'changes' } & FactChanges) | { kind: 'not-watching' } | { kind: 'history-gone' };

const question = z.object({
  /** The store's revision up to which the asker knows all. */
  revision: z.number(),
  /** The asker's entry, while it takes callers. */
  asker: z.custom<InstanceEntry>().nullable(),
});
const waitingQuestion = question.extend({ waitMs: z.number().max(WAIT_MOST_MS) });

/** Only what was read at the store itself is passed on: two that followed each other would both stand still. */
const watches = ({ reached, through }: StoreStatus): boolean => reached && through === undefined;

const changesAfter = ({ changeLog, status }: Follower, revision: number): FollowedChanges => {
  if (!watches(status.value)) return { kind: 'not-watching' };
  const changes = changeLog.since(revision);
  return changes
    ? { kind: 'changes', changes, revision: changeLog.revision }
    : { kind: 'history-gone' };
};

/** Resolves at the first change after `revision`, when the store is lost, or after `waitMs`. */
const untilNewer = async (
  { changeLog, status }: Follower,
  revision: number,
  waitMs: number,
): Promise<void> => {
  if (changeLog.revision > revision) return;
  await firstValueFrom(
    merge(
      changeLog.advanced.pipe(filter(() => changeLog.revision > revision)),
      status.pipe(filter((current) => !watches(current))),
      timer(waitMs),
    ).pipe(first()),
  );
};

/** Builds the router of one instance. */
export const peerRouter = ({ beliefs, follower, vouch, now }: PeerRouterOptions) =>
  t.router({
    facts: t.procedure.input(question).query(({ input }): PeerAnswer => {
      if (input.asker) vouch(input.asker);
      const newer = beliefs.revision > input.revision;
      const { reached, since } = follower.status.value;
      return {
        ...(reached ? { storeReachedForMs: now() - since } : {}),
        ...(newer ? { list: beliefs.list() } : {}),
      };
    }),
    changes: t.procedure
      .input(waitingQuestion)
      .query(async ({ input }): Promise<FollowedChanges> => {
        if (input.asker) vouch(input.asker);
        await untilNewer(follower, input.revision, input.waitMs);
        return changesAfter(follower, input.revision);
      }),
  });

/** The router's type, for clients. */
export type PeerRouter = ReturnType<typeof peerRouter>;
