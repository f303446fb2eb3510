export type { ApplyResult } from './apply';
export { DOCUMENT_KEY, applyDocument, readDocument, withPlannedShifts } from './apply';
