/**
 * Wire messages of the platform's member list: which target instances are
 * live and which are leaving. The platform publishes the list with a lag, so
 * a reader may see a leaving target as live for a while.
 */

/** Whether a target takes new work (`live`) or is draining (`leaving`). */
export type MemberState = 'live' | 'leaving';

/** One target instance as the member list describes it. */
export interface Member {
  id: string;
  service: string;
  region: string;
  failureDomain: string;
  /** `host:port` of the target's http listener. */
  address: string;
  /** Requests it can work on at once. */
  slots: number;
  state: MemberState;
}

/**
 * Answer to `GET /v1/members`: the list as of `asOf` (ms since epoch) and
 * its `version`. With `?since=<version>` of the list the reader already has,
 * an unchanged list is answered `{ unchanged: true, version, asOf }` with
 * no members: a poll then costs a few bytes instead of the whole list.
 */
export interface MembersReply {
  version: number;
  unchanged?: boolean;
  members: Member[];
  asOf: number;
}
