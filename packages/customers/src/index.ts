export type { Customer, RateLimit } from './customer';
export type { JointHomes } from './homes';
export { jointHomes } from './homes';
export type { Credentials, CustomerTable, Identity } from './identify';
export { customerTable, identify } from './identify';
