/** Sends requests to a test server on keep-alive connections. */
import type { WireProtocol } from '../../wireProtocol';
import type { Attempt, AttemptRequest } from '../attempt';
import { sendAttempt } from '../attempt';
import type { TargetConnections } from '../connections';

const wire: WireProtocol = {
  headers: {
    requestId: 'x-id',
    waitMs: 'x-wait',
    objectKey: 'x-key',
    signature: 'x-sig',
    onlyTarget: 'x-only',
    notRun: 'x-not-run',
    customer: 'x-customer',
  },
  parseCredentials: () => ({ kind: 'none' }),
  keyScheme: 'Key',
  parseTargetStatement: () => ({}),
  readinessPath: '/ready',
  parseDirectoryQuery: () => undefined,
  formatDirectoryResponse: () => '',
};

/** Sends a request to a local port, on an idle connection if there is one. */
export const beginSend = (
  port: number,
  connections: TargetConnections,
  onStatement: AttemptRequest['onStatement'] = () => {},
  changes: Partial<AttemptRequest> = {},
): Attempt =>
  sendAttempt({
    host: '127.0.0.1',
    port,
    method: 'GET',
    path: '/',
    headers: () => ({ 'x-id': 'r' }),
    body: undefined,
    requestId: 'r',
    timeoutMs: 2000,
    connections,
    wire,
    onStatement,
    ...changes,
  });
