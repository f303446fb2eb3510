/**
 * What peers may ask of each other: the facts this instance holds, for one
 * that the store turns away. The question carries the asker's own entry;
 * hearing from it directly vouches that it lives, though its entry in the
 * store may be gone.
 */
import { initTRPC } from '@trpc/server';
import { z } from 'zod';
import type { Beliefs, InstanceEntry, PeerAnswer } from '@cardamomladder/fleet';

const t = initTRPC.create();

/** What the router needs of the instance. */
export interface PeerRouterOptions {
  beliefs: Beliefs;
  storeReached: () => boolean;
  vouch: (asker: InstanceEntry) => void;
}

const question = z.object({
  /** The store's revision up to which the asker knows all. */
  revision: z.number(),
  /** The asker's entry, while it takes callers. */
  asker: z.custom<InstanceEntry>().nullable(),
});

/** Builds the router of one instance. */
export const peerRouter = ({ beliefs, storeReached, vouch }: PeerRouterOptions) =>
  t.router({
    facts: t.procedure.input(question).query(({ input }): PeerAnswer => {
      if (input.asker) vouch(input.asker);
      const newer = beliefs.revision > input.revision;
      return { storeReached: storeReached(), ...(newer ? { list: beliefs.list() } : {}) };
    }),
  });

/** The router's type, for clients. */
export type PeerRouter = ReturnType<typeof peerRouter>;
