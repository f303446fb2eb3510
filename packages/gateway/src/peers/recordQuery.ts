/**
 * Decides which peer sends records to an instance that cannot reach the store. A large
 * configuration takes most of a second over a link of 10 Mbit/s. Several peers that
 * sent it at once would share the link, and none would be done sooner; so peers are
 * asked for their position first, and only one at a time for records. The link still
 * carries the positions, by which the instance learns who reaches the store.
 */
import type { PeerQuery, PeerResponse } from '@cardamomladder/fleet';
import type { StorePosition } from '@cardamomladder/types';
import { comparePositions, storeEpoch } from '@cardamomladder/types';

/** A position that no peer has passed: the response to it holds no records, at older versions too. */
const BEYOND_ALL: StorePosition = {
  epoch: storeEpoch(Number.MAX_SAFE_INTEGER),
  revision: Number.MAX_SAFE_INTEGER,
};

/** Requests all records; they take no more than the latest state, while changes may hold many states. */
const BEFORE_ALL: StorePosition = { epoch: storeEpoch(0), revision: 0 };

/** How peers are selected for a round and queried; `query` returns undefined if there is no usable response. */
export interface RecordQueryOptions {
  select: (round: number) => readonly string[];
  query: (address: string, known: StorePosition) => Promise<PeerResponse | undefined>;
}

/** A peer that may have newer records; older versions do not tell their position. */
interface Source {
  address: string;
  position: StorePosition | undefined;
}

/** Creates the query for records; its rounds may overlap, its transfers do not. */
export const recordQuery = ({ select, query }: RecordQueryOptions): PeerQuery => {
  let round = 0;
  let isReceiving = false;
  let hasFailed = false;
  /** The latest peer that responded during a transfer. */
  let waiting: Source | undefined;
  return async (known, receive) => {
    const receiveFrom = async (source: Source): Promise<void> => {
      if (isReceiving) {
        waiting = source;
        return;
      }
      const after = known();
      if (source.position && comparePositions(source.position, after) <= 0) return;
      isReceiving = true;
      const records = await query(source.address, hasFailed ? BEFORE_ALL : after);
      isReceiving = false;
      hasFailed = records === undefined;
      if (records) receive(records, after);
      const next = waiting;
      waiting = undefined;
      if (next) await receiveFrom(next);
    };
    const addresses = select(round);
    round += 1;
    const reached = await Promise.all(
      addresses.map(async (address) => {
        const response = await query(address, BEYOND_ALL);
        if (!response) return [];
        receiveFrom({ address, position: response.position }).catch(() => {
          // `query` handles and logs its own failures.
        });
        return [response.storeReachedForMs ?? 0];
      }),
    );
    return reached.flat();
  };
};
