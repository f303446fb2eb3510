/**
 * What peers may ask of each other: the facts this instance holds, for one
 * that the store turns away; and the changes it watches, for those that
 * follow the store through it; and reports of crashes that the store may not
 * have, both ways. Each question for facts carries the asker's own entry;
 * hearing from it directly vouches that it lives, though its entry in the
 * store may be gone.
 */
import { initTRPC } from '@trpc/server';
import { filter, first, firstValueFrom, merge, timer } from 'rxjs';
import { z } from 'zod';
import type {
  Beliefs,
  CrashReports,
  FactChange,
  FactChanges,
  Follower,
  InstanceEntry,
  PassedReports,
  ReportMark,
  StoreStatus,
} from '@cardamomladder/fleet';
import { PackedChanges, PackedFacts } from '@cardamomladder/fleet';
import type { StoreEpoch, StoreMoment } from '@cardamomladder/types';
import { compareMoments, momentOf, storeEpoch } from '@cardamomladder/types';
import type { TokenAnswer, TokenQuestion } from '../quota/tokenFormat';
import { tokenQuestion } from '../quota/tokenFormat';
import { reportQuestion } from './reportFormat';

const t = initTRPC.create();

/** The longest a question waits here, ms, whatever the asker wants. */
const WAIT_MOST_MS = 2000;

/** What the router needs of the instance. */
export interface PeerRouterOptions {
  beliefs: Beliefs;
  follower: Follower;
  crashReports: Pick<CrashReports, 'mark' | 'after' | 'hear'>;
  vouch: (asker: InstanceEntry) => void;
  /** Lends tokens of the customers that this instance keeps. */
  lend: (question: TokenQuestion) => TokenAnswer;
  /** Steady clock, ms. */
  now: () => number;
}

/** What this instance knows beyond the revision asked for: the changes while it keeps them, or else all facts. */
export interface KnownFacts {
  /** For how long the store has been reached, ms; unset while it is not. */
  storeReachedForMs?: number;
  changes?: FactChanges;
  /** All facts, packed. */
  packed?: string;
  /** Up to where this instance has reports of crashes that the store may not have; an older version does not say. */
  reports?: ReportMark;
}

/** Changes for a peer that follows, packed or not, and how long ago the store was heard, ms. */
interface PassedChanges {
  kind: 'changes';
  /** An older version does not tell it. */
  epoch?: StoreEpoch;
  revision: number;
  storeHeardMsAgo: number;
  changes?: FactChange[];
  packed?: string;
}

/** All facts for a peer that follows, packed, and how long ago the store was heard, ms. */
interface PassedList {
  kind: 'list';
  list: string;
  storeHeardMsAgo: number;
}

/** An answer to a peer that follows: changes, or all facts where the changes since are not kept; or why it must ask elsewhere. */
export type FollowedChanges =
  PassedChanges | PassedList | { kind: 'not-watching' } | { kind: 'history-gone' };

/** From so many changes on they are packed: one or two become hardly smaller. */
const PACKED_FROM = 3;

const question = z.object({
  /** The store's epoch that the asker follows; an older version does not tell it. */
  epoch: z.number().default(0).transform(storeEpoch),
  /** The store's revision up to which the asker knows all. */
  revision: z.number(),
  /** The asker's entry, while it takes callers. */
  asker: z.custom<InstanceEntry>().nullable(),
});
const waitingQuestion = question.extend({
  waitMs: z.number().max(WAIT_MOST_MS),
  /** True when the asker can unpack changes. */
  unpacks: z.boolean().default(false),
  /** True when the asker takes a list in place of changes. */
  takesLists: z.boolean().default(false),
});

/** Only what was read at the store itself is passed on: two that followed each other would both stand still. */
const watches = ({ reached, through }: StoreStatus): boolean => reached && through === undefined;

/** What instances that follow this one, or ask it for facts, share. */
interface Packed {
  facts: PackedFacts;
  changes: PackedChanges;
}

const changesAfter = async (
  { beliefs, follower }: PeerRouterOptions,
  packed: Packed,
  known: z.output<typeof waitingQuestion>,
): Promise<FollowedChanges> => {
  const { changeLog, status, storeHeardMsAgo } = follower;
  // One that has not noticed the store's return from an older copy yet is as good as none that watches.
  if (!watches(status.value) || changeLog.epoch < known.epoch) return { kind: 'not-watching' };
  const changes = changeLog.since(known);
  if (!changes && !known.takesLists) return { kind: 'history-gone' };
  if (!changes) {
    const list = await packed.facts.at(beliefs.moment);
    return { kind: 'list', list, storeHeardMsAgo: storeHeardMsAgo() };
  }
  const { epoch, revision } = changeLog;
  const content =
    known.unpacks && changes.length >= PACKED_FROM
      ? { packed: await packed.changes.between(known, revision, changes) }
      : { changes };
  return { kind: 'changes', ...content, epoch, revision, storeHeardMsAgo: storeHeardMsAgo() };
};

/** Resolves at the first change after `known`, when the store is lost, or after `waitMs`. */
const untilNewer = async (
  { changeLog, status }: Follower,
  known: StoreMoment,
  waitMs: number,
): Promise<void> => {
  if (changeLog.isAfter(known)) return;
  await firstValueFrom(
    merge(
      changeLog.advanced.pipe(filter(() => changeLog.isAfter(known))),
      status.pipe(filter((current) => !watches(current))),
      timer(waitMs),
    ).pipe(first()),
  );
};

/** What is known beyond `known`: a changed fact or two in place of hundreds, where the changes are kept. */
const knownAfter = async (
  { beliefs, follower }: PeerRouterOptions,
  packed: PackedFacts,
  known: StoreMoment,
): Promise<Pick<KnownFacts, 'changes' | 'packed'>> => {
  if (compareMoments(beliefs, known) <= 0) return {};
  const { changeLog } = follower;
  const changes = known.revision > 0 ? changeLog.since(known) : undefined;
  return changes
    ? { changes: { changes, ...momentOf(changeLog) } }
    : { packed: await packed.at(beliefs.moment) };
};

/** Builds the router of one instance. */
export const peerRouter = (options: PeerRouterOptions) => {
  const { follower, crashReports, vouch, lend, now } = options;
  const packed: Packed = {
    facts: new PackedFacts(() => follower.list()),
    changes: new PackedChanges(),
  };
  return t.router({
    facts: t.procedure.input(question).query(async ({ input }): Promise<KnownFacts> => {
      if (input.asker) vouch(input.asker);
      const { reached, since } = follower.status.value;
      return {
        ...(reached ? { storeReachedForMs: now() - since } : {}),
        ...(await knownAfter(options, packed.facts, input)),
        reports: crashReports.mark,
      };
    }),
    changes: t.procedure
      .input(waitingQuestion)
      .query(async ({ input }): Promise<FollowedChanges> => {
        if (input.asker) vouch(input.asker);
        await untilNewer(follower, input, input.waitMs);
        return changesAfter(options, packed, input);
      }),
    reports: t.procedure.input(reportQuestion).mutation(({ input }): PassedReports => {
      const answer = crashReports.after(input.after);
      crashReports.hear(input.reports, follower.status.value.reached);
      return answer;
    }),
    tokens: t.procedure.input(tokenQuestion).mutation(({ input }): TokenAnswer => lend(input)),
  });
};

/** The router's type, for clients. */
export type PeerRouter = ReturnType<typeof peerRouter>;
