import { okAsync } from 'neverthrow';
import { firstValueFrom, take, toArray } from 'rxjs';
import { describe, expect, it } from 'vitest';
import { kvKey } from '@cardamomladder/types';
import type { KvClient } from '../kvClient';
import { watchPrefix } from '../watch';

const KEY = kvKey('document');

describe('watchPrefix', () => {
  // A store restored from an older copy is at an earlier revision. A watch that
  // kept its own revision would miss every write until the store reaches it again.
  it('reads the whole prefix again if the store is at an earlier revision', async () => {
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
