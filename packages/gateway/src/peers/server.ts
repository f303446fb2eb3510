/**
 * Peer server: a tRPC router behind Node's http server. The standard tRPC
 * adapter converts each request to `fetch` API objects, whose implementation
 * Node loads on first use, at a cost in time and memory for each process.
 */
import { TRPCError } from '@trpc/server';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { boundRequests, readJson, sendJson } from '@cardamomladder/http-json';
import { FORWARDED_HEADER } from '../reach/forwardedRequest';
import type { PeerRouter } from './router';

/** Maximum size of a request head: the largest one that callers may send, and what a forwarding peer adds. */
const MAX_HEAD_BYTES = 128 * 1024;

/** Maximum size of a message of the exchange: a quarter of a second on a link of 10 Mbit/s. */
const MAX_EXCHANGE_BYTES = 256 * 1024;

const OK = 200;
const STATUS_BY_CODE: Partial<Record<TRPCError['code'], number>> = {
  BAD_REQUEST: 400,
  NOT_FOUND: 404,
};
const INTERNAL_ERROR = 500;

const handleRequest = async (router: PeerRouter, req: IncomingMessage): Promise<unknown> => {
  const url = new URL(req.url ?? '/', 'http://instance');
  const procedures = router.createCaller({});
  const name = url.pathname.slice(1);
  if (name === 'reports' || name === 'tokens')
    return procedures[name]((await readJson(req)) as never);
  if (name === 'exchange') return procedures.exchange(await readJson(req, MAX_EXCHANGE_BYTES));
  if (name !== 'facts' && name !== 'changes') {
    throw new TRPCError({
      code: 'NOT_FOUND',
      message: `no question ${name}; ask facts, changes, reports, exchange or tokens`,
    });
  }
  const input = JSON.parse(url.searchParams.get('input') ?? 'null') as never;
  return procedures[name](input);
};

const sendError = (res: ServerResponse, error: Error): void => {
  const code = error instanceof TRPCError ? error.code : 'BAD_REQUEST';
  sendJson(res, STATUS_BY_CODE[code] ?? INTERNAL_ERROR, { error: { message: error.message } });
};

/** True for a caller's request that a peer forwards. */
export const isForwarded = ({ headers }: IncomingMessage): boolean =>
  headers[FORWARDED_HEADER] !== undefined;

/** Creates the server for peer requests; a malformed request is rejected with an error message that says why. Callers' requests that peers forward go to `serveForwarded`. */
export const createPeerServer = (
  router: PeerRouter,
  serveForwarded: (req: IncomingMessage, res: ServerResponse) => void,
): Server =>
  boundRequests(
    createServer({ maxHeaderSize: MAX_HEAD_BYTES }, (req, res) => {
      if (isForwarded(req)) {
        serveForwarded(req, res);
        return;
      }
      handleRequest(router, req).then(
        (data) => sendJson(res, OK, { result: { data } }),
        (error: Error) => sendError(res, error),
      );
    }),
  );
