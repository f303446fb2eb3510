/**
 * A fleet's members in virtual time: their real followers, registrations and
 * answers to each other, over a store and links that tests cut.
 */
import { ResultAsync } from 'neverthrow';
import type {
  FactRecord,
  FollowedFacts,
  Follower,
  InstanceEntry,
  PeerAnswer,
  Registration,
} from '@cardamomladder/fleet';
import { Beliefs, follow, startRegistration, unpackFacts } from '@cardamomladder/fleet';
import type { StoreMoment } from '@cardamomladder/types';
import {
  failureDomainName,
  instanceId,
  pause,
  regionName,
  socketAddress,
} from '@cardamomladder/types';
import { peersToAsk } from '../ask';
import type { PeerRouter } from '../router';
import { peerRouter } from '../router';
import { VouchedPeers, knownInstances } from '../vouched';
import { followedFacts } from '../watch';
import type { PlayedStore } from './playedStore';
import { FailedCall } from './playedStore';

/** Regions with their failure domains, by turns. */
const PLACES = [
  ['north-a', 'north'],
  ['south-a', 'south'],
  ['east-a', 'east'],
  ['north-b', 'north'],
  ['south-b', 'south'],
  ['east-b', 'east'],
] as const;
/** The way between two instances there and back, ms: within a region and between two. */
const NEAR_MS = 2;
const FAR_MS = 40;
/** When a question to a peer for facts is given up, ms, and what a followed one may take beyond its wait. */
const FACTS_WITHIN_MS = 400;
const FOLLOWED_WITHIN_MS = 300;

/** How a member is cut off: from the store alone, or from everything, as when its process is frozen. */
export type Cut = 'none' | 'store' | 'all';

/** One instance. */
export interface PlayedMember {
  self: InstanceEntry;
  beliefs: Beliefs;
  follower: Follower;
  cut: Cut;
  registration: Registration;
  answers: ReturnType<PeerRouter['createCaller']>;
}

const entryAt = (number: number): InstanceEntry => {
  const [failureDomain, region] = PLACES[number % PLACES.length];
  return {
    id: instanceId(`i-${number}`),
    callerAddress: socketAddress(`i-${number}:1`),
    peerAddress: socketAddress(`i-${number}:2`),
    failureDomain: failureDomainName(failureDomain),
    region: regionName(region),
    capacity: { cores: number % 7 === 0 ? 1.35 : 0.27, linkMbps: 200 },
  };
};

/** An answer that comes in time; undefined for none. */
const within = async <T>(ms: number, given: Promise<T> | undefined): Promise<T | undefined> => {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), ms);
  });
  try {
    return await (given ? Promise.race([given, late]) : late);
  } finally {
    clearTimeout(timer);
  }
};

const gone = (reason: string): FailedCall => new FailedCall('unavailable', reason);

/** The members of one fleet. */
export class PlayedMembers {
  readonly live = new Map<string, PlayedMember>();

  private started = 0;

  constructor(
    private readonly store: PlayedStore,
    private readonly random: () => number,
  ) {}

  /** Starts an instance. */
  join(): PlayedMember {
    const self = entryAt(this.started);
    this.started += 1;
    const beliefs = new Beliefs();
    const now = () => performance.now();
    const member = { self, beliefs, cut: 'none' } as PlayedMember;
    const store = this.store.seenBy(() => member.cut === 'none');
    const vouched = new VouchedPeers(now);
    let round = 0;
    member.follower = follow({
      store,
      beliefs,
      self,
      askPeers: async (known) => {
        const peers = [...knownInstances(beliefs, vouched).values()];
        round += 1;
        const answers = await Promise.all(
          peersToAsk(peers, self, [], round).map((at) => this.askFacts(member, at, known)),
        );
        return answers.filter((answer) => answer !== undefined);
      },
      askSnapshot: async () => undefined,
      watchPeer: (peer, known, waitMs) =>
        ResultAsync.fromPromise(
          this.askChanges(member, peer, known, waitMs),
          (error) => error as FailedCall,
        ),
      now,
      random: this.random,
      report: () => {},
    });
    member.answers = peerRouter({
      lend: () => ({ lent: [] }),
      beliefs,
      follower: member.follower,
      crashReports: {
        mark: { log: self.id, sequence: 0 },
        after: () => ({ mark: { log: self.id, sequence: 0 }, reports: [] }),
        hear: () => {},
      },
      vouch: vouched.hear.bind(vouched),
      now,
    }).createCaller({});
    member.registration = startRegistration({ store, beliefs, self, now, report: () => {} });
    this.live.set(self.peerAddress, member);
    return member;
  }

  /** Stops an instance as planned, or kills it: then its entry stays for its lease. */
  end(member: PlayedMember, how: 'stopped' | 'killed'): void {
    this.live.delete(member.self.peerAddress);
    member.follower.stop();
    const left = () => {};
    if (how === 'killed') Object.assign(member, { cut: 'all' });
    member.registration.leave().then(left, left);
  }

  /** A call from one instance to another, which may be gone or cut off. */
  private async call<T>(
    from: PlayedMember,
    at: string,
    withinMs: number,
    answer: (peer: PlayedMember) => Promise<T>,
  ): Promise<T> {
    const to = this.live.get(at);
    const isNear = to?.self.region === from.self.region;
    await pause(isNear ? NEAR_MS : FAR_MS);
    if (!to) throw gone('refused');
    const isCut = () => from.cut === 'all' || to.cut === 'all';
    const given = isCut() ? undefined : answer(to);
    const value = await within(withinMs, given);
    if (isCut() || !given || value === undefined) throw gone('silent');
    if (!this.live.has(at)) throw gone('closed');
    return value;
  }

  private async askFacts(
    from: PlayedMember,
    at: string,
    known: StoreMoment,
  ): Promise<PeerAnswer | undefined> {
    try {
      const question = { ...known, asker: from.self };
      const { packed, changes, storeReachedForMs } = await this.call(
        from,
        at,
        FACTS_WITHIN_MS,
        (peer) => peer.answers.facts(question),
      );
      if (packed === undefined) return { storeReachedForMs, changes };
      const list = await unpackFacts(packed);
      return list.isOk() ? { storeReachedForMs, list: list.value } : undefined;
    } catch {
      return undefined;
    }
  }

  private async askChanges(
    from: PlayedMember,
    peer: InstanceEntry,
    known: StoreMoment,
    waitMs: number,
  ): Promise<FollowedFacts> {
    const question = { ...known, asker: from.self, waitMs, unpacks: true, takesLists: true };
    const answer = await this.call(from, peer.peerAddress, waitMs + FOLLOWED_WITHIN_MS, (to) =>
      to.answers.changes(question),
    );
    const facts = await followedFacts(peer, answer);
    if (facts.isErr()) throw new FailedCall(facts.error.kind, facts.error.message);
    return facts.value;
  }
}

/** A fact that tests write to see who learns of it. */
export const evacuationOf = (name: string): FactRecord['fact'] => ({
  kind: 'evacuation',
  failureDomain: failureDomainName(name),
});
