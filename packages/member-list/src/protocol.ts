/**
 * Messages of the platform's member list, which tells the state of every
 * target. The platform publishes the list with a delay, so a reader may see a
 * target as live for a while after it started leaving.
 */

/** Whether a target accepts new requests (`live`) or is draining (`leaving`). */
export type MemberState = 'live' | 'leaving';

/** A target in the member list. */
export interface Member {
  id: string;
  service: string;
  region: string;
  failureDomain: string;
  /** `host:port` of the target's http listener. */
  address: string;
  /** Number of requests that it can process concurrently. */
  slots: number;
  state: MemberState;
}

/**
 * Response to `GET /v1/members`: the list as of `asOf` (ms since epoch) and
 * its `version`. With `?since=<version>`, if the list is still at that version,
 * the response is `{ unchanged: true, version, members: [], asOf }`, so that a
 * poll transfers a few bytes instead of the whole list.
 */
export interface MembersReply {
  version: number;
  unchanged?: boolean;
  members: Member[];
  asOf: number;
}
