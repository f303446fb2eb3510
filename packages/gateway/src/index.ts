export type { Gateway, GatewayOptions } from './daemon';
export { startGateway } from './daemon';
export { CREDENTIALS_HEADER } from './wireProtocol';
export type {
  DirectoryQuery,
  HeaderNames,
  LoadReport,
  TargetStatement,
  WireProtocol,
} from './wireProtocol';
