/** What clients of the store are told of replies that break off. */
import type { AddressInfo, Socket } from 'node:net';
import { createServer } from 'node:net';
import { firstValueFrom } from 'rxjs';
import { afterEach, describe, expect, it } from 'vitest';
import { createKvClient } from '../kvClient';
import { watchPrefix } from '../watch';

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n';

const closing: (() => void)[] = [];
afterEach(() => closing.splice(0).forEach((close) => close()));

/** A store whose replies are reset behind their head. */
const startStore = async (): Promise<string> => {
  const server = createServer((socket: Socket) => {
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.write(HEAD);
      socket.resetAndDestroy();
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  closing.push(() => server.close());
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
};

describe('a reply without a length that is reset behind its head', () => {
  it('is an unknown outcome of a write', async () => {
    // Guards against a write that throws in its client, so that the key is not read again.
    const kv = createKvClient({ url: await startStore() });
    const results = [await kv.put('a', 'b'), await kv.grantLease(1000), await kv.delete('a')];
    expect(results.map((result) => result.isErr() && result.error.kind)).toEqual(
      results.map(() => 'store-outcome-unknown'),
    );
  });

  it('leaves a watch waiting for the store', async () => {
    // Guards against an unhandled rejection, which ends the daemon that watches.
    const kv = createKvClient({ url: await startStore() });
    const update = await firstValueFrom(watchPrefix(kv, 'a'));
    expect(update.kind).toBe('down');
  });
});
