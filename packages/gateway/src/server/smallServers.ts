/** The small servers beside the callers' one: directory, readiness and metrics. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { GatewayMetrics } from '@cardamomladder/telemetry';
import type { SocketAddress } from '@cardamomladder/types';
import type { DirectoryQuestion, Wire } from '../wireNames';

/** Idle connections of directory callers are closed after this, ms. */
const DIRECTORY_IDLE_MS = 5000;

const urlOf = (req: IncomingMessage): URL | undefined => {
  try {
    return new URL(req.url ?? '/', 'http://instance');
  } catch {
    return undefined;
  }
};

const plain = (res: ServerResponse, status: number, text: string, type = 'text/plain'): void => {
  res.writeHead(status, { 'content-type': type, 'content-length': Buffer.byteLength(text) });
  res.end(text);
};

/** Answers directory questions with what `lookUp` names. */
export const createDirectoryServer = (
  wire: Wire,
  lookUp: (question: DirectoryQuestion) => SocketAddress[],
  ttlSeconds: number,
): Server => {
  const server = createServer((req, res) => {
    const url = urlOf(req);
    const question = url && wire.directoryQuestion(url);
    if (!question) {
      plain(res, 404, 'ask for the instances of a failure domain');
      return;
    }
    const addresses = lookUp(question);
    if (addresses.length === 0) plain(res, 503, 'no instance is known');
    else plain(res, 200, wire.directoryAnswer(addresses, ttlSeconds), 'application/json');
  });
  server.keepAliveTimeout = DIRECTORY_IDLE_MS;
  return server;
};

/** Says whether this instance takes callers. */
export const createReadinessServer = (wire: Wire, ready: () => boolean): Server =>
  createServer((req, res) => {
    if (urlOf(req)?.pathname !== wire.readinessPath) plain(res, 404, 'ask for readiness');
    else if (ready()) plain(res, 200, 'ready');
    else plain(res, 503, 'not ready');
  });

/** Serves the metrics page. */
export const createMetricsServer = (metrics: GatewayMetrics, refresh: () => void): Server =>
  createServer((req, res) => {
    refresh();
    metrics.registry.metrics().then(
      (text) => plain(res, 200, text, metrics.registry.contentType),
      (error: Error) => plain(res, 500, error.message),
    );
  });
