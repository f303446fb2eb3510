/**
 * Client of the platform's member list: read the (lagging) list, announce a
 * target, mark it leaving.
 */
import type { ResultAsync } from 'neverthrow';
import { errAsync, okAsync } from 'neverthrow';
import type { Failure } from '@cardamomladder/types';
import { failure } from '@cardamomladder/types';
import { callJson } from '@cardamomladder/http-json';
import type { Member, MembersReply } from '../protocol';

/** A client of the member list at `url`. */
export type MemberClient = ReturnType<typeof createMemberClient>;

const TIMEOUT_MS = 2000;

/** Creates a member-list client for the platform at `url`. */
export const createMemberClient = (url: string, onCall?: (call: string) => void) => {
  const base = url.replace(/\/$/, '');
  const down = (why: string) =>
    failure(
      'store-unavailable',
      `the platform member list at ${base} did not answer (${why}); the last list seen stays in use; check the platform`,
    );
  const call = (path: string, method: string, body?: unknown) => {
    onCall?.(method === 'GET' ? 'members' : 'member-write');
    return callJson(`${base}${path}`, { method, body, timeoutMs: TIMEOUT_MS })
      .mapErr((e) => down(e.message))
      .andThen((r) => (r.status >= 400 ? errAsync(down(`status ${r.status}`)) : okAsync(r.body)));
  };
  return {
    /** Reads the published list; with `since`, only if it changed since that version. */
    list: (since?: number): ResultAsync<MembersReply, Failure> =>
      call(since === undefined ? '/v1/members' : `/v1/members?since=${since}`, 'GET').map(
        (b) => b as MembersReply,
      ),
    /** Announces or updates a target. */
    announce: (member: Member): ResultAsync<void, Failure> =>
      call(`/v1/members/${encodeURIComponent(member.id)}`, 'PUT', member).map(() => undefined),
    /** Removes a target from the list. */
    remove: (id: string): ResultAsync<void, Failure> =>
      call(`/v1/members/${encodeURIComponent(id)}`, 'DELETE').map(() => undefined),
  };
};
