import { okAsync } from 'neverthrow';
import { describe, expect, it } from 'vitest';
import { documentForLayout, waitaha } from '@cardamomladder/document';
import type { KvClient, KvItem } from '@cardamomladder/platform-kv';
import { watchConfig } from '../config';

const item = (revision: number, modRevision: number): KvItem => ({
  key: 'doc',
  value: JSON.stringify(documentForLayout(waitaha, revision)),
  modRevision,
});

describe('watchConfig', () => {
  it('keeps the newer document when an older one arrives later', async () => {
    // After revision 5 was read, a delayed watch response (or an event replayed
    // after a reconnect) delivers revision 3. Applying the latest message instead
    // of the highest revision would revert the configuration.
    const replies = [item(3, 12)];
    const kv = {
      list: () => okAsync({ items: [item(5, 20)], revision: 20 }),
      watchOnce: () =>
        okAsync(
          replies.length > 0
            ? { events: replies.splice(0), revision: 21 }
            : { events: [], revision: 21 },
        ),
    } as unknown as KvClient;
    const watcher = watchConfig(kv, 'doc', { waitMs: 10 });
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    expect(watcher.state.value.document?.revision).toBe(5);
    watcher.stop();
  });
});
