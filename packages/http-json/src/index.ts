export { BodyError, MAX_JSON_BYTES, readBody, readJson, sendJson } from './server';
export type { JsonResponse, TransportError } from './client';
export { callJson } from './client';
