/**
 * Interface to the wire protocol of callers and targets. A platform adapter
 * implements it, so that the gateway hard-codes no header, path or body format.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { Credentials } from '@cardamomladder/customers';
import type { SocketAddress } from '@cardamomladder/types';

/** The header with the caller's credentials (RFC 9110, 11.6.2); not forwarded if customers have keys. */
export const CREDENTIALS_HEADER = 'authorization';

/** Header names, in lower case. */
export interface HeaderNames {
  /** The caller's id for one attempt; targets echo it. */
  requestId: string;
  /** How long the sender waits for a response, in ms. */
  waitMs: string;
  /** Key of the object that a request refers to. */
  objectKey: string;
  /** Signature that proves that a response comes from the target. */
  signature: string;
  /** The only target that may execute the request. */
  onlyTarget: string;
  /** Set by a target that did not execute the request. */
  notRun: string;
  /** The customer that a request belongs to; only the gateway sets it if customers have keys. */
  customer: string;
}

/** Load reported by a target. */
export interface LoadReport {
  running: number;
  waiting: number;
  slots: number;
  /** How many times as long as usual work takes on the target's machine at the moment; unset if the target does not state it. */
  pace?: number;
}

/** Status that a target reports about itself in a response. */
export interface TargetStatement {
  load?: LoadReport;
  /** Requests per second that it accepts from all instances together; unset if it advertises no limit. */
  limitPerSecond?: number;
  leaving?: boolean;
  /** For how long this instance should send it no requests, in ms; only present in refusals. */
  restMs?: number;
}

/** Location of a caller that queries the directory. */
export interface DirectoryQuery {
  failureDomain: string;
  region: string;
}

/** Wire protocol of callers and targets. */
export interface WireProtocol {
  headers: HeaderNames;
  /** Parses a target's status from a response's status code and headers. */
  parseTargetStatement: (status: number, headers: IncomingHttpHeaders) => TargetStatement;
  /** Parses the credentials from all values of the credentials header in one request. */
  parseCredentials: (values: readonly string[]) => Credentials;
  /** Authentication scheme named in the challenge to a caller without valid credentials. */
  keyScheme: string;
  /** Path of the readiness check. */
  readinessPath: string;
  /** Parses a directory query; undefined if the path is not the directory's. */
  parseDirectoryQuery: (url: URL) => DirectoryQuery | undefined;
  /** Formats a directory response: the addresses to connect to and their TTL. */
  formatDirectoryResponse: (addresses: SocketAddress[], ttlSeconds: number) => string;
}
