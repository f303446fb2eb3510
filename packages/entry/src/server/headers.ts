/** Selection of the headers to forward. */
import type { IncomingMessage, OutgoingHttpHeaders } from 'node:http';

/** Headers that apply to a single connection (RFC 9110 7.6.1) or are set again when forwarding. */
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
/** The headers to forward with the message. */
export const endToEndHeaders = (headers: IncomingMessage['headers']): OutgoingHttpHeaders =>
  Object.fromEntries(Object.entries(headers).filter(([name]) => !HOP_BY_HOP.has(name)));
