/**
 * Peer client: tRPC's client on top of Node's http client. The standard tRPC
 * link accesses `FormData`, which makes Node load its `fetch` implementation.
 */
import type { Operation, TRPCLink } from '@trpc/client';
import { TRPCClientError, createTRPCClient } from '@trpc/client';
import { observable } from '@trpc/server/observable';
import type { IncomingMessage } from 'node:http';
import { request as httpRequest } from 'node:http';
import type { Transfer, TransferLimits } from '@cardamomladder/http-json';
import { PacedAgent, ReceivedBytes, detectReset, limitTransfer } from '@cardamomladder/http-json';
import { splitAddress } from '@cardamomladder/types';
import type { PeerRouter } from './router';

const agent = new PacedAgent({ keepAlive: true, timeout: 5000 });

/** Response of a peer: a result or an error. */
type PeerResponse = { result: { data: unknown } } | { error: { message: string } };

const readResponse = (
  res: IncomingMessage,
  onResponse: (response: PeerResponse) => void,
  onError: (error: Error) => void,
): void => {
  const received = new ReceivedBytes();
  res.on('error', onError);
  res.on('data', (part: Buffer) => received.add(part));
  res.on('end', () => {
    try {
      onResponse(JSON.parse(received.toBuffer().toString('utf8')) as PeerResponse);
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

/** Limits of a response, and the function that is told of a complete one. */
interface ResponseOptions {
  limits: TransferLimits;
  onReceived: (transfer: Transfer) => void;
}

/** Sends one request and returns a function that aborts it. `onError` may be called after `onResponse`; the caller uses the first call. */
const sendRequest = (
  address: string,
  { path, body }: PeerRequest,
  { limits, onReceived }: ResponseOptions,
  onResponse: (response: PeerResponse) => void,
  onError: (error: Error) => void,
): (() => void) => {
  const method = body === undefined ? 'GET' : 'POST';
  const req = httpRequest({ ...splitAddress(address), path, method, agent }, (res) =>
    readResponse(res, onResponse, onError),
  );
  detectReset(req);
  limitTransfer(req, limits, (reason) => req.destroy(reason), onReceived);
  req.on('error', onError);
  req.end(body);
  return () => req.destroy();
};

const peerLink =
  (address: string, options: ResponseOptions): TRPCLink<PeerRouter> =>
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
      return sendRequest(address, toPeerRequest(op), options, onResponse, onError);
    });

/** Creates a client of the peer at `address` whose responses have the given time limits. */
export const peerClient = (
  address: string,
  limits: TransferLimits,
  onReceived: ResponseOptions['onReceived'] = () => {},
) => createTRPCClient<PeerRouter>({ links: [peerLink(address, { limits, onReceived })] });
