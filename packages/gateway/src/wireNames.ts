/**
 * What the gateway needs to know of how callers and targets speak. The
 * adapter supplies it, so that no header, path or body format stands here.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { Credentials } from '@cardamomladder/customers';
import type { SocketAddress } from '@cardamomladder/types';

/** Where callers prove themselves (RFC 9110, 11.6.2); never passed on where customers have keys. */
export const CREDENTIALS_HEADER = 'authorization';

/** Header names, in lower case. */
export interface HeaderNames {
  /** The caller's id of one attempt; targets echo it. */
  requestId: string;
  /** How many ms the sender will wait. */
  waitMs: string;
  /** Names the object a request is about. */
  objectKey: string;
  /** Proves that an answer is the target's. */
  signature: string;
  /** The only target that may run the request. */
  onlyTarget: string;
  /** A target's statement that it did not run the request. */
  notRun: string;
  /** Tells a target whose request it is; set by the gateway alone where customers have keys. */
  customer: string;
}

/** What a target said of its load. */
export interface LoadReport {
  running: number;
  waiting: number;
  slots: number;
}

/** What a target says of itself in an answer. */
export interface TargetStatement {
  load?: LoadReport;
  /** Requests per second that it takes from all instances together; unset where it names no limit. */
  limitPerSecond?: number;
  leaving?: boolean;
  /** For how long it wants no requests from this instance, ms; only refusals say so. */
  restMs?: number;
}

/** Where a caller stands that asks the directory. */
export interface DirectoryQuestion {
  failureDomain: string;
  region: string;
}

/** How callers and targets speak. */
export interface Wire {
  headers: HeaderNames;
  /** Reads what a target says of itself from an answer's status and headers. */
  statementOf: (status: number, headers: IncomingHttpHeaders) => TargetStatement;
  /** Reads the credentials from all the values that their header has in one request. */
  credentialsOf: (values: readonly string[]) => Credentials;
  /** Names the scheme of credentials to a caller without valid ones. */
  keyScheme: string;
  /** Path of the readiness check. */
  readinessPath: string;
  /** Reads a directory question; undefined when the path is not the directory's. */
  directoryQuestion: (url: URL) => DirectoryQuestion | undefined;
  /** Writes a directory answer: where to connect, and for how long to keep it. */
  directoryAnswer: (addresses: SocketAddress[], ttlSeconds: number) => string;
}
