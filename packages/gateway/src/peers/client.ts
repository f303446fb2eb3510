/**
 * Peer client: tRPC's client on top of Node's http client. The standard tRPC
 * link accesses `FormData`, which makes Node load its `fetch` implementation.
 */
import type { Operation, TRPCLink } from '@trpc/client';
import { TRPCClientError, createTRPCClient } from '@trpc/client';
import { observable } from '@trpc/server/observable';
import type { IncomingMessage } from 'node:http';
import { Agent, request as httpRequest } from 'node:http';
import { splitAddress } from '@cardamomladder/types';
import type { PeerRouter } from './router';

const agent = new Agent({ keepAlive: true, timeout: 5000 });

/** Response of a peer: a result or an error. */
type PeerResponse = { result: { data: unknown } } | { error: { message: string } };

const readResponse = (
  res: IncomingMessage,
  onResponse: (response: PeerResponse) => void,
  onError: (error: Error) => void,
): void => {
  const chunks: Buffer[] = [];
  res.on('error', onError);
  res.on('data', (chunk: Buffer) => chunks.push(chunk));
  res.on('end', () => {
    try {
      onResponse(JSON.parse(Buffer.concat(chunks).toString('utf8')) as PeerResponse);
    } catch {
      onError(new Error(`the response (${res.statusCode}) is not JSON`));
    }
  });
};

/** An HTTP request to a peer. Queries have their input in the path, where it is visible in traces; mutations have a body, since reports are too long for a path. */
interface PeerRequest {
  path: string;
  body?: string;
}

const toPeerRequest = ({ type, path, input }: Operation): PeerRequest =>
  type === 'mutation'
    ? { path: `/${path}`, body: JSON.stringify(input) }
    : { path: `/${path}?input=${encodeURIComponent(JSON.stringify(input))}` };

/** Sends one request and returns a function that aborts it. `onError` may be called after `onResponse`; the caller uses the first call. */
const sendRequest = (
  address: string,
  { path, body }: PeerRequest,
  timeoutMs: number,
  onResponse: (response: PeerResponse) => void,
  onError: (error: Error) => void,
): (() => void) => {
  const method = body === undefined ? 'GET' : 'POST';
  const req = httpRequest({ ...splitAddress(address), path, method, agent }, (res) =>
    readResponse(res, onResponse, onError),
  );
  const timer = setTimeout(
    () => req.destroy(new Error(`no response within ${timeoutMs} ms`)),
    timeoutMs,
  );
  req.on('error', onError);
  req.on('close', () => clearTimeout(timer));
  req.end(body);
  return () => req.destroy();
};

const peerLink =
  (address: string, timeoutMs: number): TRPCLink<PeerRouter> =>
  () =>
  ({ op }) =>
    observable((observer) => {
      const onError = (error: Error) => observer.error(TRPCClientError.from(error));
      const onResponse = (response: PeerResponse) => {
        if ('error' in response) {
          onError(new Error(response.error.message));
          return;
        }
        observer.next({ result: { type: 'data', data: response.result.data } });
        observer.complete();
      };
      return sendRequest(address, toPeerRequest(op), timeoutMs, onResponse, onError);
    });

/** Creates a client of the peer at `address` whose requests time out after `timeoutMs`. */
export const peerClient = (address: string, timeoutMs: number) =>
  createTRPCClient<PeerRouter>({ links: [peerLink(address, timeoutMs)] });
