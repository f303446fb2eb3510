/** How a watch goes on after what the store answers. */
import { okAsync } from 'neverthrow';
import { firstValueFrom, take, toArray } from 'rxjs';
import { describe, expect, it } from 'vitest';
import { kvKey } from '@cardamomladder/types';
import type { KvClient } from '../kvClient';
import { watchPrefix } from '../watch';

const KEY = kvKey('document');

describe('a watch', () => {
  // Guards against waiting at a revision that a store which came back from an older copy has yet to reach again.
  it('reads everything again where the store is at an earlier revision', async () => {
    const items = [
      [{ key: KEY, value: 'before', modRevision: 9 }],
      [{ key: KEY, value: 'after', modRevision: 5 }],
    ];
    let lists = 0;
    const client = {
      list: () => {
        lists += 1;
        return okAsync({ items: items[lists - 1], revision: lists === 1 ? 9 : 5 });
      },
      watchOnce: () => okAsync({ events: [], revision: 5 }),
    } as unknown as KvClient;
    const updates = await firstValueFrom(watchPrefix(client, 'document').pipe(take(2), toArray()));
    expect(updates.map((update) => (update.kind === 'items' ? update.revision : 'down'))).toEqual([
      9, 5,
    ]);
  });
});
