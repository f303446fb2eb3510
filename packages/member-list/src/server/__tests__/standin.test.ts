import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Result } from 'neverthrow';
import type { Failure } from '@cardamomladder/types';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { Member } from '../../protocol';
import { createMemberClient } from '../../client/memberClient';
import { createMemberListStandin } from '../standin';

const standin = createMemberListStandin(20);
const server = createServer((req, res) => {
  standin.handle(req, res);
});
let client: ReturnType<typeof createMemberClient>;
const member: Member = {
  id: 't1',
  service: 'stada',
  region: 'reykjavik',
  failureDomain: 'rvk-a',
  address: '127.0.0.1:1',
  slots: 9,
  state: 'live',
};
const unwrap = async <T>(result: PromiseLike<Result<T, Failure>>): Promise<T> =>
  (await result).match(
    (v) => v,
    (e) => {
      throw e;
    },
  );
const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

beforeAll(async () => {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  client = createMemberClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
});
afterAll(() => {
  standin.stop();
  server.close();
});

describe('member list stand-in', () => {
  it('responds "unchanged" to a poll with the current version, and with the whole list after a change', async () => {
    await client.announce(member);
    await sleep(60);
    const first = await unwrap(client.list());
    const same = await unwrap(client.list(first.version));
    await client.announce({ ...member, state: 'leaving' });
    await sleep(60);
    const changed = await unwrap(client.list(first.version));
    expect([
      first.members.length,
      same.unchanged,
      same.members.length,
      changed.unchanged,
      changed.members[0].state,
    ]).toEqual([1, true, 0, undefined, 'leaving']);
  });
});
