import { describe, expect, it } from 'vitest';
import { KvStore } from '../store';

describe('KvStore', () => {
  it('applies a compare-and-swap only at the expected revision', () => {
    const store = new KvStore(() => 0);
    const first = store.put('config/document', 'a', 0);
    const second = store.put('config/document', 'b', 0);
    const third = store.put('config/document', 'c', 1);
    expect([first, second, third]).toMatchInlineSnapshot(`
      [
        {
          "applied": true,
          "modRevision": 1,
        },
        {
          "applied": false,
          "currentRevision": 1,
        },
        {
          "applied": true,
          "modRevision": 2,
        },
      ]
    `);
  });

  it('deletes the keys of a lease when it expires', () => {
    let now = 0;
    const store = new KvStore(() => now);
    const lease = store.grantLease(1000);
    store.put('entries/rvk-a/e1', 'addr', undefined, lease);
    now = 999;
    expect(store.keepAlive(lease)).toBe(true);
    now = 2000;
    store.expireLeases();
    expect(store.get('entries/rvk-a/e1')).toBeNull();
    expect(store.keepAlive(lease)).toBe(false);
    expect(store.eventsAfter('entries/', 0).events.map((e) => e.value)).toEqual(['addr', null]);
  });
});
