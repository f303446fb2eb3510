/**
 * Bad input gets a typed refusal that names the remedy, and nothing else
 * breaks: malformed paths, unknown services, oversize bodies, a store that
 * is down, invalid documents and settings.
 */
import { describe, expect, it } from 'vitest';
import { applyDocument } from '@cardamomladder/console';
import { layoutDocument, parseDocument } from '@cardamomladder/document';
import { validateSettings } from '@cardamomladder/settings';
import { send, tiny, useCluster } from '../__fixtures__/tiny';

const cluster = useCluster({ memberLagMs: 200 });

describe('bad input to an entry', () => {
  it('refuses each with a typed error and keeps serving', async () => {
    const entry = cluster().entries[0].address;
    const cases = {
      malformed: await send(entry, '/nowhere'),
      unknownService: await send(entry, '/s/nosuch/x'),
      oversize: await send(entry, '/s/book/x', { method: 'POST', body: 'x'.repeat(70 * 1024) }),
      afterwards: await send(entry, '/s/lookup/x'),
    };
    expect(
      Object.fromEntries(
        Object.entries(cases).map(([k, v]) => [k, [v.status, v.outcome, v.error ?? null]]),
      ),
    ).toMatchInlineSnapshot(`
      {
        "afterwards": [
          200,
          "ok",
          null,
        ],
        "malformed": [
          404,
          "not-run",
          "request-malformed",
        ],
        "oversize": [
          413,
          "not-run",
          "request-too-large",
        ],
        "unknownService": [
          404,
          "not-run",
          "service-unknown",
        ],
      }
    `);
  });

  it('keeps serving with the last good document while the store is down', async () => {
    // Symptom: a store outage takes every service down with it. Sequence:
    // the platform KV answers 503 to every call for a while. Cause it
    // guards against: entries that need the store on the request path.
    cluster().platform.kv.faults.down = true;
    const during = await send(cluster().entries[1].address, '/s/lookup/x');
    const apply = await applyDocument(cluster().kv, layoutDocument(tiny, 1), { backoffMs: 1 });
    cluster().platform.kv.faults.down = false;
    expect([during.status, during.outcome]).toEqual([200, 'ok']);
    expect(apply.isErr() && apply.error.kind).toBe('store-unavailable');
  });
});

describe('bad documents and settings', () => {
  it('names every bad field and its remedy', () => {
    const doc = parseDocument(
      JSON.stringify({
        revision: 1,
        regions: [{ name: 'North', failureDomains: [] }],
        services: [{ name: 'lookup', idempotent: 'yes', shares: { south: -1 } }],
      }),
    );
    expect(doc.isErr() && doc.error.message).toMatchSnapshot();
    const settings = validateSettings({
      id: 'e1',
      region: 'north',
      platform: { url: 'not a url' },
      listen: { port: 70000 },
      extra: 1,
    });
    expect(settings.isErr() && settings.error.message).toMatchSnapshot();
    expect(parseDocument('{').isErr()).toBe(true);
  });
});
