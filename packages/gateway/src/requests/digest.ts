/** The digests by which a request is known again, whichever instance gets it next. */
import { createHash } from 'node:crypto';
import type { CallerDigest, RequestDigest } from '@cardamomladder/types';
import { callerDigest, requestDigest } from '@cardamomladder/types';
import type { CallerRequest } from './callerRequest';

/** Length of a request's digest, characters of base64: 96 bits, so that no two requests of a day share one. */
const REQUEST_DIGEST_LENGTH = 16;
/** Length of a caller's, 48 bits: it only tells apart callers that ask the same. */
const CALLER_DIGEST_LENGTH = 8;

/** What tells one request from another; its id does not, as each attempt has a new one. */
export type DigestedRequest = Pick<
  CallerRequest,
  'caller' | 'credentials' | 'method' | 'host' | 'path' | 'body'
>;

const truncatedHash = (length: number, text: string, body?: Buffer): string => {
  const hash = createHash('sha256').update(text);
  if (body) hash.update(body);
  return hash.digest('base64url').slice(0, length);
};

/** What is asked, whoever asks. */
export const requestDigestOf = ({ method, host, path, body }: DigestedRequest): RequestDigest =>
  requestDigest(truncatedHash(REQUEST_DIGEST_LENGTH, `${method}\n${host}\n${path}\n`, body));

/** Who asks. One caller may come from several addresses, and several from one. */
export const callerDigestOf = ({ caller, credentials }: DigestedRequest): CallerDigest =>
  callerDigest(truncatedHash(CALLER_DIGEST_LENGTH, `${caller}\n${credentials}`));
