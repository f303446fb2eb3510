export type { Gateway, GatewayOptions } from './daemon';
export { startGateway } from './daemon';
export { CREDENTIALS_HEADER } from './wireNames';
export type {
  DirectoryQuestion,
  HeaderNames,
  LoadReport,
  TargetStatement,
  Wire,
} from './wireNames';
