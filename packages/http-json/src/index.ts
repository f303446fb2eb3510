export type { ClosedConnection } from './lingeringClose';
export { ConnectionCloser, breakOff, endsWithConnection } from './lingeringClose';
export { BodyError, MAX_JSON_BYTES, readBody, readBodyInTime, readJson, sendJson } from './server';
export type { Transfer, TransferLimits } from './transferLimits';
export { TransferTooLong, limitTransfer, whileProgressing, withinMs } from './transferLimits';
export { boundRequests, closeUnlessReceived, discardRest } from './unreadRest';
export { isHeaderToken, toHeaderValue, toRequestPath } from './wireText';
export type { JsonResponse, TransportError } from './client';
export { callJson } from './client';
