/**
 * Compressed transfer format for records between instances: raw deflate, encoded
 * as base64.
 *
 * When a whole fleet starts, the list is transferred hundreds of times within
 * seconds, over links of a few Mbit/s and between instances with a quarter of a
 * core. A list of 767 records takes 27 kB packed instead of 196 kB, and is packed
 * once per revision. Every change is sent to every instance: with 300 instances
 * that follow 3,000 targets, changes made up nearly all traffic between failure
 * domains (123 MB in 43 s). Forty target changes take 2.3 kB packed instead of
 * 10.2 kB, and are packed once for all requests from the same revision.
 */
import { promisify } from 'node:util';
import { deflateRaw, inflateRaw, inflateRawSync } from 'node:zlib';
import { LRUCache } from 'lru-cache';
import { ResultAsync, errAsync, okAsync } from 'neverthrow';
import type { StorePosition } from '@cardamomladder/types';
import { comparePositions, positionOf } from '@cardamomladder/types';
import { areReadableChanges, isReadableList } from './readableRecords';
import type { RecordChange, RecordList } from './records';

/** Lowest deflate level. The list above compresses to 21 kB before base64 encoding; the highest level reaches 16 kB but is slower while dozens of requests wait. */
const COMPRESSION_LEVEL = 1;
/** Maximum unpacked size, bytes; anything larger is not valid data from a peer. */
const MAX_UNPACKED_BYTES = 32 * 1024 * 1024;

/** Packed data that could not be decoded; the message states the remedy. */
export interface UnpackFailure {
  kind: 'unreadable';
  message: string;
}

const deflate = promisify<Buffer, { level: number }, Buffer>(deflateRaw);
const inflate = promisify<Buffer, { maxOutputLength: number }, Buffer>(inflateRaw);

/** Packs a list or an array of changes. */
export const pack = async (value: RecordList | readonly RecordChange[]): Promise<string> => {
  const text = Buffer.from(JSON.stringify(value));
  return (await deflate(text, { level: COMPRESSION_LEVEL })).toString('base64');
};

/** Maximum compressed size for synchronous decompression, bytes: below it, handing the work to the thread pool costs more than it saves. */
const MAX_SYNC_BYTES = 16 * 1024;

const inflateBytes = (bytes: Buffer): Promise<Buffer> | Buffer => {
  const limit = { maxOutputLength: MAX_UNPACKED_BYTES };
  // eslint-disable-next-line n/no-sync -- small input, cheaper than a round trip to the thread pool
  return bytes.length <= MAX_SYNC_BYTES ? inflateRawSync(bytes, limit) : inflate(bytes, limit);
};

const inflateJson = async (packed: string): Promise<unknown> => {
  const text = await inflateBytes(Buffer.from(packed, 'base64'));
  return JSON.parse(text.toString('utf8'));
};

const unreadable = (message: string): UnpackFailure => ({ kind: 'unreadable', message });

const readPacked = ResultAsync.fromThrowable(inflateJson, (error) =>
  unreadable(
    `records from a peer are truncated or corrupt (${(error as Error).message}); read them from the store`,
  ),
);

/** Unpacks a list received from a peer. */
export const unpackList = (packed: string): ResultAsync<RecordList, UnpackFailure> =>
  readPacked(packed).andThen((value) =>
    isReadableList(value)
      ? okAsync(value)
      : errAsync<RecordList, UnpackFailure>(
          unreadable(
            "a peer's list has an unexpected format; list from the store, and upgrade that peer",
          ),
        ),
  );

/** Unpacks changes received from a peer. */
export const unpackChanges = (packed: string): ResultAsync<RecordChange[], UnpackFailure> =>
  readPacked(packed).andThen((value) =>
    areReadableChanges(value)
      ? okAsync(value)
      : errAsync<RecordChange[], UnpackFailure>(
          unreadable(
            "a peer's changes have an unexpected format; watch the store, and upgrade that peer",
          ),
        ),
  );

/** Caches the packed form of the latest list. */
export class PackedListCache {
  private packed: { position: StorePosition; text: Promise<string> } | undefined;

  constructor(private readonly source: () => RecordList) {}

  /** Returns the packed list as of at least `position`, the latest known position. */
  at(position: StorePosition): Promise<string> {
    if (this.packed && comparePositions(this.packed.position, position) === 0)
      return this.packed.text;
    const text = pack(this.source());
    this.packed = { position: positionOf(position), text };
    return text;
  }
}

/** Minimum number of changes that are compressed: one or two hardly become smaller, unless one is a configuration. */
const MIN_CHANGES_TO_PACK = 3;

/** Whether packing makes these changes much smaller. */
export const isWorthPacking = (changes: readonly RecordChange[]): boolean =>
  changes.length >= MIN_CHANGES_TO_PACK ||
  changes.some((change) => 'fact' in change && change.fact.kind === 'configuration');

/** Maximum number of cached change ranges: followers that lag behind request ranges that start at different revisions. */
const MAX_CACHED_RANGES = 8;

/** Caches packed change ranges, so that each range is packed once for all followers. */
export class PackedChangesCache {
  private readonly packed = new LRUCache<string, Promise<string>>({ max: MAX_CACHED_RANGES });

  /** Returns the packed changes after a position, up to the revision `upTo` in the same epoch. Requests from different positions share them if no change lies between. */
  between(
    { epoch }: StorePosition,
    upTo: number,
    changes: readonly RecordChange[],
  ): Promise<string> {
    const range = `${epoch}: ${changes[0]?.revision}-${upTo}`;
    const known = this.packed.get(range);
    if (known) return known;
    const text = pack(changes);
    this.packed.set(range, text);
    return text;
  }
}
