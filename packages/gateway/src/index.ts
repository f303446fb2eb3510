export type { Gateway, GatewayOptions } from './daemon';
export { startGateway } from './daemon';
export type { DirectoryQuestion, HeaderNames, LoadReport, Wire } from './wireNames';
