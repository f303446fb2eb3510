/** Auxiliary HTTP servers: directory, readiness and metrics. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { boundRequests } from '@cardamomladder/http-json';
import type { GatewayMetrics } from '@cardamomladder/telemetry';
import type { SocketAddress } from '@cardamomladder/types';
import type { DirectoryQuery, WireProtocol } from '../wireProtocol';

/** Keep-alive timeout of directory connections, ms. */
const DIRECTORY_KEEP_ALIVE_MS = 5000;

const urlOf = (req: IncomingMessage): URL | undefined => {
  try {
    return new URL(req.url ?? '/', 'http://instance');
  } catch {
    return undefined;
  }
};

const sendText = (res: ServerResponse, status: number, text: string, type = 'text/plain'): void => {
  res.writeHead(status, { 'content-type': type, 'content-length': Buffer.byteLength(text) });
  res.end(text);
};

/** Creates the directory server; `lookUp` returns the addresses for a query. */
export const createDirectoryServer = (
  wire: WireProtocol,
  lookUp: (query: DirectoryQuery) => SocketAddress[],
  ttlSeconds: number,
): Server => {
  const server = createServer((req, res) => {
    const url = urlOf(req);
    const query = url && wire.parseDirectoryQuery(url);
    if (!query) {
      sendText(res, 404, 'ask for the instances of a failure domain');
      return;
    }
    const addresses = lookUp(query);
    if (addresses.length === 0) sendText(res, 503, 'no instance is known');
    else
      sendText(res, 200, wire.formatDirectoryResponse(addresses, ttlSeconds), 'application/json');
  });
  server.keepAliveTimeout = DIRECTORY_KEEP_ALIVE_MS;
  return boundRequests(server);
};

/** Creates the readiness server, which reports whether this instance accepts callers. */
export const createReadinessServer = (wire: WireProtocol, ready: () => boolean): Server =>
  boundRequests(
    createServer((req, res) => {
      if (urlOf(req)?.pathname !== wire.readinessPath) sendText(res, 404, 'ask for readiness');
      else if (ready()) sendText(res, 200, 'ready');
      else sendText(res, 503, 'not ready');
    }),
  );

/** Creates the metrics server; `refresh` updates the gauges before each scrape. */
export const createMetricsServer = (metrics: GatewayMetrics, refresh: () => void): Server =>
  boundRequests(
    createServer((req, res) => {
      refresh();
      metrics.registry.metrics().then(
        (text) => sendText(res, 200, text, metrics.registry.contentType),
        (error: Error) => sendText(res, 500, error.message),
      );
    }),
  );
