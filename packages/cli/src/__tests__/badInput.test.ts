/**
 * Bad input is rejected with a typed error that says how to fix it, and does
 * not disturb other requests: malformed paths, unknown services, oversized
 * bodies, an unavailable store, invalid documents and settings.
 */
import { describe, expect, it } from 'vitest';
import { applyDocument } from '@cardamomladder/console';
import { documentForLayout, parseDocument } from '@cardamomladder/document';
import { validateEntrySettings } from '@cardamomladder/settings';
import { sendRequest, tinyLayout, useCluster } from '../__fixtures__/testCluster';

const cluster = useCluster({ memberLagMs: 200 });

describe('bad input to an entry', () => {
  it('is rejected with a typed error while the entry keeps serving', async () => {
    const entry = cluster().entries[0].address;
    const cases = {
      malformed: await sendRequest(entry, '/nowhere'),
      unknownService: await sendRequest(entry, '/s/nosuch/x'),
      oversize: await sendRequest(entry, '/s/book/x', {
        method: 'POST',
        body: 'x'.repeat(70 * 1024),
      }),
      afterwards: await sendRequest(entry, '/s/lookup/x'),
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

  it('keeps serving with the last valid document while the store is unavailable', async () => {
    // Guards against a dependency on the store in the request path, which would
    // turn a store outage (the platform KV answers every call with 503) into
    // an outage of every service.
    cluster().platform.kv.faults.down = true;
    const during = await sendRequest(cluster().entries[1].address, '/s/lookup/x');
    const apply = await applyDocument(cluster().kv, documentForLayout(tinyLayout, 1), {
      backoffMs: 1,
    });
    cluster().platform.kv.faults.down = false;
    expect([during.status, during.outcome]).toEqual([200, 'ok']);
    expect(apply.isErr() && apply.error.kind).toBe('store-unavailable');
  });
});

describe('bad documents and settings', () => {
  it('names every bad field and its remedy', () => {
    const document = parseDocument(
      JSON.stringify({
        revision: 1,
        regions: [{ name: 'North', failureDomains: [] }],
        services: [{ name: 'lookup', idempotent: 'yes', shares: { south: -1 } }],
      }),
    );
    expect(document.isErr() && document.error.message).toMatchSnapshot();
    const settings = validateEntrySettings({
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
