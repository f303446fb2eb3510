/** Client of the platform's member list, which may be stale: reads it, and announces and removes targets. */
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
  const unavailable = (reason: string) =>
    failure(
      'store-unavailable',
      `the platform member list at ${base} did not respond (${reason}); the last list received remains in use; check the health of the platform`,
    );
  const call = (path: string, method: string, body?: unknown) => {
    onCall?.(method === 'GET' ? 'members' : 'member-write');
    return callJson(`${base}${path}`, { method, body, timeoutMs: TIMEOUT_MS })
      .mapErr((e) => unavailable(e.message))
      .andThen((r) =>
        r.status >= 400 ? errAsync(unavailable(`status ${r.status}`)) : okAsync(r.body),
      );
  };
  return {
    /** Reads the published list; with `since`, the members only if the list changed after that version. */
    list: (since?: number): ResultAsync<MembersReply, Failure> =>
      call(since === undefined ? '/v1/members' : `/v1/members?since=${since}`, 'GET').map(
        (b) => b as MembersReply,
      ),
    /** Announces a target or updates its entry, e.g. its state. */
    announce: (member: Member): ResultAsync<void, Failure> =>
      call(`/v1/members/${encodeURIComponent(member.id)}`, 'PUT', member).map(() => undefined),
    /** Removes a target from the list. */
    remove: (id: string): ResultAsync<void, Failure> =>
      call(`/v1/members/${encodeURIComponent(id)}`, 'DELETE').map(() => undefined),
  };
};
