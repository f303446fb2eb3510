export type { Document, DocumentInput, RegionSpec, ServiceSpec } from './schema';
export { documentSchema } from './schema';
export { parseDocument, validateDocument } from './validate';
export type { Layout, ServiceLayout } from './layouts';
export { hraunvidd, documentForLayout, layouts, failureDomainOfTarget, waitaha } from './layouts';
