export { BodyError, MAX_JSON_BYTES, readBody, readJson, sendJson } from './server';
export type { JsonReply, TransportError } from './client';
export { callJson } from './client';
