/** Which of a message's headers go on with it. */
import type { IncomingMessage, OutgoingHttpHeaders } from 'node:http';

/** Hop-by-hop headers are the connection's, not the request's (RFC 9110 7.6.1). */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'te',
  'trailer',
  'proxy-connection',
]);
/** The headers that belong to the message, not to one connection. */
export const forwardHeaders = (headers: IncomingMessage['headers']): OutgoingHttpHeaders =>
  Object.fromEntries(Object.entries(headers).filter(([name]) => !HOP_BY_HOP.has(name)));
