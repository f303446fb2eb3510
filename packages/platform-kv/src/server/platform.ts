/**
 * The platform stand-in: an http server for the KV routes and for any other
 * platform routes passed as handlers (the member list).
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { sendJson } from '@cardamomladder/http-json';
import type { KvStandin } from './standin';
import { createKvStandin } from './standin';

/** A route handler; returns false if it does not handle the request. */
export type Handler = (req: IncomingMessage, res: ServerResponse) => boolean;

/** A running platform stand-in. */
export interface PlatformStandin {
  url: string;
  kv: KvStandin;
  server: Server;
  stop: () => Promise<void>;
}

/** Starts the platform stand-in on `host:port` (port 0: any free port). */
export const startPlatformStandin = async (
  options: { host?: string; port?: number; handlers?: Handler[] } = {},
): Promise<PlatformStandin> => {
  const kv = createKvStandin();
  const handlers = [kv.handle, ...(options.handlers ?? [])];
  const server = createServer((req, res) => {
    if (!handlers.some((h) => h(req, res)))
      sendJson(res, 404, { error: `no route ${req.method} ${req.url}` });
  });
  server.keepAliveTimeout = 65_000;
  const host = options.host ?? '127.0.0.1';
  await new Promise<void>((resolve) => {
    server.listen(options.port ?? 0, host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://${host}:${port}`,
    kv,
    server,
    stop: () =>
      new Promise((resolve) => {
        kv.stop();
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
};
