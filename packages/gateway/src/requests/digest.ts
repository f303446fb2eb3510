/** The digest by which a request is known again, whichever instance gets it next. */
import { createHash } from 'node:crypto';
import type { RequestDigest } from '@cardamomladder/types';
import { requestDigest } from '@cardamomladder/types';
import type { CallerRequest } from './callerRequest';

/** Length of a digest, characters of base64: 96 bits, so that no two requests of a day share one. */
const DIGEST_LENGTH = 16;

/** What tells one request from another; its id does not, as each attempt has a new one. */
export type DigestedRequest = Pick<CallerRequest, 'caller' | 'method' | 'host' | 'path' | 'body'>;

/** The digest of a request: who asks for what, with which body. */
export const digestOf = ({ caller, method, host, path, body }: DigestedRequest): RequestDigest => {
  const hash = createHash('sha256').update(`${caller}\n${method}\n${host}\n${path}\n`);
  if (body) hash.update(body);
  return requestDigest(hash.digest('base64url').slice(0, DIGEST_LENGTH));
};
