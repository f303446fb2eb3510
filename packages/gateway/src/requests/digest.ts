/** Digests that identify a request across attempts and instances. */
import { createHash } from 'node:crypto';
import type { CallerDigest, RequestDigest } from '@cardamomladder/types';
import { callerDigest, requestDigest } from '@cardamomladder/types';
import type { CallerRequest } from './callerRequest';

/** Length of a request digest in base64 characters: 96 bits, so that no two requests of a day collide. */
const REQUEST_DIGEST_LENGTH = 16;
/** Length of a caller digest, 48 bits: it only distinguishes callers that send the same request. */
const CALLER_DIGEST_LENGTH = 8;

/** The fields that identify a request. The request id isn't one of them, as each attempt has a new id. */
export type DigestedRequest = Pick<
  CallerRequest,
  'caller' | 'credentials' | 'method' | 'host' | 'path' | 'body'
>;

const truncatedHash = (length: number, text: string, body?: Buffer): string => {
  const hash = createHash('sha256').update(text);
  if (body) hash.update(body);
  return hash.digest('base64url').slice(0, length);
};

/** Digest of a request without its caller. */
export const requestDigestOf = ({ method, host, path, body }: DigestedRequest): RequestDigest =>
  requestDigest(truncatedHash(REQUEST_DIGEST_LENGTH, `${method}\n${host}\n${path}\n`, body));

/** Digest of a request's caller. A caller may use several addresses, and an address may serve several callers. */
export const callerDigestOf = ({ caller, credentials }: DigestedRequest): CallerDigest =>
  callerDigest(truncatedHash(CALLER_DIGEST_LENGTH, `${caller}\n${credentials}`));
